#pragma once

#include "fescue/serving/servingconfig.h"

#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace fescue::serving {

// One version of the configuration, indexed for look-ups per request. Immutable.
class RouteTable
{
public:
    explicit RouteTable(ServingConfig config);

    [[nodiscard]] ConfigVersion version() const noexcept { return m_config.version; }
    [[nodiscard]] const ServingConfig &config() const noexcept { return m_config; }

    // Returns the route of the host with the longest prefix that the path begins with, or null.
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;
    // Returns the account that a key belongs to, or null.
    [[nodiscard]] const AccountSpec *findAccount(std::string_view key) const;
    // Returns true if requests need an account key.
    // Returns true if a request must carry the key of an account.
    [[nodiscard]] bool requiresKey() const noexcept
    {
        return m_config.requiresKey || !m_config.accounts.empty();
    }
    // Returns the service, or null.
    [[nodiscard]] const ServiceSpec *findService(const ServiceName &name) const;
    // Returns the properties of a service's engines, or null if it has no model engines.
    [[nodiscard]] const EngineModel *findEngineModel(const ServiceName &service) const;

    // Returns true if requests of different priorities share the engines of a service.
    [[nodiscard]] bool hasPriorities(const ServiceName &service) const
    {
        return m_withPriorities.contains(service);
    }

    // Picks the service for one request to a route by weight; `uniform` is a random number in
    // [0, 1).
    [[nodiscard]] static const ServiceName &pickService(const Route &route, double uniform);

private:
    void collectPriorities();

    // The key is the host, a line break and the path prefix.
    using RouteIndex = std::unordered_map<std::string, const Route *>;

    ServingConfig m_config;
    RouteIndex m_routes;
    std::unordered_map<std::string, const AccountSpec *> m_accounts;
    std::unordered_map<ServiceName, const ServiceSpec *> m_services;
    std::set<ServiceName> m_withPriorities;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace fescue::serving
