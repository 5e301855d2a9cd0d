#pragma once

#include "fescue/serving/servingconfig.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace fescue::serving {

// One version of the configuration, indexed for the look-ups of a request. Immutable.
class RouteTable
{
public:
    explicit RouteTable(ServingConfig config);

    [[nodiscard]] ConfigVersion version() const noexcept { return m_config.version; }
    [[nodiscard]] const ServingConfig &config() const noexcept { return m_config; }

    // Returns the route of the host with the longest prefix that the path begins with, or null.
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;
    // Returns the account that holds a key, or null.
    [[nodiscard]] const AccountSpec *findAccount(std::string_view key) const;
    // True where requests have to show a key.
    [[nodiscard]] bool hasAccounts() const noexcept { return !m_config.accounts.empty(); }
    [[nodiscard]] const ServiceSpec *findService(const ServiceName &name) const;
    // Returns how the engines of a service work, or null where it has no model engines.
    [[nodiscard]] const EngineModel *findEngineModel(const ServiceName &service) const;

    // Returns the service for one request to a route; `uniform` is a random number in [0, 1).
    [[nodiscard]] static const ServiceName &pickService(const Route &route, double uniform);

private:
    // By host, a line break and the prefix.
    using RouteIndex = std::unordered_map<std::string, const Route *>;

    ServingConfig m_config;
    RouteIndex m_routes;
    std::unordered_map<std::string, const AccountSpec *> m_accounts;
    std::unordered_map<ServiceName, const ServiceSpec *> m_services;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace fescue::serving
