#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <map>
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

// What all entry processes have sent to each endpoint: this process' own work exactly, that of its
// peers as they last told it.
class LoadLedger
{
public:
    // A peer's figures count for this long; peers repeat them several times in it.
    static constexpr Millis peerLifetime {1500};

    void add(const EndpointName &endpoint, const EndpointLoad &load);
    void subtract(const EndpointName &endpoint, const EndpointLoad &load);
    // Replaces what a peer has told.
    void peerTold(Millis now, const MemberName &peer, std::vector<EndpointLoadOf> loads);

    // Work of this process and of peers that were heard lately.
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

    std::map<EndpointName, EndpointLoad> m_own;
    std::map<MemberName, PeerLoads> m_peers;
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
