#pragma once

#include "fescue/core/jsondocument.h"
#include "fescue/core/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
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
        if (json->at(0).get<int>() != layoutVersion)
            return fail(ResultCode::MessageVersionUnknown,
                        std::string(what) + " has an unknown layout version");
        return reader(*json);
    } catch (const Json::exception &e) {
        return fail(ResultCode::MessageMalformed, std::string(what) + ": " + e.what());
    }
}

} // namespace fescue::serving
