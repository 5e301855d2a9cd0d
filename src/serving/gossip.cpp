#include "fescue/serving/gossip.h"

#include "serving/cbor.h"

#include <algorithm>
#include <span>

namespace fescue::serving {

namespace {

// Version of the datagram layout. Receivers ignore datagrams of a later layout.
constexpr int layoutVersion = 1;

Json encodeMember(const MemberInfo &member)
{
    return {member.name.text(), member.incarnation.value, member.zone.text(), member.callerAddress,
            member.peerAddress, member.leaving,           member.linkMegabits};
}

MemberInfo decodeMember(const Json &json)
{
    MemberInfo member;
    member.name = MemberName(json.at(0).get<std::string>());
    member.incarnation = {numberAt<std::uint64_t>(json, 1)};
    member.zone = ZoneName(json.at(2).get<std::string>());
    member.callerAddress = json.at(3).get<std::string>();
    member.peerAddress = json.at(4).get<std::string>();
    member.leaving = json.at(5).get<bool>();
    member.linkMegabits = numberAt<std::uint32_t>(json, 6);
    return member;
}

// Encodes an unknown time.
constexpr std::int64_t unknownTime = -1;
// Maximum number of endpoints in one datagram of loads.
constexpr std::size_t loadsPerDatagram = 128;

Json encodeLoads(std::span<const EndpointLoadEntry> loads)
{
    Json list = Json::array();
    for (const EndpointLoadEntry &entry : loads)
        list.push_back({entry.endpoint.text(), entry.load.requests, entry.load.memoryTokens,
                        entry.load.prefillTokens});
    return list;
}

std::vector<EndpointLoadEntry> decodeLoads(const Json &list)
{
    std::vector<EndpointLoadEntry> loads;
    for (const Json &entry : list) {
        loads.push_back({EndpointName(entry.at(0).get<std::string>()),
                         {numberAt<std::uint32_t>(entry, 1), numberAt<std::uint64_t>(entry, 2),
                          numberAt<std::uint64_t>(entry, 3)}});
    }
    return loads;
}

Json encodeIncarnations(std::span<const EndpointIncarnation> incarnations)
{
    Json list = Json::array();
    for (const EndpointIncarnation &endpointIncarnation :
         incarnations.first(std::min(incarnations.size(), maxIncarnationsPerDatagram)))
        list.push_back(
            {endpointIncarnation.endpoint.text(), endpointIncarnation.incarnation.value});
    return list;
}

std::vector<EndpointIncarnation> decodeIncarnations(const Json &list)
{
    std::vector<EndpointIncarnation> incarnations;
    for (const Json &entry : list)
        incarnations.push_back(
            {EndpointName(entry.at(0).get<std::string>()), {numberAt<std::uint64_t>(entry, 1)}});
    return incarnations;
}

Json encodePrefixReads(std::span<const PrefixRead> reads)
{
    Json list = Json::array();
    for (const PrefixRead &read :
         reads.first(std::min(reads.size(), CachedPrefixes::maxReported))) {
        list.push_back({read.endpoint.endpoint.text(), read.endpoint.incarnation.value, read.prefix,
                        read.tokens});
    }
    return list;
}

std::vector<PrefixRead> decodePrefixReads(const Json &list)
{
    std::vector<PrefixRead> reads;
    for (const Json &entry : list) {
        reads.push_back(
            {{EndpointName(entry.at(0).get<std::string>()), {numberAt<std::uint64_t>(entry, 1)}},
             numberAt<std::uint64_t>(entry, 2),
             numberAt<std::uint32_t>(entry, 3)});
    }
    return reads;
}

} // namespace

std::string encodeGossip(const Gossip &gossip)
{
    const Json loads = encodeLoads(gossip.loads);
    Json retries = Json::array();
    for (const ServiceRetries &entry : gossip.retries)
        retries.push_back({entry.service.text(), entry.used});
    const Json json = {layoutVersion,
                       encodeMember(gossip.member),
                       gossip.configVersion.value,
                       loads,
                       retries,
                       encodeIncarnations(gossip.leaving),
                       encodeIncarnations(gossip.refusingEndpoints),
                       encodePrefixReads(gossip.prefixReads)};
    return toCbor(json);
}

Result<Gossip> decodeGossip(std::string_view bytes)
{
    return readCbor<Gossip>(bytes, layoutVersion, "gossip", [](const Json &json) {
        Gossip gossip;
        gossip.member = decodeMember(json.at(1));
        gossip.configVersion = {numberAt<std::uint64_t>(json, 2)};
        gossip.loads = decodeLoads(json.at(3));
        for (const Json &entry : json.at(4)) {
            gossip.retries.push_back(
                {ServiceName(entry.at(0).get<std::string>()), numberAt<std::uint32_t>(entry, 1)});
        }
        // Processes of the previous release do not send these fields.
        constexpr std::size_t leavingField = 5;
        constexpr std::size_t refusingField = 6;
        if (json.size() > refusingField) {
            gossip.leaving = decodeIncarnations(json.at(leavingField));
            gossip.refusingEndpoints = decodeIncarnations(json.at(refusingField));
        }
        constexpr std::size_t prefixField = 7;
        if (json.size() > prefixField)
            gossip.prefixReads = decodePrefixReads(json.at(prefixField));
        return gossip;
    });
}

std::string encodeLeavingNotice(const LeavingNotice &notice)
{
    const std::int64_t leaves = notice.leavesIn ? notice.leavesIn->count : unknownTime;
    return toCbor(
        {layoutVersion, notice.fromZone.text(), encodeIncarnations(notice.endpoints), leaves});
}

Result<LeavingNotice> decodeLeavingNotice(std::string_view bytes)
{
    return readCbor<LeavingNotice>(bytes, layoutVersion, "leaving endpoints", [](const Json &json) {
        LeavingNotice notice {
            ZoneName(json.at(1).get<std::string>()), decodeIncarnations(json.at(2)), {}};
        const Millis leaves = spanAt(json, 3);
        if (leaves != Millis {unknownTime})
            notice.leavesIn = leaves;
        return notice;
    });
}

std::vector<std::string> encodeZoneLoads(std::span<const ZoneLoads> zones)
{
    std::vector<std::string> texts;
    for (const ZoneLoads &zone : zones) {
        std::span<const EndpointLoadEntry> rest = zone.loads;
        // A zone without load is sent as well, so that receivers know that its load is zero.
        do {
            const std::span<const EndpointLoadEntry> part =
                rest.first(std::min(rest.size(), loadsPerDatagram));
            texts.push_back(
                toCbor({layoutVersion, zone.zone.text(), zone.age.count, encodeLoads(part)}));
            rest = rest.subspan(part.size());
        } while (!rest.empty());
    }
    return texts;
}

Result<ZoneLoads> decodeZoneLoads(std::string_view bytes)
{
    return readCbor<ZoneLoads>(bytes, layoutVersion, "zone loads", [](const Json &json) {
        return ZoneLoads {ZoneName(json.at(1).get<std::string>()), spanAt(json, 2),
                          decodeLoads(json.at(3))};
    });
}

} // namespace fescue::serving
