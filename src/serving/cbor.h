#pragma once

#include "fescue/core/jsondocument.h"
#include "fescue/core/jsonnumber.h"
#include "fescue/core/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Encoding of the messages between entry processes: a CBOR array whose first element is the version
// of its layout.
namespace fescue::serving {

using Json = nlohmann::json;

[[nodiscard]] inline std::string toCbor(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

// Returns the whole number at a position of a list. Throws Json::exception if there is none that
// fits into T.
template <std::integral T>
[[nodiscard]] T numberAt(const Json &list, std::size_t position)
{
    const std::optional<T> number = findWholeNumber<T>(list.at(position));
    return number ? *number
                  : readWholeNumber<T>(list.at(position), "item " + std::to_string(position));
}

// Returns the milliseconds at a position of a list. Throws Json::exception if there are none, or
// more than maxInputSpan.
[[nodiscard]] inline Millis spanAt(const Json &list, std::size_t position)
{
    const std::optional<Millis> span = findSpan(list.at(position), 1_ms);
    return span ? *span : readSpan(list.at(position), "item " + std::to_string(position));
}

// Decodes a message with `reader`; `what` names the message in errors. Fails with
// MessageVersionUnknown for another layout version, and with MessageMalformed if the message does
// not match the layout.
template <typename T, typename F>
Result<T> readCbor(std::string_view bytes, int layoutVersion, std::string_view what, F reader)
{
    const Result<Json> json = parseCbor(bytes);
    if (!json)
        return fail(ResultCode::MessageMalformed, std::string(what) + ": " + json.error().message);
    try {
        if (numberAt<int>(*json, 0) != layoutVersion)
            return fail(ResultCode::MessageVersionUnknown,
                        std::string(what) + " has an unknown layout version");
        return reader(*json);
    } catch (const Json::exception &e) {
        return fail(ResultCode::MessageMalformed, std::string(what) + ": " + e.what());
    }
}

} // namespace fescue::serving
