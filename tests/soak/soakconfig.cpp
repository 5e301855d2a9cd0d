#include "tests/soak/soakconfig.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue::soak {

using Json = nlohmann::json;

namespace {

std::string_view kindName(CallKind kind)
{
    switch (kind) {
    case CallKind::Read:
        return "idempotent";
    case CallKind::Post:
        return "non_idempotent";
    case CallKind::Draft:
    case CallKind::Verdict:
        break;
    }
    return "streaming";
}

Json describe(const std::string &prefix, const SoakRoute &route)
{
    const bool streamed = isStreamed(route.kind);
    Json json = {{"Name", "r" + prefix},
                 {"Host", soakHost},
                 {"Prefix", prefix},
                 {"RouteKind", kindName(route.kind)},
                 {"TimeoutMs", route.timeout.count},
                 {"TargetLatencyMs", streamed ? 1800 : 150},
                 {"Priority", streamed ? 1 : 0},
                 {"Service", route.service},
                 {"MaxAttempts", mayRunAgain(route.kind) ? 2 : 1},
                 {"Anonymous", false},
                 {"SessionAffinity", streamed}};
    if (streamed)
        json["TargetItlMs"] = 180;
    if (route.kind == CallKind::Verdict)
        json["StreamResumption"] = true;
    return json;
}

Json plainService(std::string_view name)
{
    return {{"Name", name}, {"HealthPath", "/healthz"}, {"MaxConnections", 200}, {"Protocol", "h1"},
            {"Tls", false}, {"ColdStartS", 0.0},        {"ColdPerS", 0.0}};
}

Json engineServiceSpec()
{
    // The sizes of the users' first deployments.
    const Json engine = {{"Slots", 64},      {"KvCapacity", 34631}, {"KvBytes", 18432},
                         {"LinkMbps", 2700}, {"Migrations", true},  {"Backups", true},
                         {"Stride", 4},      {"most", 12},          {"PinMs", 4000},
                         {"HoldMs", 2000},   {"HandleTtlS", 5.0},   {"Models", Json::array()}};
    return {{"Name", engineService}, {"HealthPath", "/healthz"},
            {"MaxConnections", 400}, {"Protocol", "h1"},
            {"Tls", false},          {"ColdStartS", 1.0},
            {"ColdPerS", 30.0},      {"Engine", engine}};
}

} // namespace

std::string_view toString(CallKind kind) noexcept
{
    switch (kind) {
    case CallKind::Read:
        return "read";
    case CallKind::Post:
        return "post";
    case CallKind::Draft:
        return "draft";
    case CallKind::Verdict:
        break;
    }
    return "verdict";
}

std::string SoakConfig::encode() const
{
    Json json = {{"Version", version},
                 {"Routes", Json::array()},
                 {"Services", {plainService(firstPlainService), plainService(secondPlainService)}},
                 {"Limits",
                  {{"MaxHeaderBytes", 16384},
                   {"MaxBodyBytes", 4194304},
                   {"HeaderTimeoutMs", 3000},
                   {"IdleTimeoutMs", 15000}}},
                 {"Tenants", Json::array()}};
    json["Services"].push_back(engineServiceSpec());
    for (const std::pair<const std::string, SoakRoute> &entry : routes)
        json["Routes"].push_back(describe(entry.first, entry.second));
    const SoakRoute filler {CallKind::Read, std::string(firstPlainService), 1_s};
    for (unsigned i = 0; i < fillers; ++i)
        json["Routes"].push_back(describe("/filler" + std::to_string(i) + "/", filler));
    std::map<std::string, Json> accounts;
    for (const std::pair<const std::string, std::string> &entry : keys)
        accounts[entry.second].push_back(entry.first);
    for (const std::pair<const std::string, Json> &entry : accounts)
        json["Tenants"].push_back({{"Name", entry.first + versionMark + std::to_string(version)},
                                   {"ApiKeys", entry.second}});
    return json.dump();
}

std::string EndpointEntry::encode() const
{
    const Json json = {{"Service", service},
                       {"Address", address},
                       {"Zone", zone},
                       {"Version", version},
                       {"Slots", slots},
                       {"State", draining ? "draining" : "ready"},
                       {"ColdRemainingMs", std::max<std::int64_t>(coldLeft.count, 0)},
                       {"Sequence", 1},
                       {"born", bornAt.count}};
    return json.dump();
}

SoakConfig firstConfig()
{
    SoakConfig config;
    config.routes["/draft/"] = {CallKind::Draft, std::string(engineService), 20_s};
    config.routes["/post/"] = {CallKind::Post, std::string(firstPlainService), 1500_ms};
    config.routes["/read/"] = {CallKind::Read, std::string(secondPlainService), 1500_ms};
    for (const std::string account : {"diner", "kiosk", "coffee"})
        config.keys["key-" + account] = account;
    return config;
}

void ConfigHistory::add(const SoakConfig &config, Millis acknowledgedAt)
{
    m_versions.push_back({config, acknowledgedAt});
}

std::vector<const SoakConfig *> ConfigHistory::inForce(Millis from, Millis to, bool inTouch) const
{
    std::vector<const SoakConfig *> found;
    for (std::size_t i = 0; i < m_versions.size(); ++i) {
        const bool begun = m_versions[i].acknowledgedAt <= to;
        const bool replaced =
            i + 1 < m_versions.size() && m_versions[i + 1].acknowledgedAt + applyTime < from;
        if (begun && !(replaced && inTouch))
            found.push_back(&m_versions[i].config);
    }
    return found;
}

} // namespace fescue::soak
