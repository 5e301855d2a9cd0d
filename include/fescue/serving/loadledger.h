#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace fescue::serving {

// Work that has been sent to an endpoint.
struct EndpointLoad
{
    std::uint32_t requests = 0;
    // Memory that the generations are expected to need at their end, in tokens.
    std::uint64_t memoryTokens = 0;
    // Tokens of prompts whose first output has not arrived.
    std::uint64_t prefillTokens = 0;
    // Recent progress of the generations: the number of events that they produced, and the sum of
    // the times in milliseconds that each of them took.
    std::uint64_t progressEvents = 0;
    std::uint64_t progressMillis = 0;

    EndpointLoad &operator+=(const EndpointLoad &other) noexcept;
    EndpointLoad &operator-=(const EndpointLoad &other) noexcept;
    bool operator==(const EndpointLoad &) const = default;
};

// The load of a named endpoint.
struct EndpointLoadEntry
{
    EndpointName endpoint;
    EndpointLoad load;
    bool operator==(const EndpointLoadEntry &) const = default;
};

// Load that all processes of an availability zone together have placed on endpoints.
struct ZoneLoads
{
    ZoneName zone;
    // Time since the loads were measured.
    Millis age {0};
    std::vector<EndpointLoadEntry> loads;
    bool operator==(const ZoneLoads &) const = default;
};

// A change of the load on an endpoint that a process reports at once, since sums arrive too late
// for prompts that are processed within a second.
struct LoadChange
{
    MemberName from;
    ZoneName fromZone;
    EndpointName endpoint;
    // True if the load was added, false if it was removed.
    bool added = true;
    EndpointLoad load;
    bool operator==(const LoadChange &) const = default;
};

// The load that all entry processes have sent to each endpoint: exact for this process, and as last
// reported by its peers. In a large system peers are the processes of the same availability zone,
// and other zones report their sums.
class LoadLedger
{
public:
    // A peer's report counts for this long; peers send several reports within it.
    static constexpr Millis peerLifetime {1500};
    // Sums of other zones count for this long; they arrive less often and through relays.
    static constexpr Millis zoneLifetime {3000};
    // All datagrams of one sum are sent within this time.
    static constexpr Millis sumSpan {150};
    // Bounds on what datagrams with unknown names can make the ledger keep, each several times
    // what the largest system needs: availability zones, endpoints in the sums of all of them, and
    // changes within `zoneLifetime`.
    static constexpr std::size_t maxZones = 64;
    static constexpr std::size_t maxZoneLoads = 8192;
    static constexpr std::size_t maxChanges = 8192;

    void add(const EndpointName &endpoint, const EndpointLoad &load);
    void subtract(const EndpointName &endpoint, const EndpointLoad &load);
    // Replaces the recent progress of this process' generations by endpoint. Other fields of the
    // entries are ignored.
    void setProgress(std::span<const EndpointLoadEntry> progress);
    // Replaces the last report of a peer.
    void peerReported(Millis now, const MemberName &peer, std::vector<EndpointLoadEntry> loads);

    // Records the load that all processes of another availability zone have placed on endpoints, as
    // one of its relays summed it up `age` ago. Reports of the same time are merged into one sum;
    // later ones replace it. Returns false, and leaves out what is new, if a bound is reached.
    bool zoneReported(Millis now, const ZoneName &zone, Millis age,
                      std::span<const EndpointLoadEntry> loads);
    // Records a change at a process of another availability zone; it counts until a later sum of
    // that zone arrives. Returns false, and records nothing, if a bound is reached.
    bool zoneChanged(Millis now, const LoadChange &change);
    // Removes load from the last report of a peer; its next report replaces this.
    void peerRemoved(const MemberName &peer, const EndpointName &endpoint,
                     const EndpointLoad &load);
    // Returns true if a recent sum of that zone's processes has been received.
    [[nodiscard]] bool hasRecentZoneReport(Millis now, const ZoneName &zone) const;
    // Returns the sum of the loads from this process and its peers, for reports to other zones.
    [[nodiscard]] std::vector<EndpointLoadEntry> sum(Millis now) const;
    // Returns the recent sums of other zones, to be forwarded to peers.
    [[nodiscard]] std::vector<ZoneLoads> zones(Millis now) const;

    // Returns the load from this process, from peers with a recent report, and from other zones.
    [[nodiscard]] EndpointLoad total(Millis now, const EndpointName &endpoint) const;
    // Returns the number of processes with requests at an endpoint: this one and peers with a
    // recent report.
    [[nodiscard]] std::size_t requestingProcesses(Millis now, const EndpointName &endpoint) const;
    // Returns the load from this process, to be reported to peers.
    [[nodiscard]] std::vector<EndpointLoadEntry> own() const;

private:
    struct PeerLoads
    {
        Millis at {0};
        std::vector<EndpointLoadEntry> loads;
    };

    // The latest sum of a zone.
    struct ZoneSum
    {
        Millis at {0};
        std::map<EndpointName, EndpointLoad> loads;
    };

    // Returns the load from this process with the progress of its generations.
    [[nodiscard]] std::map<EndpointName, EndpointLoad> ownLoads() const;

    struct ZoneChange
    {
        Millis at {0};
        bool added = true;
        EndpointLoad load;
    };

    // Applies the changes at the endpoint that are more recent than the sums of their zones.
    void applyChanges(Millis now, const EndpointName &endpoint, EndpointLoad &sum) const;

    // Changes by endpoint, the oldest first.
    using EndpointChanges = std::map<EndpointName, std::vector<ZoneChange>>;

    // Deletes the changes of a zone that were recorded at `until` or before.
    void eraseChanges(EndpointChanges &changes, Millis until);
    // Deletes expired sums and changes, once in `zoneLifetime`.
    void purge(Millis now);

    std::map<ZoneName, EndpointChanges> m_changes;
    // Number of changes in `m_changes`.
    std::size_t m_changeCount = 0;
    Millis m_purgedAt {0};
    std::map<EndpointName, EndpointLoad> m_own;
    // Only the progress fields are set.
    std::map<EndpointName, EndpointLoad> m_ownProgress;
    std::map<MemberName, PeerLoads> m_peers;
    std::map<ZoneName, ZoneSum> m_zones;
};

// Adds a load to a ledger for the lifetime of this object.
class ScopedLoad
{
public:
    ScopedLoad(LoadLedger &ledger, EndpointName endpoint, const EndpointLoad &load);
    ~ScopedLoad();
    ScopedLoad(const ScopedLoad &) = delete;
    ScopedLoad &operator=(const ScopedLoad &) = delete;

    [[nodiscard]] const EndpointName &endpoint() const noexcept { return m_endpoint; }
    [[nodiscard]] const EndpointLoad &load() const noexcept { return m_load; }
    // Records that the prompt has been processed: its tokens no longer count as prefill.
    void prefillDone();

private:
    LoadLedger *m_ledger;
    EndpointName m_endpoint;
    EndpointLoad m_load;
};

} // namespace fescue::serving
