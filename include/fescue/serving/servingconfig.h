#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescue::serving {

// How often the requests of a route may be executed.
enum class RouteKind : std::uint8_t
{
    // May run any number of times.
    Idempotent,
    // Runs at most once.
    NonIdempotent,
    // Runs at most once, and its response is a stream of events.
    Streaming,
};

// A service of a route, with its weight in the distribution of the route's requests.
struct WeightedService
{
    ServiceName service;
    double weight = 1;
    bool operator==(const WeightedService &) const = default;
};

// The services and rules for requests with one host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    // Maximum time that a caller waits for a response.
    Millis timeout {0};
    // Target for the time to the response, or to its first event. A response within it has its full
    // value.
    Millis targetLatency {0};
    // Target for the longest pause between two events; nullopt for routes that do not stream.
    std::optional<Millis> targetEventGap;
    // 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    // Maximum number of endpoints that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    // Requests need no account key.
    bool anonymous = false;
    // A stream may be resumed after its last event, by the caller or at another engine. Such a
    // request may run more than once. Only for routes that stream.
    bool isResumable = false;
    // Prompts of different requests begin with the same parts.
    bool sharesPrefixes = false;
    bool operator==(const Route &) const = default;

    // Returns true if a request of this route may run more than once.
    [[nodiscard]] bool mayRunAgain() const noexcept
    {
        return kind == RouteKind::Idempotent || isResumable;
    }
};

// Properties that all model engines of a service have in common.
struct EngineModel
{
    std::uint32_t slots = 0;
    // Memory for prompts and outputs, in tokens.
    std::uint64_t memoryTokens = 0;
    std::uint64_t bytesPerToken = 0;
    // Bandwidth of an engine's own network link, used for copies of memory.
    double linkMegabitsPerSecond = 0;
    // Running generations can be moved to another engine.
    bool canMove = false;
    // An engine can send a generation's memory to a backup at another engine as it grows.
    bool canBackUp = false;
    std::uint32_t tokensPerEvent = 1;
    // Time after which a copy of a generation's memory expires if it is not used.
    Millis copyLifetime {0};
    bool operator==(const EngineModel &) const = default;
};

// A back end service: model engines, or a plain service.
struct ServiceSpec
{
    ServiceName name;
    std::string healthPath;
    // Connections that one endpoint accepts from all callers together.
    std::uint32_t maxConnections = 0;
    // Time after its start for which an endpoint is cold.
    Millis coldTime {0};
    // Maximum number of requests a second to a cold endpoint, from all callers together.
    double coldRequestsPerSecond = 0;
    // Present for model engines.
    std::optional<EngineModel> engine;
    bool operator==(const ServiceSpec &) const = default;
};

// Limits on what callers send.
struct CallerLimits
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    Millis headTimeout = 3_s;
    Millis idleTimeout = 15_s;
    bool operator==(const CallerLimits &) const = default;
};

// A client account and the keys that callers show for it.
struct AccountSpec
{
    AccountName name;
    std::vector<std::string> keys;
    // Overrides the priority of the route.
    std::optional<int> priority;
    bool operator==(const AccountSpec &) const = default;
};

// One version of the whole configuration.
struct ServingConfig
{
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;
    // Requests must carry the key of an account, unless their route is anonymous. Without any
    // account no key is valid.
    bool requiresKey = false;
    std::vector<AccountSpec> accounts;
    bool operator==(const ServingConfig &) const = default;
};

} // namespace fescue::serving
