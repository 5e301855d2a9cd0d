#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace fescue::serving {

// Work that an endpoint has been given.
struct EndpointLoad
{
    std::uint32_t requests = 0;
    // Memory that the generations are expected to need at their end, in tokens.
    std::uint64_t memoryTokens = 0;
    // Tokens of prompts whose first output has not arrived.
    std::uint64_t prefillTokens = 0;

    EndpointLoad &operator+=(const EndpointLoad &other) noexcept;
    EndpointLoad &operator-=(const EndpointLoad &other) noexcept;
    bool operator==(const EndpointLoad &) const = default;
};

struct EndpointLoadOf
{
    EndpointName endpoint;
    EndpointLoad load;
    bool operator==(const EndpointLoadOf &) const = default;
};

// What all processes of an availability zone have sent to endpoints.
struct ZoneLoads
{
    ZoneName zone;
    // Time since the figures were true.
    Millis age {0};
    std::vector<EndpointLoadOf> loads;
    bool operator==(const ZoneLoads &) const = default;
};

// What all entry processes have sent to each endpoint: this process' own work exactly, that of its
// peers as they last told it. In a large system peers are the processes of the same availability
// zone, and other zones tell their sums.
class LoadLedger
{
public:
    // A peer's figures count for this long; peers repeat them several times in it.
    static constexpr Millis peerLifetime {1500};
    // The same for the sums of other zones, which come less often and through relays.
    static constexpr Millis zoneLifetime {3000};
    // Parts of one sum are told within this time.
    static constexpr Millis sumSpan {150};

    void add(const EndpointName &endpoint, const EndpointLoad &load);
    void subtract(const EndpointName &endpoint, const EndpointLoad &load);
    // Replaces what a peer has told.
    void peerTold(Millis now, const MemberName &peer, std::vector<EndpointLoadOf> loads);

    // Records what all processes of another availability zone have sent to endpoints, as one of its
    // relays told `age` ago. Figures of the same time are parts of one sum; later ones replace it.
    void zoneTold(Millis now, const ZoneName &zone, Millis age,
                  std::span<const EndpointLoadOf> loads);
    // True where the loads of that zone's processes are known.
    [[nodiscard]] bool hearsZone(Millis now, const ZoneName &zone) const;
    // What this process and its peers have sent, for telling it to other zones.
    [[nodiscard]] std::vector<EndpointLoadOf> sum(Millis now) const;
    // What other zones told, for passing it on.
    [[nodiscard]] std::vector<ZoneLoads> zones(Millis now) const;

    // Work of this process, of peers that were heard lately, and of other zones.
    [[nodiscard]] EndpointLoad total(Millis now, const EndpointName &endpoint) const;
    // Processes with requests at an endpoint, this one and peers that were heard lately.
    [[nodiscard]] std::size_t holders(Millis now, const EndpointName &endpoint) const;
    // Work of this process, for telling it to peers.
    [[nodiscard]] std::vector<EndpointLoadOf> own() const;

private:
    struct PeerLoads
    {
        Millis at {0};
        std::vector<EndpointLoadOf> loads;
    };

    // The latest sum of a zone.
    struct ZoneSum
    {
        Millis at {0};
        std::map<EndpointName, EndpointLoad> loads;
    };

    std::map<EndpointName, EndpointLoad> m_own;
    std::map<MemberName, PeerLoads> m_peers;
    std::map<ZoneName, ZoneSum> m_zones;
};

// Load that counts for as long as this object lives.
class LoadShare
{
public:
    LoadShare(LoadLedger &ledger, EndpointName endpoint, const EndpointLoad &load);
    ~LoadShare();
    LoadShare(const LoadShare &) = delete;
    LoadShare &operator=(const LoadShare &) = delete;

    // The prompt has been read.
    void prefillDone();

private:
    LoadLedger *m_ledger;
    EndpointName m_endpoint;
    EndpointLoad m_load;
};

} // namespace fescue::serving
