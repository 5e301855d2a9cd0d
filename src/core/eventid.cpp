#include "fescue/core/eventid.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <system_error>

namespace fescue {

namespace {

constexpr std::size_t partCount = 4;

bool isPartCharacter(char c) noexcept
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '.' || c == '-' || c == '_';
}

bool isPart(std::string_view text) noexcept
{
    if (text.empty() || text.size() > EventId::maxPartLength)
        return false;
    return std::all_of(text.begin(), text.end(), isPartCharacter);
}

// Accepts only the canonical form, so that one number has one text.
std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept
{
    if (text.empty() || (text.size() > 1 && text.front() == '0'))
        return std::nullopt;
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc {} || result.ptr != end)
        return std::nullopt;
    return value;
}

// Splits at each '~'. Empty where the number of parts is wrong.
std::optional<std::array<std::string_view, partCount>> splitParts(std::string_view text) noexcept
{
    std::array<std::string_view, partCount> parts;
    for (std::size_t n = 0; n + 1 < partCount; ++n) {
        const std::size_t end = text.find('~');
        if (end == std::string_view::npos)
            return std::nullopt;
        parts[n] = text.substr(0, end);
        text.remove_prefix(end + 1);
    }
    parts.back() = text;
    return parts;
}

tl::unexpected<Error> malformed(std::string reason)
{
    return fail(ResultCode::BadEventId, "event id " + std::move(reason));
}

} // namespace

std::string generationName(const AccountName &account, const GenerationId &id)
{
    return account.text() + '~' + id.endpoint.text() + '~' + std::to_string(id.incarnation.value)
        + '~' + id.stream;
}

GenerationId EventId::generation() const
{
    return {endpoint, incarnation, stream};
}

std::string EventId::formatPrefix() const
{
    return endpoint.text() + '~' + std::to_string(incarnation.value) + '~' + stream + '~' + mac
        + ':';
}

std::string EventId::toString() const
{
    return formatPrefix() + std::to_string(index);
}

Result<EventId> EventId::parse(std::string_view text)
{
    if (text.size() > maxLength)
        return malformed("is longer than " + std::to_string(maxLength) + " bytes");
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed("has no ':' before the token index");
    const std::optional<std::uint64_t> index = parseNumber(text.substr(colon + 1));
    if (!index)
        return malformed("has a token index that is not a decimal number");
    const std::optional<std::array<std::string_view, partCount>> parts =
        splitParts(text.substr(0, colon));
    if (!parts)
        return malformed("needs the form endpoint~incarnation~stream~code:index");
    const std::optional<std::uint64_t> incarnation = parseNumber((*parts)[1]);
    if (!incarnation)
        return malformed("has an incarnation that is not a decimal number");
    if (!isPart((*parts)[0]) || !isPart((*parts)[2]) || !isPart((*parts)[3]))
        return malformed("has an empty, overlong or malformed part");
    return EventId {EndpointName {(*parts)[0]}, Incarnation {*incarnation},
                    std::string {(*parts)[2]}, std::string {(*parts)[3]}, *index};
}

} // namespace fescue
