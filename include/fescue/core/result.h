#pragma once

#include "fescue/core/resultcode.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace fescue {

// A place in a text file. Lines and columns count from 1; 0 means that the place is not known.
struct SourcePosition
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    bool operator==(const SourcePosition &) const = default;
};

// A failed operation: the numbered code, a message that says what a person can do about it, and
// the place in a file where one is to blame.
struct Error
{
    ResultCode code = ResultCode::Internal;
    std::string message;
    SourcePosition position = {};
    // The system's error number where one of its calls failed, else 0.
    int systemError = 0;

    // Returns "file:line:column: message (code name)", without the parts that are not known.
    [[nodiscard]] std::string toString() const;
};

// A value of type T, or the error that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

// Makes the failed state of any Result.
[[nodiscard]] tl::unexpected<Error> fail(ResultCode code, std::string message,
                                         SourcePosition position = {});

} // namespace fescue
