#include "fescue/serving/enginesend.h"

namespace fescue::serving {

std::string_view toString(MoveOutcome outcome) noexcept
{
    switch (outcome) {
    case MoveOutcome::Copied:
        return "copied";
    case MoveOutcome::NoSuchRun:
        return "no-such-run";
    case MoveOutcome::Busy:
        return "busy";
    case MoveOutcome::NoRoom:
        return "no-room";
    case MoveOutcome::NotSent:
        return "not-sent";
    case MoveOutcome::Unclear:
        return "unclear";
    }
    return "unknown";
}

} // namespace fescue::serving
