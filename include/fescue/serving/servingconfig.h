#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescue::serving {

// What may be done with a request more than once.
enum class RouteKind : std::uint8_t
{
    // May run any number of times.
    Idempotent,
    // Runs at most once.
    NonIdempotent,
    // Runs at most once, and its answer is a stream of events.
    Streaming,
};

// A service that a route may choose, with its part of the route's requests.
struct WeightedService
{
    ServiceName service;
    double weight = 1;
    bool operator==(const WeightedService &) const = default;
};

// Where requests with one host and path prefix go, and how they are treated.
struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    // Longest time that a caller is kept waiting.
    Millis timeout {0};
    // Time to the answer, or to its first event, within which it has its full worth.
    Millis targetLatency {0};
    // Longest pause between two events; none for routes that do not stream.
    std::optional<Millis> targetEventGap;
    // 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    // Endpoints that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    // Requests need no account key.
    bool anonymous = false;
    bool operator==(const Route &) const = default;
};

// What all model engines of a service have in common.
struct EngineModel
{
    std::uint32_t slots = 0;
    // Memory for prompts and outputs, in tokens.
    std::uint64_t memoryTokens = 0;
    std::uint64_t bytesPerToken = 0;
    // Bandwidth of an engine's own link, for copies of memory.
    double linkMegabitsPerSecond = 0;
    // Running generations can be copied to another engine and go on there.
    bool canMove = false;
    // An engine can copy a generation's memory to another one as it grows.
    bool canBackUp = false;
    std::uint32_t tokensPerEvent = 1;
    // Time for which a copy waits for its use.
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
    // Time for which an endpoint that has started is cold.
    Millis coldTime {0};
    // Requests a second that a cold endpoint bears, from all callers together.
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
    // Goes before the priority of the route.
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
    std::vector<AccountSpec> accounts;
    bool operator==(const ServingConfig &) const = default;
};

} // namespace fescue::serving
