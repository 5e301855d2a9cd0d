#include "tests/standins/store/storestandin.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescue::standins {

namespace {

constexpr std::size_t maxValueBytes = 1'000'000;
constexpr Millis watchTick = 2_ms;
const std::string keyPrefix = "/v1/kv/";
const std::string leasePrefix = "/v1/leases";

net::HttpResponse status(int code, const Json &json = Json::object())
{
    return net::jsonResponse(code, json.dump());
}

bool isWrite(const net::HttpRequest &request)
{
    return request.method != "GET";
}

std::string keyOf(const net::HttpRequest &request)
{
    if (request.target.starts_with(keyPrefix))
        return net::decodePercent(request.target.substr(keyPrefix.size()));
    return request.queryValue("prefix").value_or("leases");
}

} // namespace

void StoreStandIn::handle(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    if (request.target.starts_with("/control")) {
        control(request, writer);
        return;
    }
    count(request);
    while (m_outage == Outage::Hang && !writer.callerGone())
        net::sleepFor(watchTick);
    if (m_outage != Outage::None || writer.callerGone()) {
        writer.abort();
        return;
    }
    if (m_delay > 0_ms)
        net::sleepFor(m_delay);
    expireLeases();
    const net::HttpResponse response = answer(request);
    if (losesAnswer(request) || m_outage != Outage::None)
        writer.abort();
    else
        static_cast<void>(writer.send(response));
}

void StoreStandIn::control(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    if (request.method == "POST") {
        const Json json = Json::parse(request.body);
        if (json.contains("outage")) {
            const bool isOff = json["outage"] == false;
            const Outage kind = json["outage"] == "hang" ? Outage::Hang : Outage::Refuse;
            m_outage = isOff ? Outage::None : kind;
        }
        m_delay = {json.value("delay_ms", m_delay.count)};
        m_loseAnswers = json.value("lose_answer_next", m_loseAnswers);
        m_losePrefix = json.value("lose_answer_prefix", m_losePrefix);
        m_oldValues = json.value("old_value", m_oldValues);
    }
    sendJson(writer,
             {{"reads", m_reads},
              {"writes", m_writes},
              {"watches", m_watches},
              {"causes", m_causes},
              {"answers_to_lose", m_loseAnswers}});
}

void StoreStandIn::count(const net::HttpRequest &request)
{
    if (isWrite(request))
        ++m_writes;
    else if (request.target == "/v1/watch")
        ++m_watches;
    else
        ++m_reads;
    const std::string key = keyOf(request);
    ++m_causes[key.substr(0, key.find('/'))];
}

bool StoreStandIn::losesAnswer(const net::HttpRequest &request)
{
    if (m_loseAnswers == 0 || !isWrite(request) || !keyOf(request).starts_with(m_losePrefix))
        return false;
    --m_loseAnswers;
    return true;
}

net::HttpResponse StoreStandIn::answer(const net::HttpRequest &request)
{
    if (request.target == "/v1/list")
        return list(request);
    if (request.target == "/v1/watch")
        return watch(request);
    if (request.target.starts_with(leasePrefix))
        return lease(request);
    if (!request.target.starts_with(keyPrefix))
        return status(404);
    const std::string key = keyOf(request);
    if (request.method == "GET")
        return get(key);
    if (request.method == "PUT")
        return put(key, request);
    return request.method == "DELETE" ? remove(key, request) : status(405);
}

const StoreStandIn::Version &StoreStandIn::visible(const Entry &entry) const noexcept
{
    return m_oldValues && entry.before.revision != 0 ? entry.before : entry.now;
}

net::HttpResponse StoreStandIn::get(const std::string &key) const
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || visible(it->second).deleted)
        return status(404);
    const Version &version = visible(it->second);
    return status(200, {{"key", key}, {"value", version.value}, {"revision", version.revision}});
}

Json StoreStandIn::collect(const std::string &prefix, std::uint64_t after, bool withDeleted) const
{
    Json items = Json::array();
    for (auto it = m_entries.lower_bound(prefix);
         it != m_entries.end() && it->first.starts_with(prefix); ++it) {
        const Version &version = visible(it->second);
        if (version.revision <= after || (version.deleted && !withDeleted))
            continue;
        items.push_back({{"key", it->first},
                         {"value", version.value},
                         {"revision", version.revision},
                         {"deleted", version.deleted}});
    }
    return items;
}

