#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/endpointaddress.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace fescue::serving {

// Limits on the requests that a new software version of a service may get before it is known to be
// good, for all processes together.
struct RolloutLimits
{
    // Fraction of the requests that reach the service between the order and its deadline, and the
    // number of requests in addition to it.
    double exposureShare = 0.1;
    std::uint32_t exposureAllowance = 0;
    // Time from the evidence of a bad version to the last request to it.
    Millis rollbackTime = 5_s;

    bool operator==(const RolloutLimits &) const = default;
};

// Limits that the operator sets for the whole deployment.
struct DeploymentLimits
{
    // Time between a stop request and the moment at which the process is killed.
    Millis stopGrace = 8_s;
    // Maximum time for which callers may cache an answer of the directory.
    Millis directoryTtlLimit = 5_s;
    // Limit on the requests per second to a cold endpoint: its configured rate times this factor,
    // plus the allowance.
    double coldOverrun = 1.5;
    double coldAllowance = 5;
    // Limit on the retries in one window, for all processes together: this fraction of the
    // requests, plus the allowance.
    double retryShare = 0.2;
    double retryAllowance = 50;
    Millis retryWindow = 10_s;
    // Time for which engines are likely to hold a prompt that they have read; 0 if it is not known.
    Millis prefixRetention {0};
    // Limits of a roll-out of a new software version of a service; nullopt if the deployment has no
    // roll-outs.
    std::optional<RolloutLimits> rollout;

    bool operator==(const DeploymentLimits &) const = default;
};

// Settings of an entry process, read when it starts.
struct NodeSettings
{
    MemberName name;
    ZoneName zone;
    std::string region;
    net::Address frontAddress;
    net::Address readyAddress;
    net::Address directoryAddress;
    net::Address metricsAddress;
    net::Address peerAddress;
    net::Address storeAddress;
    // Bandwidth of this VM's link.
    std::uint32_t linkMegabits = 0;
    // Memory above which the process is killed. The default is that of the platform's smallest
    // entry VM.
    std::size_t memoryMegabytes = 88;
    // Descriptors that the process may hold; 0 if the settings do not tell.
    std::size_t maxDescriptors = 0;
    DeploymentLimits deploymentLimits;

    bool operator==(const NodeSettings &) const = default;
};

} // namespace fescue::serving
