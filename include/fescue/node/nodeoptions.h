#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/endpointaddress.h"
#include "fescue/peer/messages.h"
#include "fescue/peer/peerlinks.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fescue::node {

// What the control part of a daemon needs to know about itself and the platform.
struct NodeOptions
{
    MemberName member;
    peer::Role role = peer::Role::Entry;
    ZoneName zone;
    VmName vm;
    // Greater for each start of the process; wall clock milliseconds serve.
    Incarnation incarnation;
    // Where callers connect, as told to others.
    std::string httpAddress;
    // "ip:port" of the listener for other daemons; port 0 takes a free one.
    std::string peerListen;
    net::Address store;
    std::optional<net::Address> vmList;
    // Peer listeners to ask when the store is down at the start.
    std::vector<std::string> seedPeers;

    Millis storeTimeout = 1_s;
    Millis leaseTtl = 5_s;
    Millis leaseRenewInterval = 1700_ms;
    Millis vmListInterval = 1_s;
    // Longest wait of one watch call.
    Millis watchWait = 10_s;
    // Interval at which a daemon without a watch reads the store, so that it learns changes even
    // where no neighbour tells it.
    Millis safetyPollInterval = 30_s;
    // Daemons that hold a watch; all do where there are no more than that.
    std::size_t watchers = 3;
    // Links to neighbours that each daemon asks for.
    std::size_t neighbours = 4;
    peer::LinkOptions links;
};

} // namespace fescue::node
