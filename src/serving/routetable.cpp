#include "fescue/serving/routetable.h"

#include <map>
#include <utility>

namespace fescue::serving {

namespace {

// Returns the key of a route in the index.
std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += '\n';
    key += prefix;
    return key;
}

// Removes the port from a Host header; the hosts of routes have none.
std::string_view withoutPort(std::string_view host) noexcept
{
    return host.substr(0, host.find(':'));
}

} // namespace

RouteTable::RouteTable(ServingConfig config) : m_config(std::move(config))
{
    for (const Route &route : m_config.routes)
        m_routes.emplace(routeKey(route.host, route.prefix), &route);
    for (const AccountSpec &account : m_config.accounts) {
        for (const std::string &key : account.keys)
            m_accounts.emplace(key, &account);
    }
    for (const ServiceSpec &service : m_config.services)
        m_services.emplace(service.name, &service);
    collectPriorities();
}

void RouteTable::collectPriorities()
{
    std::map<ServiceName, std::set<int>> priorities;
    for (const Route &route : m_config.routes) {
        for (const WeightedService &choice : route.services) {
            std::set<int> &known = priorities[choice.service];
            known.insert(route.priority);
            for (const AccountSpec &account : m_config.accounts) {
                if (account.priority)
                    known.insert(*account.priority);
            }
        }
    }
    for (const std::pair<const ServiceName, std::set<int>> &entry : priorities) {
        if (entry.second.size() > 1)
            m_withPriorities.insert(entry.first);
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const std::string_view name = withoutPort(host);
    std::size_t end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto it = m_routes.find(routeKey(name, path.substr(0, end + 1)));
        if (it != m_routes.end())
            return it->second;
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const AccountSpec *RouteTable::findAccount(std::string_view key) const
{
    const auto it = m_accounts.find(std::string(key));
    return it == m_accounts.end() ? nullptr : it->second;
}

const ServiceSpec *RouteTable::findService(const ServiceName &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

const EngineModel *RouteTable::findEngineModel(const ServiceName &service) const
{
    const ServiceSpec *spec = findService(service);
    return spec == nullptr || !spec->engine ? nullptr : &*spec->engine;
}

const ServiceName &RouteTable::pickService(const Route &route, double uniform)
{
    double total = 0;
    for (const WeightedService &choice : route.services)
        total += choice.weight;
    double left = uniform * total;
    for (const WeightedService &choice : route.services) {
        left -= choice.weight;
        if (left < 0)
            return choice.service;
    }
    return route.services.back().service;
}

} // namespace fescue::serving
