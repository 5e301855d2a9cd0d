#pragma once

#include "fescue/core/backoff.h"
#include "fescue/core/memberinfo.h"
#include "fescue/net/storeera.h"
#include "fescue/serving/configcheck.h"
#include "fescue/serving/listtimeout.h"
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

// Purpose of a call to the store.
enum class StoreCall : std::uint8_t
{
    List,
    Watch,
    Renew,
    // Writes the entry of this process, also to announce that the process leaves.
    Register,
    // Writes an entry of the quarantine of prompt parts, or claims a trial of one.
    Quarantine,
    // Writes the state of a roll-out.
    Rollout,
};
inline constexpr std::array<std::string_view, 6> storeCallNames {
    "list", "watch", "renew", "register", "quarantine", "rollout"};

// Callbacks of a store session's owner.
struct StoreSessionHooks
{
    // Called when a configuration comes into force.
    std::function<void()> configApplied;
    // Called when an endpoint begins to leave.
    std::function<void(const EndpointName &)> endpointLeaving;
    // Sends a datagram to other entry processes.
    std::function<void(std::span<const MemberView *const>, std::string_view)> send;
    // Called when an order for a roll-out, or the state of one, has changed.
    std::function<void(const ServiceName &, const StoreChange &)> rolloutOrdered =
        [](const ServiceName &, const StoreChange &) {};
    std::function<void(const ServiceName &, const StoreChange &)> rolloutStatusChanged =
        [](const ServiceName &, const StoreChange &) {};
};

// Follows the platform's store: the configuration, the endpoints, the zones out of service and the
// entry processes. Keeps this process registered among the latter. While the store is unreachable,
// its last known contents remain in force.
template <PlatformProtocol P>
class StoreSession
{
public:
    StoreSession(ServingState &state, MemberInfo self, StoreSessionHooks hooks);

    // Starts the fibers. Must be called on the worker.
    void start();
    // Writes to the store that this process leaves.
    void announceLeaving();

    // Applies an update from a store watcher or relay.
    void handleStoreUpdate(const StoreUpdate &update);
    // Handles the configuration version that a peer has in force. If the peer stays ahead, requests
    // the orders that it retains of an earlier era.
    void handlePeerConfigVersion(const MemberName &peer, ConfigVersion version);
    // Claims a trial of a quarantine entry. Returns false if another process has claimed it, or if
    // the store does not confirm it.
    [[nodiscard]] bool claimTrial(const QuarantineEntry &entry);
    // Writes the state of a roll-out if the key still has the expected revision, that of the state
    // on which the decision is based.
    [[nodiscard]] net::StoreResult<void>
    writeRollout(const std::string &key, const std::string &value, net::StoreRevision expected);
    // Returns true if the last call of this process to list, watch or renew failed.
    [[nodiscard]] bool isRejected() const noexcept { return m_isRejected; }
    // Returns this process' copy of the store, for a peer that has missed the changes after a
    // revision.
    [[nodiscard]] StoreCopy copy(net::StoreRevision after, CopyScope scope) const;

private:
    using Store = typename P::Store;

