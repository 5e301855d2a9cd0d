#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/freshness.h"
#include "fescue/core/ids.h"
#include "fescue/core/neighbours.h"
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
    // Where callers connect, as told to others. Only entries have one.
    std::string callerAddress;
    // Where operators ask for the status; empty: the same.
    std::string operatorAddress;
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
    // Longest wait of one watch call on the configuration. Each answer confirms the version in
    // force, so it bounds the age of that confirmation.
    Millis configWatchWait = 500_ms;
    Millis memberWatchWait = 10_s;
    // A daemon without a watch asks the store itself once neither it nor a peer has had an answer
    // for this long.
    Millis ownCheckAfter = 1500_ms;
    // Interval at which every daemon reads the list of members again, to make up for lost notices.
    Millis memberPollInterval = 60_s;
    // Daemons that hold a watch: the greater of this number and one of `membersPerWatcher`.
    std::size_t minWatchers = 3;
    std::size_t membersPerWatcher = 16;
    std::size_t neighbours = defaultNeighbourCount;
    // A confirmation passes over several neighbours, each of which adds up to two heartbeat
    // intervals to its age.
    FreshnessLimits freshness {3_s, 2_s, 1_s};
    peer::LinkOptions links;
};

} // namespace fescue::node
