#include "fescue/core/claimrecord.h"

#include "fescue/core/jsondocument.h"
#include "fescue/core/jsonnumber.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace fescue {

namespace {

using Json = nlohmann::json;

struct StateText
{
    ClaimState state;
    std::string_view text;
};

constexpr std::array<StateText, 4> stateTexts {{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Done, "done"},
    {ClaimState::NotRun, "not-run"},
    {ClaimState::Unknown, "unknown"},
}};

std::string_view stateText(ClaimState state) noexcept
{
    for (const StateText &item : stateTexts) {
        if (item.state == state)
            return item.text;
    }
    return "unknown";
}

std::optional<ClaimState> stateFromText(std::string_view text) noexcept
{
    for (const StateText &item : stateTexts) {
        if (item.text == text)
            return item.state;
    }
    return std::nullopt;
}

constexpr unsigned char firstNonAscii = 0x80;
constexpr unsigned char twoByteLead = 0xC0;
constexpr unsigned char continuation = 0x80;
constexpr unsigned char continuationMask = 0x3F;
constexpr unsigned char highestLead = 0xC3;
constexpr unsigned int continuationBits = 6;

// Writes each byte as the UTF-8 form of the code point of that number, since JSON holds text only.
std::string bytesToUtf8(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const unsigned char byte = static_cast<unsigned char>(c);
        if (byte < firstNonAscii) {
            text.push_back(c);
            continue;
        }
        text.push_back(static_cast<char>(twoByteLead | (byte >> continuationBits)));
        text.push_back(static_cast<char>(continuation | (byte & continuationMask)));
    }
    return text;
}

// Undoes bytesToUtf8(). Empty where the text holds a code point above 255. The text is valid UTF-8.
std::optional<std::string> utf8ToBytes(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t n = 0; n < text.size(); ++n) {
        const unsigned char lead = static_cast<unsigned char>(text[n]);
        if (lead < firstNonAscii) {
            bytes.push_back(text[n]);
            continue;
        }
        if (lead > highestLead || n + 1 == text.size())
            return std::nullopt;
        ++n;
        const unsigned char rest = static_cast<unsigned char>(text[n]) & continuationMask;
        bytes.push_back(static_cast<char>((lead << continuationBits) | rest));
    }
    return bytes;
}

tl::unexpected<Error> malformed(const std::string &reason)
{
    return fail(ResultCode::StoreProtocol, "claim record " + reason);
}

std::string textField(const Json &json, const char *name)
{
    return json.at(name).get<std::string>();
}

// Throws nlohmann::json::exception where a field is missing or has another type.
Result<ClaimRecord> fromJson(const Json &json)
{
    const std::optional<ClaimState> state = stateFromText(textField(json, "state"));
    if (!state)
        return malformed("has an unknown state");
    const std::optional<std::string> body = utf8ToBytes(textField(json, "body"));
    if (!body)
        return malformed("has a body that does not encode bytes");
    const Millis deadlineLeft = readSpan(json.at("deadline_ms"), "deadline_ms");
    if (deadlineLeft < Millis {0})
        return malformed("has a negative deadline");
    ClaimRecord record;
    record.nonce = textField(json, "nonce");
    record.requestDigest = textField(json, "digest");
    record.state = *state;
    record.holder.member = MemberName {textField(json, "holder")};
    record.holder.incarnation = {
        readWholeNumber<std::uint64_t>(json.at("incarnation"), "incarnation")};
    record.deadlineLeft = deadlineLeft;
    record.answer.status = readWholeNumber<std::uint16_t>(json.at("status"), "status");
    record.answer.contentType = textField(json, "content_type");
    record.answer.body = *body;
    record.bodyDropped = json.at("body_dropped").get<bool>();
    if (record.nonce.empty())
        return malformed("has no nonce");
    return record;
}

} // namespace

std::string ClaimRecord::toText() const
{
    const Json json = {
        {"nonce", nonce},
        {"digest", requestDigest},
        {"state", stateText(state)},
        {"holder", holder.member.text()},
        {"incarnation", holder.incarnation.value},
        {"deadline_ms", deadlineLeft.count},
        {"status", answer.status},
        {"content_type", answer.contentType},
        {"body", bytesToUtf8(answer.body)},
        {"body_dropped", bodyDropped},
    };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimRecord> ClaimRecord::parse(std::string_view text)
{
    const Result<Json> json = parseJson(text);
    if (!json || !json->is_object())
        return malformed("is not a JSON object");
    try {
        return fromJson(*json);
    } catch (const Json::exception &e) {
        return malformed(std::string {"is incomplete: "} + e.what());
    }
}

} // namespace fescue
