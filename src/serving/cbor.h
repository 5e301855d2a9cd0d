#pragma once

#include "fescue/core/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

// The form of the messages between entry processes: a CBOR array that begins with the number of
// its layout.
namespace fescue::serving {

using Json = nlohmann::json;

[[nodiscard]] inline std::string toCbor(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

// Runs a reader of a message; `what` names it in errors. Messages of another layout are refused
// with MessageVersionUnknown, those of another shape with MessageMalformed.
template <typename T, typename F>
Result<T> readCbor(std::string_view bytes, int layoutVersion, std::string_view what, F reader)
{
    try {
        const Json json = Json::from_cbor(bytes.begin(), bytes.end());
        if (json.at(0).get<int>() != layoutVersion)
            return fail(ResultCode::MessageVersionUnknown,
                        std::string(what) + " of another layout");
        return reader(json);
    } catch (const Json::exception &e) {
        return fail(ResultCode::MessageMalformed, std::string(what) + ": " + e.what());
    }
}

} // namespace fescue::serving
