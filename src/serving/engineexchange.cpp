#include "fescue/serving/engineexchange.h"

#include <cerrno>

namespace fescue::serving {

SendOutcome outcomeOf(const Error &error) noexcept
{
    switch (error.code) {
    case ResultCode::ConnectFailed:
        return error.systemError == ECONNREFUSED ? SendOutcome::Refused : SendOutcome::NotSent;
    case ResultCode::Cancelled:
        return SendOutcome::CallerGone;
    case ResultCode::BackEndTimeout:
    case ResultCode::LinkSilent:
        return SendOutcome::TimedOut;
    default:
        return SendOutcome::Lost;
    }
}

} // namespace fescue::serving
