#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"
#include "fescue/core/result.h"
#include "fescue/serving/cachedprefixes.h"
#include "fescue/serving/endpointincarnation.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/sharedretrybudget.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::serving {

// State that an entry process sends to the others several times a second, in one datagram. A
// lost datagram is not sent again, since the next one contains the current state.
struct Gossip
{
    MemberInfo member;
    ConfigVersion configVersion;
    // Load that the process has placed on endpoints.
    std::vector<EndpointLoadEntry> loads;
    // Retries that the process has used recently.
    std::vector<ServiceRetries> retries;
    // Endpoints that recently announced leaving, to this process or to one of its peers.
    std::vector<EndpointIncarnation> leaving;
    // Endpoints whose addresses refused the process' connections.
    std::vector<EndpointIncarnation> refusingEndpoints;
    // Beginnings of prompts that the process has sent to engines since its last datagram.
    std::vector<PrefixRead> prefixReads;
    bool operator==(const Gossip &) const = default;
};

// Maximum number of endpoints in each list of a datagram.
inline constexpr std::size_t maxIncarnationsPerDatagram = 64;

// Notice that an entry process sends at once when endpoints announce leaving: their announcement
// may reach it before the store.
struct LeavingNotice
{
    ZoneName fromZone;
    std::vector<EndpointIncarnation> endpoints;
    // Time until they terminate, if known.
    std::optional<Millis> leavesIn;
    bool operator==(const LeavingNotice &) const = default;
};

[[nodiscard]] std::string encodeLeavingNotice(const LeavingNotice &notice);
// Fails with MessageMalformed.
[[nodiscard]] Result<LeavingNotice> decodeLeavingNotice(std::string_view bytes);

// Encodes the load sums of availability zones, which relays send to each other and to their zone.
// Splits them into several messages that each fit into a datagram.
[[nodiscard]] std::vector<std::string> encodeZoneLoads(std::span<const ZoneLoads> zones);
// Fails with MessageMalformed.
[[nodiscard]] Result<ZoneLoads> decodeZoneLoads(std::string_view bytes);

// Encodes as CBOR.
[[nodiscard]] std::string encodeGossip(const Gossip &gossip);
// Fails with MessageMalformed.
[[nodiscard]] Result<Gossip> decodeGossip(std::string_view bytes);

} // namespace fescue::serving
