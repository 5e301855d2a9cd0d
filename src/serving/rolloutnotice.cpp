#include "fescue/serving/rolloutnotice.h"

#include "serving/cbor.h"

namespace fescue::serving {

namespace {

// Version of the datagram layout. Receivers ignore datagrams of another layout.
constexpr int layoutVersion = 2;
constexpr int reportType = 0;
constexpr int permitType = 1;

Json encodeCounts(const AnswerCounts &counts)
{
    return {counts.failures, counts.successes, counts.abandoned, counts.open};
}

AnswerCounts decodeCounts(const Json &json)
{
    AnswerCounts counts;
    counts.failures = numberAt<std::uint32_t>(json, 0);
    for (std::size_t i = 0; i < timeClasses; ++i) {
        counts.successes[i] = numberAt<std::uint32_t>(json.at(1), i);
        counts.abandoned[i] = numberAt<std::uint32_t>(json.at(2), i);
        counts.open[i] = numberAt<std::uint32_t>(json.at(3), i);
    }
    return counts;
}

std::string encode(const RolloutReport &report)
{
    Json routes = Json::array();
    for (const std::pair<const std::string, RouteEvidence> &entry : report.evidence) {
        if (routes.size() >= maxReportedRoutes)
            break;
        routes.push_back({entry.first, encodeCounts(entry.second.oldVersion),
                          encodeCounts(entry.second.newVersion)});
    }
    return toCbor({layoutVersion, reportType, report.from.text(), report.incarnation.value,
                   report.service.text(), report.order.value, report.order.era, report.change,
                   report.openAtOld, report.isRejected, routes, report.version,
                   report.duration.count, report.counts.requests, report.counts.toNew});
}

std::string encode(const RolloutPermit &permit)
{
    return toCbor({layoutVersion, permitType, permit.from.text(), permit.service.text(),
                   permit.order.value, permit.order.era, permit.age.count, permit.isHalted,
                   permit.isRejected, permit.version, permit.duration.count});
}

RolloutReport decodeReport(const Json &json)
{
    RolloutReport report;
    report.from = MemberName(json.at(2).get<std::string>());
    report.incarnation = {numberAt<std::uint64_t>(json, 3)};
    report.service = ServiceName(json.at(4).get<std::string>());
    report.order = {numberAt<std::uint64_t>(json, 5), numberAt<std::uint64_t>(json, 6)};
    report.change = numberAt<std::uint64_t>(json, 7);
    report.openAtOld = numberAt<std::uint32_t>(json, 8);
    report.isRejected = json.at(9).get<bool>();
    for (const Json &route : json.at(10)) {
        report.evidence[route.at(0).get<std::string>()] = {decodeCounts(route.at(1)),
                                                           decodeCounts(route.at(2))};
    }
    report.version = json.at(11).get<std::string>();
    report.duration = spanAt(json, 12);
    report.counts = {numberAt<std::uint64_t>(json, 13), numberAt<std::uint64_t>(json, 14)};
    return report;
}

RolloutPermit decodePermit(const Json &json)
{
    RolloutPermit permit;
    permit.from = MemberName(json.at(2).get<std::string>());
    permit.service = ServiceName(json.at(3).get<std::string>());
    permit.order = {numberAt<std::uint64_t>(json, 4), numberAt<std::uint64_t>(json, 5)};
    permit.age = spanAt(json, 6);
    permit.isHalted = json.at(7).get<bool>();
    permit.isRejected = json.at(8).get<bool>();
    permit.version = json.at(9).get<std::string>();
    permit.duration = spanAt(json, 10);
    return permit;
}

} // namespace

std::string encodeRolloutNotice(const RolloutNotice &notice)
{
    return std::visit([](const auto &message) { return encode(message); }, notice);
}

Result<RolloutNotice> decodeRolloutNotice(std::string_view bytes)
{
    return readCbor<RolloutNotice>(bytes, layoutVersion, "roll-out notice",
                                   [](const Json &json) -> RolloutNotice {
                                       if (numberAt<int>(json, 1) == reportType)
                                           return decodeReport(json);
                                       return decodePermit(json);
                                   });
}

} // namespace fescue::serving
