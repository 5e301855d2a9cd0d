#pragma once

#include "fescue/core/result.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace fescue {

// Everything that is wrong with a text, in the order of the text.
using ErrorList = std::vector<Error>;

// A value, or all errors that were found on the way to it.
template <typename T>
using Checked = tl::expected<T, ErrorList>;

// Returns one line for each error.
[[nodiscard]] std::string toString(const ErrorList &errors);

// Reads a whole file of at most the given size.
[[nodiscard]] Result<std::string> readTextFile(const std::string &path,
                                               std::size_t maxBytes = 4ULL * 1024 * 1024);

} // namespace fescue
