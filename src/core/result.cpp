#include "fescue/core/result.h"

#include <utility>

namespace fescue {

std::string Error::toString() const
{
    std::string text;
    if (!position.file.empty()) {
        text += position.file;
        if (position.line > 0)
            text += ':' + std::to_string(position.line) + ':' + std::to_string(position.column);
        text += ": ";
    }
    text += message;
    text += " (" + std::to_string(static_cast<unsigned>(code)) + ' ';
    text += fescue::toString(code);
    text += ')';
    return text;
}

tl::unexpected<Error> fail(ResultCode code, std::string message, SourcePosition position)
{
    return tl::unexpected<Error>(Error {code, std::move(message), std::move(position)});
}

} // namespace fescue
