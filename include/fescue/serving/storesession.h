#pragma once

#include "fescue/core/backoff.h"
#include "fescue/core/memberinfo.h"
#include "fescue/net/storeera.h"
#include "fescue/serving/protocol.h"
#include "fescue/serving/servingstate.h"
#include "fescue/serving/storefeed.h"
#include "fescue/serving/storemirror.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace fescue::serving {

// What a call to the store is for.
enum class StoreCall : std::uint8_t
{
    List,
    Watch,
    Renew,
    // Also the word that this process leaves.
    Register,
};
inline constexpr std::array<std::string_view, 4> storeCallNames {"list", "watch", "renew",
                                                                 "register"};

// What the owner of a store session does with its news.
struct StoreSessionHooks
{
    // A configuration came into force.
    std::function<void()> configApplied;
    // An endpoint has begun to leave.
    std::function<void(const EndpointName &)> endpointLeaving;
    // Sends a datagram to other entry processes.
    std::function<void(std::span<const MemberView *const>, std::string_view)> send;
};

// Follows the platform's store: the configuration, the endpoints, the zones out of service and the
// entry processes; and keeps this process registered among them. Goes on with what it knows while
// the store is away.
template <PlatformProtocol P>
class StoreSession
{
public:
    StoreSession(ServingState &state, MemberInfo self, StoreSessionHooks hooks);

    // Starts the fibers; call on the worker.
    void start();
    // Writes that this process leaves.
    void announceLeaving();

    // Takes what a watcher passes on.
    void takeNews(const StoreNews &news);
    // Records which configuration a peer has in force. One that stays ahead is asked for what it
    // holds of an earlier era.
    void heardConfig(const MemberName &peer, ConfigVersion version);
    // What this process knows of the store, for a peer that has missed the changes after a
    // revision.
    [[nodiscard]] StoreCopy copy(net::StoreRevision after, CopyPart part) const;

private:
    using Store = typename P::Store;

    void follow();
    // One step of following the store itself, or what peers tell of it. False where it failed.
    [[nodiscard]] bool followStore();
    [[nodiscard]] bool followPeers(const std::vector<MemberView> &members);
    // Asks a peer that knows later changes for them. False where none does, or it does not answer.
    [[nodiscard]] bool catchUp(const std::vector<MemberView> &members);
    [[nodiscard]] bool fetchCopy(const MemberName &peer, const std::vector<MemberView> &members,
                                 CopyPart part = CopyPart::All);
    void adopt(const StoreCopy &copy);
    // Asks a peer for what it holds of an earlier era: the store's copy may be older than that.
    void askForHeldItems();
    void takeHeld(const std::vector<net::StoreItem> &items);
    // Items of an earlier era that still hold.
    [[nodiscard]] std::vector<net::StoreItem> heldItems() const;
    // True once a listing or a copy has been taken: the store's revisions begin above 0.
    [[nodiscard]] bool hasListed() const noexcept { return m_at != net::StoreRevision {}; }
    // Prepares for a listing of a later era than the one known. What the operator has ordered holds
    // on until it has written it again.
    void beginEra(net::StoreRevision at);
    // Takes changes from a peer that follow those known here and lead to revision `at`.
    void takeNext(net::StoreRevision at, const std::vector<net::StoreItem> &items);
    // Passes changes on where this process is a watcher.
    void tell(net::StoreRevision after, std::vector<net::StoreItem> items);
    void beat();
    [[nodiscard]] bool listAll();
    [[nodiscard]] bool watchOnce();
    void takeWatched(const net::StoreList &changes);
    void takeChanges(const std::vector<StoreChange> &changes);
    void takeChange(const StoreChange &change);
    void takeZone(const ZoneName &zone, const StoreChange &change);
    void takeConfig(const StoreChange &change);
    void takeEndpoint(const EndpointName &name, const StoreChange &change);
    void takeMember(const StoreChange &change);
    static void collectMembers(std::span<const net::StoreItem> items,
                               std::vector<MemberInfo> &members);
    void setReachable(bool reachable, std::string_view reason);
    // Counts a call to the store by its cause, and records that the store answered.
    void noteCall(StoreCall cause, bool answered);
    // Waits before a call that failed is made again; watchers try on while the store is silent.
    void waitForStore(Backoff &backoff, bool watches);
    [[nodiscard]] bool isWatcher() const;

    void logCalls();
    void keepRegistered();
    [[nodiscard]] net::StoreResult<void> registerSelf();
    [[nodiscard]] net::StoreResult<void> writeSelf();
    // True where the lease was given in an earlier era, in which case it may be another's by now.
    [[nodiscard]] bool isLeaseOutdated() const noexcept;

    ServingState *m_state;
    MemberInfo m_self;
    StoreSessionHooks m_hooks;
    net::HttpClient m_client;
    net::HttpClient m_watchClient;
    net::StoreEraTracker m_eras;
    Store m_store;
    Store m_watchStore;
    StoreMirror m_mirror;
    FeedPolicy m_feed;
    RecentChanges m_recent;
    net::HttpClient m_peerClient;
    // When a peer was first known to be ahead; 0 where none is.
    Millis m_behindSince {0};
    net::StoreRevision m_at;
    bool m_listed = false;
    bool m_reachable = true;
    std::optional<net::LeaseId> m_lease;
    // Era in which the lease was given.
    std::uint64_t m_leaseEra = 0;
    // Orders of the operator from an earlier era, by key.
    std::map<std::string, net::StoreItem> m_held;
    // Since when a peer has had a later configuration in force; none where no peer has.
    std::optional<Millis> m_configBehindSince;
    // Calls since they were logged last, by cause, and those of them that failed.
    std::array<std::uint64_t, storeCallNames.size()> m_calls {};
    std::uint64_t m_failedCalls = 0;
};

} // namespace fescue::serving

#include "fescue/serving/storesession.inl"
