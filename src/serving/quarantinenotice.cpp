#include "fescue/serving/quarantinenotice.h"

#include "serving/cbor.h"

namespace fescue::serving {

namespace {

// Version of the datagram layout. Receivers ignore datagrams of another layout.
constexpr int layoutVersion = 1;
// Maximum number of part ids in one message; with the other fields it fits into a datagram.
constexpr std::size_t idsPerMessage = 640;

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

std::vector<PartId> readIds(const Json &list)
{
    std::vector<PartId> ids;
    ids.reserve(list.size());
    for (const Json &id : list)
        ids.push_back(readWholeNumber<PartId>(id, "a part id"));
    return ids;
}

QuarantineEntry decodeEntry(const Json &json, Millis now)
{
    QuarantineEntry entry;
    entry.parts = readIds(json.at(0));
    entry.version = numberAt<std::uint32_t>(json, 1);
    entry.active = json.at(2).get<bool>();
    entry.crashes = numberAt<std::uint32_t>(json, 3);
    entry.trials = numberAt<std::uint32_t>(json, 4);
    entry.rivals = readIds(json.at(5));
    entry.since = now - spanAt(json, 6);
    entry.lastCrashAt = now - spanAt(json, 7);
    entry.lastTrialAt = now - spanAt(json, 8);
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
                                           {numberAt<std::uint64_t>(crash, 1)}},
                                          spanAt(crash, 2),
                                          readIds(crash.at(3))});
            }
            notice.startedParts = readIds(json.at(3));
            for (const Json &entry : json.at(4))
                notice.entries.push_back(decodeEntry(entry, now));
            return notice;
        });
}

} // namespace fescue::serving
