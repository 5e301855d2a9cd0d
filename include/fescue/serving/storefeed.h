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

// What a process that watches the store passes on to the others.
struct StoreNews
{
    MemberName from;
    // The changes follow this revision and lead to the next one.
    net::StoreRevision after;
    net::StoreRevision at;
    // The store has answered the sender lately.
    bool reachable = false;
    // Empty where nothing has changed, or where the changes are too long for a datagram.
    std::vector<net::StoreItem> items;
    // Time since the store answered anybody that the sender knows of.
    Millis storeAge {0};
};

// Longest datagram; more has to be fetched over a connection.
inline constexpr std::size_t maxNewsBytes = 8192;

// Encodes as CBOR, without the items where that would be too long.
[[nodiscard]] std::string encodeNews(const StoreNews &news);
// Fails with MessageMalformed.
[[nodiscard]] Result<StoreNews> decodeNews(std::string_view bytes);

// Divides changes into news that each fit into a datagram, in the order of their revisions. A
// change that is too long by itself ends them; it has to be fetched.
[[nodiscard]] std::vector<StoreNews> splitNews(StoreNews news);

// What a process asks another one for.
enum class CopyPart : std::uint8_t
{
    // Changes that it has missed, and what holds of earlier eras.
    All,
    // Only what holds of earlier eras.
    Held,
};

// What one process knows of the store, for one that has missed changes.
struct StoreCopy
{
    net::StoreRevision at;
    // The items are all keys; else the changes after the revision that was asked for.
    bool whole = true;
    std::vector<net::StoreItem> items;
    // Items of an earlier era that hold on although the store has not got them back yet.
    std::vector<net::StoreItem> held = {};
};

// The latest changes that a process has seen, for peers that have missed a few.
class RecentChanges
{
public:
    // Changes that are kept: some seconds of a large system.
    static constexpr std::size_t maxItems = 512;

    // Forgets all; changes after the revision follow.
    void restart(net::StoreRevision at);
    // Records the changes that lead from `after`, the last revision recorded, to `at`.
    void add(net::StoreRevision after, net::StoreRevision at,
             std::span<const net::StoreItem> items);
    // Returns the changes after a revision; none where they are not kept any more.
    [[nodiscard]] std::optional<std::vector<net::StoreItem>> since(net::StoreRevision after) const;

private:
    std::deque<net::StoreItem> m_items;
    net::StoreRevision m_from;
    net::StoreRevision m_at;
};

[[nodiscard]] std::string encodeCopy(const StoreCopy &copy);
// Fails with MessageMalformed.
[[nodiscard]] Result<StoreCopy> decodeCopy(std::string_view bytes);

// Decides who watches the store. A few processes do, the same ones in the view of all; they pass
// changes on to the others, in a large system through relays, so that the store gets few calls
// however many processes there are. News carry the age of the store's last answer, which only grows
// on the way: processes that hear each other but no watcher find out. A process that hears of no
// recent answer watches for itself.
class FeedPolicy
{
public:
    // Processes that watch, so that the loss of two at once leaves one.
    static constexpr std::size_t watchers = 3;
    // Processes of each zone that pass news on, so that the loss of one is not noticed.
    static constexpr std::size_t relaysPerZone = 2;
    // Watchers tell their revision this often.
    static constexpr Millis beatInterval = 250_ms;
    // A watcher that is not heard for this time, several intervals, does not count.
    static constexpr Millis beatLifetime = 1200_ms;
    // A sender whose last sign of the store is older than this does not count either: longer than a
    // watch waits, with a slow store.
    static constexpr Millis longestStoreAge = 2500_ms;

    // Records what a watcher told.
    void heard(Millis now, const StoreNews &news);
    // True where this process has to watch the store itself.
    [[nodiscard]] bool mustWatch(Millis now, const MemberName &self,
                                 std::span<const MemberView> members) const;
    // True where some watcher is heard, whether or not the store answers it.
    [[nodiscard]] bool hearsWatcher(Millis now) const;
    // True where this process is one of the watchers.
    [[nodiscard]] static bool isWatcher(const MemberName &self,
                                        std::span<const MemberView> members);
    // Returns the processes that pass news on within their availability zone, in a large system: a
    // few of each zone.
    [[nodiscard]] static std::set<MemberName> relays(const MemberName &self,
                                                     std::span<const MemberView> members);
    // Members that a process tells of news. In a small system, watchers tell all others. In a large
    // one they tell the relays of each zone, which tell their zone: fewer bytes pass between zones,
    // and no process sends to all.
    [[nodiscard]] static std::vector<const MemberView *>
    audience(const MemberName &self, std::span<const MemberView> members, bool isLarge);
    // Returns a process that knows of later changes than revision `at`: one of the same
    // availability zone where there is one.
    [[nodiscard]] std::optional<MemberName> fresher(Millis now, net::StoreRevision at,
                                                    const ZoneName &zone,
                                                    std::span<const MemberView> members) const;

private:
    struct Beat
    {
        Millis at {0};
        net::StoreRevision revision;
        bool reachable = false;
        Millis storeHeardAt {0};
    };

    std::map<MemberName, Beat> m_beats;
};

} // namespace fescue::serving
