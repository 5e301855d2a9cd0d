#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <deque>
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

// The load of each endpoint: what this process has sent exactly, what its peers have sent as they
// last told it, and what the endpoint itself reported beyond that.
class LoadLedger
{
public:
    // A peer's figures count for this long; peers repeat them several times in it.
    static constexpr Millis peerLifetime {1500};
    // So does an endpoint's report.
    static constexpr Millis reportLifetime {1500};
    // Reports in a row that have to show work that is not known here. A report is some hundred
    // milliseconds old: work that has ended meanwhile shows in one or two.
    static constexpr std::size_t reportsToTrust = 3;

    void add(const EndpointName &endpoint, const EndpointLoad &load);
    void subtract(const EndpointName &endpoint, const EndpointLoad &load);
    // Replaces what a peer has told.
    void peerTold(Millis now, const MemberName &peer, std::vector<EndpointLoadOf> loads);

    // Records what an endpoint reports. What exceeds the work known here came from elsewhere, and
    // counts beside it.
    void endpointTold(Millis now, const EndpointName &endpoint, const EndpointLoad &load);
    // Forgets reports that are too old to count.
    void purge(Millis now);

    // Work of this process and of peers that were heard lately, and what the endpoint reported
    // beyond it.
    [[nodiscard]] EndpointLoad total(Millis now, const EndpointName &endpoint) const;
    // True where the endpoint's own report counts.
    [[nodiscard]] bool isReported(Millis now, const EndpointName &endpoint) const;
    // Work of this process, for telling it to peers.
    [[nodiscard]] std::vector<EndpointLoadOf> own() const;

private:
    struct PeerLoads
    {
        Millis at {0};
        std::vector<EndpointLoadOf> loads;
    };

    std::map<EndpointName, EndpointLoad> m_own;
    struct Report
    {
        Millis at {0};
        // What the endpoint had beyond the work that was known, in its latest reports.
        std::deque<EndpointLoad> excesses;

        // What all of these reports show.
        [[nodiscard]] EndpointLoad unknown() const noexcept;
    };

    [[nodiscard]] EndpointLoad sent(Millis now, const EndpointName &endpoint) const;

    std::map<MemberName, PeerLoads> m_peers;
    std::map<EndpointName, Report> m_reports;
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