net::HttpResponse StoreStandIn::list(const net::HttpRequest &request) const
{
    const std::string prefix = request.queryValue("prefix").value_or("");
    return status(200, {{"revision", m_revision}, {"items", collect(prefix, 0, false)}});
}

net::HttpResponse StoreStandIn::watch(const net::HttpRequest &request)
{
    const std::string prefix = request.queryValue("prefix").value_or("");
    const std::uint64_t after = toNumber(request.queryValue("after").value_or("0"));
    const Millis wait {
        static_cast<std::int64_t>(toNumber(request.queryValue("wait_ms").value_or("0")))};
    const Millis deadline = steadyNow() + wait;
    Json items = collect(prefix, after, true);
    std::uint64_t seen = m_revision;
    while (items.empty() && steadyNow() < deadline && m_outage == Outage::None) {
        net::sleepFor(watchTick);
        expireLeases();
        if (std::exchange(seen, m_revision) != m_revision)
            items = collect(prefix, after, true);
    }
    return status(200, {{"revision", m_revision}, {"items", items}});
}

std::uint64_t StoreStandIn::revisionOf(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() || it->second.now.deleted ? 0 : it->second.now.revision;
}

std::optional<net::HttpResponse> StoreStandIn::checkCondition(const std::string &key,
                                                              const net::HttpRequest &request) const
{
    const std::uint64_t current = revisionOf(key);
    const std::string_view match = request.header("If-Match");
    const bool mustBeAbsent = request.header("If-None-Match") == "*";
    if ((mustBeAbsent && current != 0) || (!match.empty() && toNumber(match) != current))
        return status(412, {{"revision", current}});
    return std::nullopt;
}

net::HttpResponse StoreStandIn::put(const std::string &key, const net::HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("value") || !json["value"].is_string())
        return status(400);
    const std::string value = json["value"].get<std::string>();
    const std::uint64_t leaseId = json.value("lease", std::uint64_t {0});
    if (value.size() > maxValueBytes)
        return status(413);
    if (leaseId != 0 && !m_leases.contains(leaseId))
        return status(404);
    if (std::optional<net::HttpResponse> failed = checkCondition(key, request))
        return *failed;
    change(key, {value, 0, false}, leaseId);
    return status(200, {{"revision", m_revision}});
}

net::HttpResponse StoreStandIn::remove(const std::string &key, const net::HttpRequest &request)
{
    if (revisionOf(key) == 0)
        return status(404);
    if (std::optional<net::HttpResponse> failed = checkCondition(key, request))
        return *failed;
    erase(key);
    return status(200, {{"revision", m_revision}});
}

net::HttpResponse StoreStandIn::lease(const net::HttpRequest &request)
{
    if (request.target == leasePrefix) {
        const Millis ttl {Json::parse(request.body).at("ttl_ms").get<std::int64_t>()};
        m_leases[++m_lastLease] = {ttl, steadyNow() + ttl};
        return status(200, {{"lease", m_lastLease}, {"ttl_ms", ttl.count}});
    }
    const std::uint64_t id = toNumber(request.target.substr(leasePrefix.size() + 1));
    const auto it = m_leases.find(id);
    if (it == m_leases.end())
        return status(404);
    if (request.method == "DELETE")
        dropLease(id);
    else
        it->second.expiresAt = steadyNow() + it->second.ttl;
    return status(200);
}

void StoreStandIn::change(const std::string &key, Version version, std::uint64_t lease)
{
    Entry &entry = m_entries[key];
    version.revision = ++m_revision;
    entry.before = std::exchange(entry.now, std::move(version));
    entry.lease = lease;
}

void StoreStandIn::erase(const std::string &key)
{
    change(key, {}, 0);
}

void StoreStandIn::dropLease(std::uint64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const std::pair<const std::string, Entry> &entry : m_entries) {
        if (entry.second.lease == id && !entry.second.now.deleted)
            keys.push_back(entry.first);
    }
    for (const std::string &key : keys)
        erase(key);
}

void StoreStandIn::expireLeases()
{
    std::vector<std::uint64_t> lapsed;
    for (const std::pair<const std::uint64_t, Lease> &entry : m_leases) {
        if (entry.second.expiresAt <= steadyNow())
            lapsed.push_back(entry.first);
    }
    for (const std::uint64_t id : lapsed)
        dropLease(id);
}

} // namespace fescue::standins
