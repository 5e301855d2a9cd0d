#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"
#include "fescue/net/storeclient.h"

#include <map>
#include <optional>
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
};

// Longest datagram; more has to be fetched over a connection.
inline constexpr std::size_t maxNewsBytes = 8192;

// Encodes as CBOR, without the items where that would be too long.
[[nodiscard]] std::string encodeNews(const StoreNews &news);
// Fails with MessageMalformed.
[[nodiscard]] Result<StoreNews> decodeNews(std::string_view bytes);

// All keys of the store as one process knows them, for one that has missed changes.
struct StoreCopy
{
    net::StoreRevision at;
    std::vector<net::StoreItem> items;
};

[[nodiscard]] std::string encodeCopy(const StoreCopy &copy);
// Fails with MessageMalformed.
[[nodiscard]] Result<StoreCopy> decodeCopy(std::string_view bytes);

// Decides who watches the store. A few processes do, the same ones in the view of all; they pass
// changes on to the others, so that the store gets few calls however many processes there are. A
// process that hears of no watcher with a store that answers watches for itself.
class FeedPolicy
{
public:
    // Processes that watch, so that the loss of two at once leaves one.
    static constexpr std::size_t watchers = 3;
    // Watchers tell their revision this often.
    static constexpr Millis beatInterval = 250_ms;
    // A watcher that is not heard for this time, several intervals, does not count.
    static constexpr Millis beatLifetime = 1200_ms;

    // Records what a watcher told.
    void heard(Millis now, const StoreNews &news);
    // True where this process has to watch the store itself.
    [[nodiscard]] bool mustWatch(Millis now, const MemberName &self,
                                 std::span<const MemberView> members) const;
    // True where this process is one of the watchers.
    [[nodiscard]] static bool isWatcher(const MemberName &self,
                                        std::span<const MemberView> members);
    // Returns a watcher that knows of later changes than revision `at`.
    [[nodiscard]] std::optional<MemberName> fresher(Millis now, net::StoreRevision at) const;

private:
    struct Beat
    {
        Millis at {0};
        net::StoreRevision revision;
        bool reachable = false;
    };

    std::map<MemberName, Beat> m_beats;
};

} // namespace fescue::serving
