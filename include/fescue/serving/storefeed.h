#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"
#include "fescue/net/storeclient.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::serving {

// Store update: changes and state of the store that a store watcher sends to the other processes.
struct StoreUpdate
{
    MemberName from;
    // Revision that the changes follow, and the revision after them.
    net::StoreRevision after;
    net::StoreRevision at;
    // True if the sender's contents were confirmed recently.
    bool reachable = false;
    // Empty if nothing has changed, or if the changes are too long for a datagram.
    std::vector<net::StoreItem> items;
    // Time since the store last confirmed to any process that nothing follows revision `at`.
    Millis storeAge {0};
    // True if the sender's own calls to the store fail.
    bool isRejected = false;
};

// Maximum length of a datagram; longer changes have to be fetched over a connection.
inline constexpr std::size_t maxStoreUpdateBytes = 8192;

// Encodes as CBOR, without the items if the message would be too long with them.
[[nodiscard]] std::string encodeStoreUpdate(const StoreUpdate &update);
// Fails with MessageMalformed.
[[nodiscard]] Result<StoreUpdate> decodeStoreUpdate(std::string_view bytes);

// Splits an update into updates that each fit into a datagram, in the order of their revisions. If
// a change is too long by itself, the last update has no items and follows no revision of a
// receiver: the changes from there on have to be fetched.
[[nodiscard]] std::vector<StoreUpdate> splitStoreUpdate(StoreUpdate update);

// Scope of the store copy that a process requests from another one.
enum class CopyScope : std::uint8_t
{
    // Missed changes, and the retained orders of earlier eras.
    All,
    // Only the retained orders of earlier eras.
    Retained,
};

// One process' copy of the store, for a process that has missed changes.
struct StoreCopy
{
    net::StoreRevision at;
    // True if the items are all keys; else they are the changes after the requested revision.
    bool whole = true;
    std::vector<net::StoreItem> items;
    // Orders of an earlier era that remain in force although the store has lost them.
    std::vector<net::StoreItem> retained = {};
};

// The latest changes that a process has received, for peers that have missed a few.
class RecentChanges
{
public:
    // Maximum number of changes; covers some seconds of a large system.
    static constexpr std::size_t maxItems = 512;

    // Removes all changes; the next ones follow revision `at`.
    void restart(net::StoreRevision at);
    // Records the changes that lead from `after`, the last revision recorded, to `at`.
    void add(net::StoreRevision after, net::StoreRevision at,
             std::span<const net::StoreItem> items);
    // Returns the changes after a revision, or nullopt if they are not kept any more.
    [[nodiscard]] std::optional<std::vector<net::StoreItem>> since(net::StoreRevision after) const;

private:
    std::deque<net::StoreItem> m_items;
    net::StoreRevision m_from;
    net::StoreRevision m_revision;
};

[[nodiscard]] std::string encodeCopy(const StoreCopy &copy);
// Fails with MessageMalformed.
[[nodiscard]] Result<StoreCopy> decodeCopy(std::string_view bytes);

// Decides which processes watch the store. All processes select the same few store watchers, which
// send changes to the others, in a large system through relays, so that the number of store calls
// does not depend on the number of processes.
//
// Updates carry the time since the store last confirmed the sender's contents by a listing or a
// watch. It only grows as they are forwarded. Answers to other calls do not count: a process whose
// leases are renewed may receive no changes. A process without recently confirmed contents watches
// the store itself. Processes whose own calls fail report this, and others that receive the reports
// take over their watch.
class FeedPolicy
{
public:
    // Number of store watchers: if two fail at once, one remains.
    static constexpr std::size_t watcherCount = 3;
    // Number of processes of each zone that forward updates, so that the loss of one causes no gap.
    static constexpr std::size_t relaysPerZone = 2;
    // Interval of the updates without changes that watchers send as heartbeats.
    static constexpr Millis heartbeatInterval = 250_ms;
    // A watcher without a heartbeat for this time, several intervals, is considered lost.
    static constexpr Millis heartbeatLifetime = 1200_ms;
    // Contents that were confirmed longer ago may be outdated, and the process watches the store
    // itself. Longer than one watch waits when the store is slow. Relays, and all processes of a
    // small system, take over sooner than the others, so that those have their updates by then.
    static constexpr Millis maxStoreAge = 2000_ms;
    static constexpr Millis maxRelayStoreAge = 1500_ms;

    // Records an update of a watcher.
    void recordUpdate(Millis now, const StoreUpdate &update);
    // Returns true if this process has to watch the store itself.
    [[nodiscard]] bool mustWatch(Millis now, const MemberName &self,
                                 std::span<const MemberView> members, bool isLarge) const;
    // Returns true if a recent heartbeat of some watcher is recorded, whether or not the store
    // answers it.
    [[nodiscard]] bool hasRecentWatcher(Millis now) const;
    // Returns true if this process is one of the store watchers.
    [[nodiscard]] static bool isWatcher(const MemberName &self,
                                        std::span<const MemberView> members);
    // Returns the processes that forward updates within their availability zone in a large system:
    // a few of each zone.
    [[nodiscard]] static std::set<MemberName> relays(const MemberName &self,
                                                     std::span<const MemberView> members);
    // Returns the members to which a process sends updates. In a small system, watchers send to all
    // others. In a large one they send to the relays of each zone, which send to their zone: fewer
    // bytes pass between zones, and no process sends to all. `followsStore` is true if this process
    // watches the store in place of a watcher; only relays do so for others in a large system.
    [[nodiscard]] static std::vector<const MemberView *>
    recipients(const MemberName &self, std::span<const MemberView> members, bool isLarge,
               bool followsStore = false);
    // Returns a process that has later changes than revision `at`, preferably one of the given
    // availability zone, or nullopt if none is known.
    [[nodiscard]] std::optional<MemberName>
    findPeerAhead(Millis now, net::StoreRevision at, const ZoneName &zone,
                  std::span<const MemberView> members) const;

    // Returns the process that a watcher or relay asks for changes while its own calls to the store
    // fail and no update confirms its contents: a live member, in its own availability zone if
    // there is one, whose calls are not known to fail. Returns nullopt for other processes: they
    // receive what relays learn. `uniform` in [0, 1) selects the member.
    [[nodiscard]] std::optional<MemberName> choosePeerToAsk(Millis now, const MemberName &self,
                                                            std::span<const MemberView> members,
                                                            bool isLarge, double uniform) const;

private:
    struct Heartbeat
    {
        Millis at {0};
        net::StoreRevision revision;
        bool reachable = false;
        Millis storeAnsweredAt {0};
        bool isRejected = false;
    };

    [[nodiscard]] bool isReportedRejected(Millis now, const MemberName &name) const;
    // Returns true if this process watches in place of a watcher whose calls fail.
    [[nodiscard]] bool isSubstitute(Millis now, const MemberName &self,
                                    std::span<const MemberView> members, bool isLarge) const;

    std::map<MemberName, Heartbeat> m_heartbeats;
};

} // namespace fescue::serving