    void follow();
    // Performs one step of following the store directly or through peers. Returns false if it
    // fails.
    [[nodiscard]] bool followStore();
    [[nodiscard]] bool followPeers(const std::vector<MemberView> &members);
    // Requests later changes from a peer that has them. Returns false if no peer has any, or if it
    // does not answer.
    [[nodiscard]] bool catchUp(const std::vector<MemberView> &members);
    // Asks some peer for later changes if this process forwards updates and has received none for a
    // while although its own calls to the store fail.
    void askSomePeer(const std::vector<MemberView> &members);
    [[nodiscard]] bool fetchCopy(const MemberName &peer, const std::vector<MemberView> &members,
                                 CopyScope scope = CopyScope::All);
    void applyCopy(const StoreCopy &copy);
    // Requests the retained orders of an earlier era from a peer: the store may have lost them.
    void fetchRetainedItems();
    void applyRetainedItems(const std::vector<net::StoreItem> &items);
    // Returns the orders of an earlier era that remain in force.
    [[nodiscard]] std::vector<net::StoreItem> retainedItems() const;
    // Returns true after the first listing or copy: the store's revisions begin above 0.
    [[nodiscard]] bool hasListed() const noexcept { return m_revision != net::StoreRevision {}; }
    // Prepares for a listing of a later era than the known one. The operator's orders remain in
    // force until the operator writes them again.
    void beginEra(net::StoreRevision at);
    // Applies changes from a peer that follow the known ones and lead to revision `at`.
    void applyPeerChanges(net::StoreRevision at, const std::vector<net::StoreItem> &items);
    // Sends changes to the other processes if this process is a store watcher or a relay.
    void sendUpdate(net::StoreRevision after, std::vector<net::StoreItem> items);
    void sendHeartbeats();
    [[nodiscard]] bool listAll();
    [[nodiscard]] bool watchOnce();
    void applyWatchedChanges(const net::StoreList &changes);
    void applyChanges(const std::vector<StoreChange> &changes);
    void applyChange(const StoreChange &change);
    void applyZoneChange(const ZoneName &zone, const StoreChange &change);
    void applyConfigChange(const StoreChange &change);
    // Logs what the check of the configuration in force finds.
    void logFindings() const;
    void applyEndpointChange(const EndpointName &name, const StoreChange &change);
    void applyMemberChange(const StoreChange &change);
    void applyQuarantineChange(const StoreChange &change);
    // Writes quarantine entries that the store lacks or has in an earlier state. Returns when the
    // process stops.
    void storeQuarantine();
    [[nodiscard]] bool isStored(const QuarantineEntry &entry) const;
    // Writes an entry unless the store's copy has changed since this process received it.
    [[nodiscard]] net::StoreResult<void> writeEntry(const QuarantineEntry &entry);
    static void collectMembers(std::span<const net::StoreItem> items,
                               std::vector<MemberInfo> &members);
    void setReachable(bool reachable, std::string_view reason);
    // Records that an own call to list or watch failed. The contents may still be confirmed by
    // updates of peers.
    void recordRejection(std::string_view reason);
    // Returns true if the store has confirmed the contents recently, to this process or to a peer.
    [[nodiscard]] bool isConfirmed(Millis now) const noexcept
    {
        return hasListed() && now - m_confirmedAt <= FeedPolicy::maxStoreAge;
    }
    // Counts a call to the store by its cause, and records the time if the store answered.
    void countCall(StoreCall cause, bool answered);
    // Waits before a failed call is retried. Only watchers keep retrying while the store is silent.
    void waitForStore(Backoff &backoff, bool watches);
    [[nodiscard]] bool isWatcher() const;

    void logCalls();
    void keepRegistered();
    [[nodiscard]] net::StoreResult<void> registerSelf();
    [[nodiscard]] net::StoreResult<void> writeSelf();
    // Returns true if the lease was granted in an earlier era: its id may belong to another process
    // by now.
    [[nodiscard]] bool isLeaseOutdated() const noexcept;

    ServingState *m_state;
    MemberInfo m_self;
    StoreSessionHooks m_hooks;
    net::HttpClient m_client;
    net::HttpClient m_watchClient;
    net::StoreEraTracker m_eras;
    Store m_store;
    Store m_watchStore;
    ListTimeout m_listTimeout;
    StoreMirror m_mirror;
    FeedPolicy m_feed;
    RecentChanges m_recent;
    net::HttpClient m_peerClient;
    // Time at which a peer was last asked by askSomePeer().
    Millis m_peerAskedAt {0};
    // Time since which a peer is known to be ahead; 0 if none is.
    Millis m_behindSince {0};
    net::StoreRevision m_revision;
    bool m_listed = false;
    // True while the pages of a listing are read: no other changes may be applied.
    bool m_isListing = false;
    // Time at which the store last confirmed to some process that nothing follows `m_revision`.
    Millis m_confirmedAt {0};
    // True if the last call of this process to list, watch or renew failed.
    bool m_isRejected = false;
    // True while this process watches the store itself.
    bool m_followsStore = false;
    bool m_reachable = true;
    std::optional<net::LeaseId> m_lease;
    // Era in which the lease was granted.
    std::uint64_t m_leaseEra = 0;
    // Retained orders of the operator from an earlier era, by key.
    std::map<std::string, net::StoreItem> m_retained;
    // Time since which a peer has had a later configuration in force; empty if no peer has.
    std::optional<Millis> m_configBehindSince;
    // Times at which this process writes quarantine entries that the store lacks, by key.
    std::map<std::string, Millis> m_quarantineWrites;
    // Number of calls since the last log line, by cause, and of the failed ones among them.
    std::array<std::uint64_t, storeCallNames.size()> m_calls {};
    std::uint64_t m_failedCalls = 0;
};

} // namespace fescue::serving

#include "fescue/serving/storesession.inl"
