#include "fescue/gateway/completionrequest.h"

#include "fescue/core/jsondocument.h"

#include <xxhash.h>

namespace fescue::gateway {

namespace {

constexpr std::uint32_t bytesPerToken = 4;
constexpr std::size_t prefixBytes = 256;

} // namespace

Result<CompletionRequest> parseCompletionRequest(std::string_view body)
{
    const Result<nlohmann::json> parsed = parseJson(body);
    if (!parsed || !parsed->is_object())
        return fail(ResultCode::BadRequest, "the body must be a JSON object");
    const nlohmann::json &json = *parsed;
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string())
        return fail(ResultCode::BadRequest, "field \"model\" must be a string");
    const auto prompt = json.find("prompt");
    if (prompt == json.end() || !prompt->is_string())
        return fail(ResultCode::BadRequest, "field \"prompt\" must be a string");

    CompletionRequest request;
    request.model = ServiceName {model->get<std::string>()};
    request.prompt = prompt->get<std::string>();

    const auto maxTokens = json.find("max_tokens");
    if (maxTokens != json.end()) {
        if (!maxTokens->is_number_unsigned() || maxTokens->get<std::uint64_t>() > UINT32_MAX)
            return fail(ResultCode::BadRequest, "field \"max_tokens\" must be a whole number");
        request.maxTokens = maxTokens->get<std::uint32_t>();
    }
    const auto stream = json.find("stream");
    if (stream != json.end()) {
        if (!stream->is_boolean())
            return fail(ResultCode::BadRequest, "field \"stream\" must be true or false");
        request.stream = stream->get<bool>();
    }
    return request;
}

std::uint32_t promptTokens(std::string_view prompt) noexcept
{
    return static_cast<std::uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

std::uint64_t prefixHash(std::string_view prompt) noexcept
{
    const std::string_view head = prompt.substr(0, prefixBytes);
    return XXH3_64bits(head.data(), head.size());
}

} // namespace fescue::gateway
