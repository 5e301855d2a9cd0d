#include "fescue/serving/quarantinenotice.h"

#include "fescue/core/parsenumber.h"
#include "serving/cbor.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace fescue::serving {

namespace {

// Version of the datagram layout. Receivers ignore datagrams of another layout.
constexpr int layoutVersion = 1;
// Maximum number of part ids in one message; with the other fields it fits into a datagram.
constexpr std::size_t idsPerMessage = 640;
// Maximum number of parts in a key; keys are at most 200 bytes long.
constexpr std::size_t maxPartsInKey = 8;

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

Json encodeEntry(const QuarantineEntry &entry, Millis now)
{
    return {entry.parts,
            entry.version,
            entry.active,
            entry.crashes,
            entry.trials,
            entry.rivals,
            (now - entry.since).count,
            (now - entry.lastCrashAt).count,
            (now - entry.lastTrialAt).count};
}

QuarantineEntry decodeEntry(const Json &json, Millis now)
{
    QuarantineEntry entry;
    entry.parts = json.at(0).get<std::vector<PartId>>();
    entry.version = json.at(1).get<std::uint32_t>();
    entry.active = json.at(2).get<bool>();
    entry.crashes = json.at(3).get<std::uint32_t>();
    entry.trials = json.at(4).get<std::uint32_t>();
    entry.rivals = json.at(5).get<std::vector<PartId>>();
    entry.since = now - Millis {json.at(6).get<std::int64_t>()};
    entry.lastCrashAt = now - Millis {json.at(7).get<std::int64_t>()};
    entry.lastTrialAt = now - Millis {json.at(8).get<std::int64_t>()};
    return entry;
}

std::string encode(const QuarantineNotice &notice, Millis now)
{
    Json crashes = Json::array();
    for (const CrashReport &crash : notice.crashes)
        crashes.push_back({crash.engine.endpoint.text(), crash.engine.incarnation.value,
                           crash.age.count, crash.parts});
    Json entries = Json::array();
    for (const QuarantineEntry &entry : notice.entries)
        entries.push_back(encodeEntry(entry, now));
    return toCbor({layoutVersion, notice.fromZone.text(), crashes, notice.startedParts, entries});
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

std::vector<std::string> encodeQuarantineNotice(const QuarantineNotice &notice, Millis now)
{
    std::vector<std::string> messages;
    QuarantineNotice next;
    next.fromZone = notice.fromZone;
    std::size_t ids = 0;
    const auto reserve = [&](std::size_t n) {
        if (ids > 0 && ids + n > idsPerMessage) {
            messages.push_back(encode(next, now));
            next = {};
            next.fromZone = notice.fromZone;
            ids = 0;
        }
        ids += n;
    };
    // An entry or a report counts at least as much as the ids that its other fields take.
    constexpr std::size_t otherFields = 8;
    for (const CrashReport &crash : notice.crashes) {
        reserve(crash.parts.size() + otherFields);
        next.crashes.push_back(crash);
    }
    for (const PartId part : notice.startedParts) {
        reserve(1);
        next.startedParts.push_back(part);
    }
    for (const QuarantineEntry &entry : notice.entries) {
        reserve(entry.parts.size() + entry.rivals.size() + otherFields);
        next.entries.push_back(entry);
    }
    if (!next.empty())
        messages.push_back(encode(next, now));
    return messages;
}

Result<QuarantineNotice> decodeQuarantineNotice(std::string_view bytes, Millis now)
{
    return readCbor<QuarantineNotice>(
        bytes, layoutVersion, "quarantine notice", [now](const Json &json) {
            QuarantineNotice notice;
            notice.fromZone = ZoneName(json.at(1).get<std::string>());
            for (const Json &crash : json.at(2)) {
                notice.crashes.push_back({{EndpointName(crash.at(0).get<std::string>()),
                                           {crash.at(1).get<std::uint64_t>()}},
                                          Millis {crash.at(2).get<std::int64_t>()},
                                          crash.at(3).get<std::vector<PartId>>()});
            }
            notice.startedParts = json.at(3).get<std::vector<PartId>>();
            for (const Json &entry : json.at(4))
                notice.entries.push_back(decodeEntry(entry, now));
            return notice;
        });
}

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
        return std::min(now, Millis {value.get<std::int64_t>()} - wallNow + now);
    };
    try {
        const Json value = Json::parse(json);
        QuarantineEntry entry;
        entry.parts = readParts(value.at("parts"));
        entry.version = value.at("version").get<std::uint32_t>();
        entry.active = value.at("active").get<bool>();
        entry.crashes = value.at("crashes").get<std::uint32_t>();
        entry.trials = value.at("trials").get<std::uint32_t>();
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

} // namespace fescue::serving
