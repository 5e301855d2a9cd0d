#include "tests/soak/storestandin.h"

#include "platform/base64.h"
#include "platform/names.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <set>
#include <utility>

namespace fescue::soak {

namespace names = platform::names;
using standins::steadyNow;
using standins::toNumber;

namespace {

constexpr Millis watchPoll = 3_ms;
// Most items of one page, small enough that listings take several.
constexpr std::size_t pageItems = 20;
// How often contents are kept, and for how long in all: ten seconds.
constexpr Millis keepInterval = 250_ms;
constexpr std::size_t mostKept = 40;

net::HttpResponse plain(int status)
{
    return net::jsonResponse(status, "{}");
}

} // namespace

void PlatformStore::setMode(StoreMode mode)
{
    // Leases pause while the store is away.
    const bool returns = m_mode != StoreMode::Serve && mode == StoreMode::Serve;
    for (std::pair<const std::uint64_t, Lease> &entry : m_now.leases) {
        Lease &lease = entry.second;
        if (returns)
            lease.endsAt = steadyNow() + lease.ttl;
    }
    m_mode = mode;
}

StoreMode PlatformStore::modeFor(std::size_t entry) const noexcept
{
    return m_mode != StoreMode::Serve ? m_mode : m_modes[entry];
}

void PlatformStore::handle(std::size_t entry, const net::HttpRequest &request,
                           net::ResponseWriter &writer)
{
    if (m_delay > Millis {0})
        net::sleepFor(m_delay);
    switch (modeFor(entry)) {
    case StoreMode::Unavailable:
        send(plain(503), writer);
        return;
    case StoreMode::Reset:
        writer.abort();
        return;
    case StoreMode::Hang:
        standins::hang(writer);
        return;
    case StoreMode::Serve:
        break;
    }
    endLeases();
    keepContents();
    const net::HttpResponse response = answer(request, writer);
    if (request.method != "GET" && ++m_calls % 10 < m_lostOfTen) {
        writer.abort();
        return;
    }
    if (modeFor(entry) != StoreMode::Serve) {
        writer.abort();
        return;
    }
    send(response, writer);
}

void PlatformStore::send(net::HttpResponse response, net::ResponseWriter &writer) const
{
    response.headers.push_back({std::string(names::storeEraHeader), std::to_string(m_era)});
    static_cast<void>(writer.send(response));
}

net::HttpResponse PlatformStore::answer(const net::HttpRequest &request,
                                        net::ResponseWriter &writer)
{
    if (request.target == names::storeKeyPath)
        return get(request);
    if (request.target == names::storeRangePath)
        return range(request);
    if (request.target == names::storeWatchPath)
        return watch(request, writer);
    if (request.target == names::storeChangePath)
        return change(Json::parse(request.body));
    return lease(request);
}

Json PlatformStore::describe(const std::string &key, const Item &item) const
{
    return {{"Key", key},
            {"Value", platform::encodeBase64(item.value)},
            {"Revision", item.revision},
            {"Created", item.created},
            {"LeaseId", item.lease}};
}

net::HttpResponse PlatformStore::get(const net::HttpRequest &request) const
{
    const std::string key = request.queryValue("Key").value_or(std::string());
    const auto it = m_now.items.find(key);
    if (it == m_now.items.end())
        return plain(404);
    Json json = describe(key, it->second);
    json["At"] = m_now.revision;
    return net::jsonResponse(200, json.dump());
}

net::HttpResponse PlatformStore::range(const net::HttpRequest &request) const
{
    const std::string prefix = request.queryValue("Prefix").value_or(std::string());
    const std::string after = request.queryValue("After").value_or(std::string());
    Json entries = Json::array();
    bool hasMore = false;
    for (const std::pair<const std::string, Item> &entry : m_now.items) {
        const std::string &key = entry.first;
        if (!key.starts_with(prefix) || key <= after)
            continue;
        hasMore = entries.size() >= pageItems;
        if (hasMore)
            break;
        entries.push_back(describe(key, entry.second));
    }
    return net::jsonResponse(
        200, Json {{"Entries", entries}, {"HasMore", hasMore}, {"At", m_now.revision}}.dump());
}

Json PlatformStore::changesAfter(std::string_view prefix, std::uint64_t after) const
{
    Json events = Json::array();
    for (const Change &change : m_now.changes) {
        if (change.revision <= after || !change.key.starts_with(prefix))
            continue;
        const auto it = m_now.items.find(change.key);
        if (change.deleted)
            events.push_back(
                {{"Key", change.key}, {"Revision", change.revision}, {"Deleted", true}});
        else if (it != m_now.items.end() && it->second.revision == change.revision)
            events.push_back(describe(change.key, it->second));
    }
    return events;
}

net::HttpResponse PlatformStore::watch(const net::HttpRequest &request,
                                       net::ResponseWriter &writer) const
{
    const std::string prefix = request.queryValue("Prefix").value_or(std::string());
    const std::uint64_t after = toNumber(request.queryValue("After").value_or("0"));
    const Millis wait {
        static_cast<std::int64_t>(toNumber(request.queryValue("WaitMs").value_or("0")))};
    const Millis until = steadyNow() + wait;
    while (m_mode == StoreMode::Serve) {
        if (after < m_now.historyFrom || after > m_now.revision)
            return plain(410);
        const Json events = changesAfter(prefix, after);
        if (!events.empty() || steadyNow() >= until || writer.callerGone())
            return net::jsonResponse(200, Json {{"events", events}, {"At", m_now.revision}}.dump());
        net::sleepFor(watchPoll);
    }
    return plain(503);
}

net::HttpResponse PlatformStore::change(const Json &body)
{
    Json current = Json::array();
    bool conflict = false;
    for (const Json &row : body.at("ExpectedRevision")) {
        const std::string key = row.at("Key").get<std::string>();
        const auto it = m_now.items.find(key);
        const std::uint64_t revision = it == m_now.items.end() ? 0 : it->second.revision;
        conflict = conflict || revision != row.at("Revision").get<std::uint64_t>();
        if (it != m_now.items.end())
            current.push_back(describe(key, it->second));
    }
    if (conflict)
        return net::jsonResponse(412, Json {{"Entries", current}}.dump());
    for (const Json &row : body.at("Write")) {
        const std::uint64_t id = row.value("LeaseId", std::uint64_t {0});
        if (id != 0 && !m_now.leases.contains(id))
            return plain(404);
        const std::string value =
            platform::decodeBase64(row.at("Value").get<std::string>()).value_or("");
        write(row.at("Key").get<std::string>(), value, id);
    }
    for (const Json &key : body.at("Remove"))
        erase(key.get<std::string>());
    return net::jsonResponse(200, Json {{"Revision", m_now.revision}}.dump());
}

net::HttpResponse PlatformStore::lease(const net::HttpRequest &request)
{
    if (request.target == names::leaseCreatePath) {
        const std::int64_t ttl = Json::parse(request.body).at("TtlMs").get<std::int64_t>();
        m_now.leases[++m_now.lastLease] = {{ttl}, steadyNow() + Millis {ttl}};
        return net::jsonResponse(200, Json {{"LeaseId", m_now.lastLease}, {"TtlMs", ttl}}.dump());
    }
    const std::size_t slash = request.target.rfind('/');
    const auto it = m_now.leases.find(toNumber(std::string_view(request.target).substr(slash + 1)));
    if (it == m_now.leases.end())
        return plain(404);
    if (request.target.starts_with(names::leaseEndPath))
        it->second.endsAt = {0};
    else
        it->second.endsAt = steadyNow() + it->second.ttl;
    endLeases();
    return plain(200);
}

void PlatformStore::put(const std::string &key, const std::string &value)
{
    keepContents();
    write(key, value, 0);
    m_outside.push_back({steadyNow(), key, value});
}

void PlatformStore::remove(const std::string &key)
{
    keepContents();
    erase(key);
    m_outside.push_back({steadyNow(), key, std::nullopt});
}

void PlatformStore::keepContents()
{
    const Millis now = steadyNow();
    if (!m_kept.empty() && now - m_kept.back().at < keepInterval)
        return;
    m_now.at = now;
    m_kept.push_back(m_now);
    if (m_kept.size() > mostKept)
        m_kept.pop_front();
}

void PlatformStore::rewind(Millis back)
{
    const Millis now = steadyNow();
    while (m_kept.size() > 1 && m_kept.back().at > now - back)
        m_kept.pop_back();
    m_now = m_kept.back();
    for (std::pair<const std::uint64_t, Lease> &entry : m_now.leases)
        entry.second.endsAt = now + entry.second.ttl;
    ++m_era;
    m_rewoundAt = now;
    const Millis from = m_now.at;
    // What an earlier rewind lost may not be back yet.
    std::copy_if(m_outside.begin(), m_outside.end(), std::back_inserter(m_lost),
                 [from](const OutsideWrite &write) { return write.at >= from; });
    std::stable_sort(m_lost.begin(), m_lost.end(),
                     [](const OutsideWrite &a, const OutsideWrite &b) { return a.at < b.at; });
}

void PlatformStore::writeAgain()
{
    std::set<std::string> replaced;
    for (const OutsideWrite &later : m_outside) {
        if (later.at > m_rewoundAt)
            replaced.insert(later.key);
    }
    const std::vector<OutsideWrite> lost = std::exchange(m_lost, {});
    for (const OutsideWrite &again : lost) {
        if (replaced.contains(again.key))
            continue;
        if (again.value)
            put(again.key, *again.value);
        else
            remove(again.key);
    }
}

void PlatformStore::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = m_now.items[key];
    item.revision = ++m_now.revision;
    item.value = value;
    item.lease = lease;
    if (item.created == 0)
        item.created = m_now.revision;
    m_now.changes.push_back({m_now.revision, key, false});
}

void PlatformStore::erase(const std::string &key)
{
    if (m_now.items.erase(key) > 0)
        m_now.changes.push_back({++m_now.revision, key, true});
}

void PlatformStore::endLeases()
{
    if (m_mode != StoreMode::Serve)
        return;
    for (auto it = m_now.leases.begin(); it != m_now.leases.end();) {
        if (it->second.endsAt > steadyNow()) {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (const std::pair<const std::string, Item> &entry : m_now.items) {
            if (entry.second.lease == it->first)
                keys.push_back(entry.first);
        }
        std::for_each(keys.begin(), keys.end(), [this](const std::string &key) { erase(key); });
        it = m_now.leases.erase(it);
    }
}

} // namespace fescue::soak
