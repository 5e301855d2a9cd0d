#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/endpointaddress.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescue::serving {

// Bounds that the operator sets for the whole deployment.
struct ServingBounds
{
    // After a stop is asked for, the process is killed when this has passed.
    Millis stopGrace = 8_s;
    // Longest time for which callers keep an answer of the directory.
    Millis directoryTtlLimit = 5_s;
    // Requests a second that cold endpoints tolerate: their rate times this, plus the allowance.
    double coldOverrun = 1.5;
    double coldAllowance = 5;
    // Repeats of requests in one window: this share of the requests, plus the allowance, for all
    // processes together.
    double retryShare = 0.2;
    double retryAllowance = 50;
    Millis retryWindow = 10_s;
};

// What an entry process is told when it starts.
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
    // Memory beyond which the process is killed; the platform's smallest entry VM where it does not
    // say.
    std::size_t memoryMegabytes = 88;
    ServingBounds bounds;
};

} // namespace fescue::serving
