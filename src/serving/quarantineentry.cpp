#include "fescue/serving/quarantineentry.h"

#include "fescue/core/parsenumber.h"
#include "serving/cbor.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace fescue::serving {

namespace {

// Maximum number of parts in a key; keys are at most 200 bytes long.
constexpr std::size_t maxPartsInKey = 8;
constexpr std::size_t maxPartsInSummary = 8;

std::string hex(PartId part)
{
    std::array<char, 2 * sizeof(part)> buf {};
    const std::to_chars_result end = std::to_chars(buf.data(), buf.data() + buf.size(), part, 16);
    return {buf.data(), end.ptr};
}

std::string join(std::span<const PartId> parts, char separator)
{
    std::string text;
    for (const PartId part : parts)
        text += (text.empty() ? std::string() : std::string(1, separator)) + hex(part);
    return text;
}

// Reads hexadecimal ids. Throws Json::exception like the other readers.
std::vector<PartId> readParts(const Json &list)
{
    std::vector<PartId> parts;
    for (const Json &item : list) {
        const std::optional<PartId> part = parseNumber<PartId>(item.get<std::string>(), 16);
        if (!part)
            throw Json::other_error::create(501, "a part id is not hexadecimal", &item);
        parts.push_back(*part);
    }
    return parts;
}

Json hexList(std::span<const PartId> parts)
{
    Json list = Json::array();
    for (const PartId part : parts)
        list.push_back(hex(part));
    return list;
}

} // namespace

std::string quarantineKey(const QuarantineEntry &entry)
{
    const std::span<const PartId> parts(entry.parts);
    return std::string(quarantineKeyPrefix)
        + join(parts.first(std::min(parts.size(), maxPartsInKey)), '-');
}

std::string quarantineJson(const QuarantineEntry &entry, Millis now, Millis wallNow)
{
    const Millis offset = wallNow - now;
    const Json json = {{"parts", hexList(entry.parts)},
                       {"version", entry.version},
                       {"active", entry.active},
                       {"crashes", entry.crashes},
                       {"trials", entry.trials},
                       {"rivals", hexList(entry.rivals)},
                       {"since_unix_ms", (entry.since + offset).count},
                       {"last_crash_unix_ms", (entry.lastCrashAt + offset).count},
                       {"last_trial_unix_ms", (entry.lastTrialAt + offset).count}};
    return json.dump();
}

Result<QuarantineEntry> parseQuarantineJson(std::string_view json, Millis now, Millis wallNow)
{
    // Wall clocks of two machines may differ, so no time may lie in the future.
    const auto point = [now, wallNow](const Json &value) {
        return std::min(now, readSpan(value, "a point in time") - wallNow + now);
    };
    const Result<Json> parsed = parseJson(json);
    if (!parsed)
        return fail(ResultCode::StoreProtocol, "quarantine entry: " + parsed.error().message);
    const Json &value = *parsed;
    try {
        QuarantineEntry entry;
        entry.parts = readParts(value.at("parts"));
        entry.version = readWholeNumber<std::uint32_t>(value.at("version"), "version");
        entry.active = value.at("active").get<bool>();
        entry.crashes = readWholeNumber<std::uint32_t>(value.at("crashes"), "crashes");
        entry.trials = readWholeNumber<std::uint32_t>(value.at("trials"), "trials");
        entry.rivals = readParts(value.at("rivals"));
        entry.since = point(value.at("since_unix_ms"));
        entry.lastCrashAt = point(value.at("last_crash_unix_ms"));
        entry.lastTrialAt = point(value.at("last_trial_unix_ms"));
        if (entry.parts.empty())
            return fail(ResultCode::StoreProtocol, "a quarantine entry has no parts");
        std::sort(entry.parts.begin(), entry.parts.end());
        return entry;
    } catch (const Json::exception &e) {
        return fail(ResultCode::StoreProtocol, std::string("quarantine entry: ") + e.what());
    }
}

std::string partsText(std::span<const PartId> parts)
{
    return join(parts, ',');
}

std::string partsSummary(std::span<const PartId> parts)
{
    const bool isShort = parts.size() <= maxPartsInSummary;
    return isShort ? partsText(parts) : partsText(parts.first(maxPartsInSummary)) + ",...";
}

} // namespace fescue::serving
