#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"
#include "fescue/core/result.h"
#include "fescue/serving/endpointincarnation.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/sharedretrybudget.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::serving {

// What an entry process tells the others several times a second, in one datagram. A lost one is
// made up for by the next.
struct Gossip
{
    MemberInfo member;
    ConfigVersion configVersion;
    // Work that the process has given to endpoints.
    std::vector<EndpointLoadEntry> loads;
    // Repeats of requests that it has used lately.
    std::vector<ServiceRetries> repeats;
    // Endpoints that said lately that they leave, to this process or to one of its peers.
    std::vector<EndpointIncarnation> leaving;
    // Endpoints at whose addresses it found nothing that listens.
    std::vector<EndpointIncarnation> refusing;
    bool operator==(const Gossip &) const = default;
};

// Most endpoints in each list of a datagram.
inline constexpr std::size_t maxLivesPerDatagram = 64;

// What an entry process tells at once when endpoints say that they leave: it may hear that before
// the store does.
struct LeavingNews
{
    ZoneName fromZone;
    std::vector<EndpointIncarnation> endpoints;
    // Time until they are gone, where it is known.
    std::optional<Millis> leavesIn;
    bool operator==(const LeavingNews &) const = default;
};

[[nodiscard]] std::string encodeLeaving(const LeavingNews &news);
// Fails with MessageMalformed.
[[nodiscard]] Result<LeavingNews> decodeLeaving(std::string_view bytes);

// Sums of availability zones, which relays tell each other and their zone. Divided so that each
// text fits into a datagram.
[[nodiscard]] std::vector<std::string> encodeZoneLoads(std::span<const ZoneLoads> zones);
// Fails with MessageMalformed.
[[nodiscard]] Result<ZoneLoads> decodeZoneLoads(std::string_view bytes);

// Encodes as CBOR.
[[nodiscard]] std::string encodeGossip(const Gossip &gossip);
// Fails with MessageMalformed.
[[nodiscard]] Result<Gossip> decodeGossip(std::string_view bytes);

} // namespace fescue::serving
