#pragma once

#include "fescue/core/result.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace fescue {

// Maximum number of arrays and objects within each other in a document from outside the process.
// Copying, writing and some ways of reading a value recurse once for each of them, and fibers have
// small stacks.
inline constexpr std::size_t maxDocumentDepth = 64;

// Parses JSON text from outside the process. Fails with MessageMalformed, and the position in the
// text where it is known, if the text is not JSON, holds a number that is not finite, or is nested
// deeper than `maxDepth`.
[[nodiscard]] Result<nlohmann::json> parseJson(std::string_view text,
                                               std::size_t maxDepth = maxDocumentDepth);
// Parses CBOR from outside the process, with the same limits.
[[nodiscard]] Result<nlohmann::json> parseCbor(std::string_view bytes,
                                               std::size_t maxDepth = maxDocumentDepth);

} // namespace fescue
