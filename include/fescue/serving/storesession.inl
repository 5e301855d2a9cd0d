#pragma once

#include "fescue/node/memberjson.h"
#include "fescue/observe/log.h"
#include "fescue/observe/timeline.h"
#include "fescue/serving/periodictask.h"

#include <algorithm>

namespace fescue::serving {

// Maximum time that one watch waits: a silent store or connection is detected after it. Only a few
// processes watch, so short waits cause few calls.
inline constexpr Millis watchWait = 700_ms;
// Interval at which a process that relies on peers checks whether it has missed changes.
inline constexpr Millis peerPollInterval = 150_ms;
// Shortest time between two requests for changes to peers that are not known to have any.
inline constexpr Millis peerAskInterval = 300_ms;
// Path at which peers request this process' copy of the store.
inline constexpr const char *storeCopyPath = "/store-copy";
// Timeout of calls to the store. Even a slow store answers within it.
inline constexpr Millis storeCallTimeout = ListTimeout::longest;
// The registration expires this long after the process or its path to the store has failed. Short
// enough for the directory to remove a failed entry in time.
inline constexpr Millis registrationTtl = 3_s;
inline constexpr Millis renewInterval = 1_s;
// Limits of the pauses before failed calls to the store are retried.
inline constexpr BackoffLimits watcherBackoffLimits {60_ms, 500_ms};
// Limits of these pauses for processes that are not watchers: there are many of them, and they
// receive an update as soon as a watcher reaches the store again.
inline constexpr BackoffLimits nonWatcherBackoffLimits {150_ms, 2_s};
// Pause before a retry while watchers report that the store answers no process: a call of this
// process would only add to the load of a store that rejects calls.
inline constexpr Millis silentStorePause = 4_s;
// Interval at which a process checks whether the store has answered any process.
inline constexpr Millis silentStorePoll = 250_ms;
// Processes that waited for the store retry spread over this time, not all at once.
inline constexpr Millis returnSpread = 800_ms;
// Processes register again spread over this time after the store was restored from an older copy.
inline constexpr Millis reregisterSpread = 500_ms;
// An update with a configuration arrives within this time; a process that has not received it by
// then requests it.
inline constexpr Millis configUpdateGrace = 600_ms;
// Maximum number of peers from which a process requests retained orders of an earlier era.
inline constexpr std::size_t maxPeersAskedForRetained = 2;
// Interval at which quarantine entries are compared with the store.
inline constexpr Millis quarantineCheckInterval = 250_ms;
// Store watchers write an entry within this time; other processes wait longer by this factor.
inline constexpr Millis quarantineWriteSpread = 300_ms;
inline constexpr std::int64_t otherWriterFactor = 10;
// Time for a written entry to be reported by the watch, before it is written again.
inline constexpr Millis quarantineRewriteDelay = 5_s;
// Interval at which the number of calls to the store is logged by cause.
inline constexpr Millis callLogInterval = 10_s;
// Log lines about what the check of one configuration found.
inline constexpr std::size_t maxLoggedFindings = 20;
inline constexpr std::size_t bytesPerMegabyte = std::size_t {1024} * 1024;

template <PlatformProtocol P>
StoreSession<P>::StoreSession(ServingState &state, MemberInfo self, StoreSessionHooks hooks)
    : m_state(&state), m_self(std::move(self)), m_hooks(std::move(hooks)),
      m_store(m_client, m_eras, state.settings.storeAddress, storeCallTimeout),
      m_watchStore(m_watchClient, m_eras, state.settings.storeAddress, storeCallTimeout)
{ }

template <PlatformProtocol P>
void StoreSession<P>::start()
{
    const std::size_t worker = net::currentWorker();
    m_state->pool.spawn(worker, [this] { follow(); });
    m_state->pool.spawn(worker, [this] { keepRegistered(); });
    m_state->pool.spawn(worker, [this] { sendHeartbeats(); });
    m_state->pool.spawn(worker, [this] { logCalls(); });
    m_state->pool.spawn(worker, [this] { storeQuarantine(); });
}

template <PlatformProtocol P>
void StoreSession<P>::follow()
{
    Backoff watcherBackoff(watcherBackoffLimits);
    Backoff otherBackoff(nonWatcherBackoffLimits);
    repeatUntilStopped(m_state->metrics, "follow-store", [&] {
        const Millis now = ServingState::now();
        const std::vector<MemberView> members = m_state->members.members(now);
        const bool own = m_feed.mustWatch(now, m_self.name, members, m_state->isLarge());
        m_followsStore = own;
        // A watcher whose calls the store rejects gets the changes from a peer.
        if (own ? followStore() || catchUp(members) : followPeers(members)) {
            watcherBackoff.reset();
            otherBackoff.reset();
            return;
        }
        askSomePeer(members);
        const bool watches = FeedPolicy::isWatcher(m_self.name, members);
        waitForStore(watches ? watcherBackoff : otherBackoff, watches);
    });
}

template <PlatformProtocol P>
bool StoreSession<P>::isWatcher() const
{
    return FeedPolicy::isWatcher(m_self.name, m_state->members.members(ServingState::now()));
}

template <PlatformProtocol P>
void StoreSession<P>::waitForStore(Backoff &backoff, bool watches)
{
    const Millis startedAt = ServingState::now();
    const auto isStoreUnreachable = [this] {
        return m_state->isStoreSilent() && m_feed.hasRecentWatcher(ServingState::now());
    };
    if (watches || !isStoreUnreachable()) {
        net::sleepFor(backoff.next(m_state->uniform()));
        return;
    }
    while (isStoreUnreachable() && ServingState::now() - startedAt < silentStorePause) {
        askSomePeer(m_state->members.members(ServingState::now()));
        net::sleepFor(silentStorePoll);
    }
    const double spread = static_cast<double>(returnSpread.count) * m_state->uniform();
    net::sleepFor(Millis {static_cast<std::int64_t>(spread)});
}

template <PlatformProtocol P>
void StoreSession<P>::countCall(StoreCall cause, bool answered)
{
    const std::size_t index = static_cast<std::size_t>(cause);
    ++m_calls[index];
    if (answered)
        m_state->storeAnsweredAt = ServingState::now();
    else
        ++m_failedCalls;
    if (cause == StoreCall::List || cause == StoreCall::Watch || cause == StoreCall::Renew)
        m_isRejected = !answered;
    m_state->metrics
        .counter("fescue_store_calls_total",
                 {{"cause", std::string(storeCallNames[index])},
                  {"outcome", answered ? "answered" : "failed"}})
        .Increment();
}

template <PlatformProtocol P>
void StoreSession<P>::logCalls()
{
    repeatUntilStopped(m_state->metrics, "log-store-calls", [&] {
        net::sleepFor(callLogInterval);
        observe::logChange("store-calls",
                           {{storeCallNames[0], m_calls[0]},
                            {storeCallNames[1], m_calls[1]},
                            {storeCallNames[2], m_calls[2]},
                            {storeCallNames[3], m_calls[3]},
                            {storeCallNames[4], m_calls[4]},
                            {storeCallNames[5], m_calls[5]},
                            {"failed", m_failedCalls}});
        m_calls = {};
        m_failedCalls = 0;
    });
}

template <PlatformProtocol P>
bool StoreSession<P>::followStore()
{
    if (m_listed && m_eras.current() > m_revision.era)
        m_listed = false;
    return m_listed ? watchOnce() : listAll();
}

template <PlatformProtocol P>
bool StoreSession<P>::catchUp(const std::vector<MemberView> &members)
{
    const std::optional<MemberName> ahead =
        m_feed.findPeerAhead(ServingState::now(), m_revision, m_state->settings.zone, members);
    return ahead && fetchCopy(*ahead, members);
}

template <PlatformProtocol P>
void StoreSession<P>::askSomePeer(const std::vector<MemberView> &members)
{
    const Millis now = ServingState::now();
    const bool isDue = hasListed() && now - m_confirmedAt > FeedPolicy::maxRelayStoreAge
        && now - m_peerAskedAt >= peerAskInterval;
    if (!isDue)
        return;
    m_peerAskedAt = now;
    const std::optional<MemberName> peer =
        m_feed.choosePeerToAsk(now, m_self.name, members, m_state->isLarge(), m_state->uniform());
    if (peer)
        static_cast<void>(fetchCopy(*peer, members));
}

template <PlatformProtocol P>
bool StoreSession<P>::followPeers(const std::vector<MemberView> &members)
{
    const Millis now = ServingState::now();
    const std::optional<MemberName> ahead =
        m_feed.findPeerAhead(now, m_revision, m_state->settings.zone, members);
    if (m_listed && !ahead) {
        setReachable(true, "reported by a peer");
        m_behindSince = {};
        net::sleepFor(peerPollInterval);
        return true;
    }
    // The datagram with the changes may still be on its way.
    if (m_listed && m_behindSince == Millis {0}) {
        m_behindSince = now;
        net::sleepFor(peerPollInterval);
        return true;
    }
    if (ahead && fetchCopy(*ahead, members)) {
        setReachable(true, "reported by a peer");
        m_behindSince = {};
        return true;
    }
    return listAll();
}

template <PlatformProtocol P>
bool StoreSession<P>::fetchCopy(const MemberName &peer, const std::vector<MemberView> &members,
                                CopyScope scope)
{
    const auto it = std::find_if(members.begin(), members.end(), [&peer](const MemberView &view) {
        return view.info.name == peer;
    });
    if (it == members.end())
        return false;
    const Result<net::Address> address = net::parseAddress(it->info.peerAddress);
    if (!address)
        return false;
    net::HttpRequest request;
    request.target = storeCopyPath;
    request.query =
        "after=" + std::to_string(m_revision.value) + "&era=" + std::to_string(m_revision.era);
    if (scope == CopyScope::Retained)
        request.query += "&part=held";
    request.mayResend = true;
    const Result<net::HttpResponse> response =
        m_peerClient.request(*address, request, storeCallTimeout);
    const Result<StoreCopy> copy =
        response ? decodeCopy(response->body) : tl::unexpected(response.error());
    observe::logChange(
        "store-copy",
        {{"peer", peer.text()},
         {"revision", copy ? copy->at.value : 0},
         {"era", copy ? copy->at.era : 0},
         {"before", m_revision.value},
         {"held", copy ? copy->retained.size() : 0},
         {"reason",
          copy ? std::string_view(scope == CopyScope::Retained ? "started" : "missed changes")
               : std::string_view(copy.error().message)}});
    if (!copy)
        return false;
    if (scope == CopyScope::All)
        applyCopy(*copy);
    applyRetainedItems(copy->retained);
    return true;
}

template <PlatformProtocol P>
void StoreSession<P>::applyCopy(const StoreCopy &copy)
{
    const bool isNew = copy.at > m_revision || (copy.at == m_revision && !m_listed);
    // Changes only continue what a listing has begun.
    if (!isNew || (!copy.whole && !hasListed()))
        return;
    // The copy is outdated: the peer does not know of the new era yet.
    if (!m_eras.take(copy.at.era))
        return;
    if (!copy.whole) {
        applyPeerChanges(copy.at, copy.items);
        m_listed = true;
        return;
    }
    beginEra(copy.at);
    m_mirror.beginListing();
    applyChanges(m_mirror.addPage(copy.items));
    applyChanges(m_mirror.endListing());
    m_recent.restart(copy.at);
    std::vector<MemberInfo> members;
    collectMembers(copy.items, members);
    m_state->members.storeListed(ServingState::now(), members);
    m_revision = copy.at;
    m_listed = true;
}

template <PlatformProtocol P>
void StoreSession<P>::beginEra(net::StoreRevision at)
{
    if (!hasListed() || at.era <= m_revision.era)
        return;
    observe::logChange("store-era",
                       {{"era", at.era},
                        {"era_before", m_revision.era},
                        {"revision", at.value},
                        {"revision_before", m_revision.value}});
    for (net::StoreItem &item : m_mirror.items()) {
        const StoreSubjectKind kind = P::classifyKey(item.key).kind;
        if (kind == StoreSubjectKind::Config || kind == StoreSubjectKind::ZoneOut)
            m_retained.try_emplace(item.key, std::move(item));
    }
    m_state->endpoints.storeRewound(ServingState::now());
    // Members get the same time to register again as after an outage.
    m_state->members.storeLost();
}

template <PlatformProtocol P>
std::vector<net::StoreItem> StoreSession<P>::retainedItems() const
{
    std::vector<net::StoreItem> items;
    for (const std::pair<const std::string, net::StoreItem> &entry : m_retained) {
        const StoreSubject subject = P::classifyKey(entry.first);
        const bool zoneIsIn = subject.kind == StoreSubjectKind::ZoneOut
            && !m_state->endpoints.zonesOut().contains(ZoneName(subject.name));
        if (!zoneIsIn)
            items.push_back(entry.second);
    }
    return items;
}

template <PlatformProtocol P>
void StoreSession<P>::applyRetainedItems(const std::vector<net::StoreItem> &items)
{
    const Millis now = ServingState::now();
    for (const net::StoreItem &item : items) {
        const StoreSubject subject = P::classifyKey(item.key);
        bool isNew = false;
        if (subject.kind == StoreSubjectKind::Config) {
            const RouteTablePtr before = m_state->routes;
            applyConfigChange({item.key, item.value, item.revision, false, true});
            isNew = m_state->routes != before;
        } else if (subject.kind == StoreSubjectKind::ZoneOut
                   && !m_state->endpoints.zonesOut().contains(ZoneName(subject.name))) {
            m_state->endpoints.zoneOrderRetained(now, ZoneName(subject.name));
            m_state->zoneWentOut(ZoneName(subject.name));
            observe::logChange("zone-out",
                               {{"zone", subject.name}, {"reason", "reported by a peer"}});
            isNew = true;
        }
        // The other items are also in the store's present era, so they need not be retained.
        if (isNew)
            m_retained.try_emplace(item.key, item);
    }
}

template <PlatformProtocol P>
void StoreSession<P>::fetchRetainedItems()
{
    std::vector<MemberView> members = m_state->members.members(ServingState::now());
    std::erase_if(members, [this](const MemberView &member) {
        return member.info.name == m_self.name || member.state != MemberState::Live;
    });
    const ZoneName &zone = m_self.zone;
    std::stable_partition(members.begin(), members.end(),
                          [&zone](const MemberView &member) { return member.info.zone == zone; });
    for (std::size_t i = 0; i < std::min(members.size(), maxPeersAskedForRetained); ++i) {
        if (fetchCopy(members[i].info.name, members, CopyScope::Retained))
            return;
    }
}

template <PlatformProtocol P>
void StoreSession<P>::handlePeerConfigVersion(const MemberName &peer, ConfigVersion version)
{
    const bool ahead = !m_state->routes || m_state->routes->version() < version;
    const Millis now = ServingState::now();
    if (!ahead || !hasListed())
        return;
    if (!m_configBehindSince)
        m_configBehindSince = now;
    if (now - *m_configBehindSince < configUpdateGrace)
        return;
    // If the request fails, it is retried after the same time.
    m_configBehindSince = now;
    m_state->pool.spawn(net::currentWorker(), [this, peer] {
        // Only follow() may apply a copy: it may be in the middle of a listing.
        const std::vector<MemberView> members = m_state->members.members(ServingState::now());
        static_cast<void>(fetchCopy(peer, members, CopyScope::Retained));
    });
}

template <PlatformProtocol P>
StoreCopy StoreSession<P>::copy(net::StoreRevision after, CopyScope scope) const
{
    if (scope == CopyScope::Retained)
        return {after, false, {}, retainedItems()};
    std::optional<std::vector<net::StoreItem>> recent = m_recent.since(after);
    if (recent)
        return {m_revision, false, std::move(*recent), retainedItems()};
    return {m_revision, true, m_mirror.items(), retainedItems()};
}

template <PlatformProtocol P>
void StoreSession<P>::handleStoreUpdate(const StoreUpdate &update)
{
    const Millis now = ServingState::now();
    m_feed.recordUpdate(now, update);
    if (update.reachable)
        m_state->storeAnsweredAt = std::max(m_state->storeAnsweredAt, now - update.storeAge);
    // A process whose own calls fail goes on with the updates of its peers.
    const bool follows = hasListed() && !m_isListing && update.after <= m_revision
        && update.at > m_revision && update.at.era == m_revision.era;
    if (follows)
        applyPeerChanges(update.at, update.items);
    if (update.at > m_revision || !update.reachable)
        return;
    m_confirmedAt = std::max(m_confirmedAt, now - update.storeAge);
    // Nothing has been missed, so no listing is needed.
    if (update.at == m_revision && isConfirmed(now) && !m_isListing)
        m_listed = true;
}

template <PlatformProtocol P>
void StoreSession<P>::applyPeerChanges(net::StoreRevision at,
                                       const std::vector<net::StoreItem> &items)
{
    const net::StoreRevision before = m_revision;
    m_recent.add(before, at, items);
    m_revision = at;
    sendUpdate(before, items);
    applyChanges(m_mirror.apply(items));
}

template <PlatformProtocol P>
void StoreSession<P>::sendUpdate(net::StoreRevision after, std::vector<net::StoreItem> items)
{
    const std::vector<MemberView> members = m_state->members.members(ServingState::now());
    const std::vector<const MemberView *> recipients =
        FeedPolicy::recipients(m_self.name, members, m_state->isLarge(), m_followsStore);
    if (recipients.empty())
        return;
    const Millis now = ServingState::now();
    for (const StoreUpdate &update :
         splitStoreUpdate({m_self.name, after, m_revision, isConfirmed(now), std::move(items),
                           now - m_confirmedAt, m_isRejected}))
        m_hooks.send(recipients, encodeStoreUpdate(update));
}

template <PlatformProtocol P>
void StoreSession<P>::sendHeartbeats()
{
    repeatUntilStopped(m_state->metrics, "send-heartbeats", [&] {
        sendUpdate(m_revision, {});
        net::sleepFor(FeedPolicy::heartbeatInterval);
    });
}

template <PlatformProtocol P>
bool StoreSession<P>::listAll()
{
    std::string after;
    std::optional<net::StoreRevision> first;
    Millis firstAskedAt {0};
    std::vector<MemberInfo> members;
    while (true) {
        const Millis askedAt = ServingState::now();
        const net::StoreResult<typename Store::Page> page =
            m_watchStore.listPage({}, after, m_listTimeout.next(hasListed()));
        countCall(StoreCall::List, page.has_value());
        if (!page) {
            if (page.error().code == ResultCode::StoreTimeout)
                m_listTimeout.recordTimeout();
            m_isListing = false;
            recordRejection(page.error().message);
            return false;
        }
        // Keys that are written while the pages are read are reported again by the watch.
        if (!first) {
            first = page->at;
            firstAskedAt = askedAt;
            beginEra(*first);
            m_isListing = true;
            m_mirror.beginListing();
        }
        // The store was restored from an older copy between two pages: the earlier pages belong to
        // another era. The next step lists again.
        if (page->at.era != first->era) {
            m_isListing = false;
            return true;
        }
        applyChanges(m_mirror.addPage(page->items));
        collectMembers(page->items, members);
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    // A page alone says little: the listing begins anew when a later one is not answered in time.
    m_listTimeout.recordListing();
    setReachable(true, "listed");
    const bool isFirst = !hasListed();
    applyChanges(m_mirror.endListing());
    m_isListing = false;
    m_confirmedAt = std::max(m_confirmedAt, firstAskedAt);
    m_state->members.storeListed(ServingState::now(), members);
    m_revision = std::max(m_revision, *first);
    m_recent.restart(m_revision);
    m_listed = true;
    sendUpdate(m_revision, {});
    observe::logChange("store-listed", {{"revision", m_revision.value}, {"era", m_revision.era}});
    if (isFirst)
        m_state->pool.spawn(net::currentWorker(), [this] { fetchRetainedItems(); });
    return true;
}

template <PlatformProtocol P>
bool StoreSession<P>::watchOnce()
{
    const net::StoreResult<net::StoreList> changes = m_watchStore.watch({}, m_revision, watchWait);
    const Millis answeredAt = ServingState::now();
    countCall(StoreCall::Watch,
              changes.has_value() || changes.error().code == ResultCode::StoreNotFound);
    if (changes) {
        setReachable(true, "watch");
        // Changes of a later era do not follow the known ones; followStore() lists again.
        if (changes->revision.era == m_revision.era) {
            m_confirmedAt = std::max(m_confirmedAt, answeredAt);
            applyWatchedChanges(*changes);
        }
        return true;
    }
    if (changes.error().code == ResultCode::StoreNotFound) {
        observe::logChange("store-history-lost", {{"revision", m_revision.value}});
        m_listed = false;
        return true;
    }
    recordRejection(changes.error().message);
    m_listed = false;
    return false;
}

template <PlatformProtocol P>
void StoreSession<P>::recordRejection(std::string_view reason)
{
    if (!isConfirmed(ServingState::now()))
        setReachable(false, reason);
}

template <PlatformProtocol P>
void StoreSession<P>::applyWatchedChanges(const net::StoreList &changes)
{
    if (changes.revision <= m_revision)
        return;
    // Peers may have sent some of the changes while the watch waited.
    const net::StoreRevision before = m_revision;
    std::vector<net::StoreItem> items;
    for (const net::StoreItem &item : changes.items) {
        if (item.revision > before)
            items.push_back(item);
    }
    m_revision = changes.revision;
    m_recent.add(before, m_revision, items);
    const std::vector<StoreChange> mirrorChanges = m_mirror.apply(items);
    sendUpdate(before, std::move(items));
    applyChanges(mirrorChanges);
}

template <PlatformProtocol P>
void StoreSession<P>::collectMembers(std::span<const net::StoreItem> items,
                                     std::vector<MemberInfo> &members)
{
    for (const net::StoreItem &item : items) {
        if (!item.key.starts_with(node::memberKeyPrefix))
            continue;
        // Malformed entries were logged when the changes were applied.
        Result<MemberInfo> member = node::parseMember(item.value);
        if (member)
            members.push_back(std::move(*member));
    }
}

template <PlatformProtocol P>
void StoreSession<P>::setReachable(bool reachable, std::string_view reason)
{
    m_state->endpoints.storeReachable(ServingState::now(), reachable);
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    if (!reachable)
        m_state->members.storeLost();
    observe::logChange(reachable ? "store-regained" : "store-lost",
                       {{"revision", m_revision.value}, {"reason", reason}});
}

template <PlatformProtocol P>
void StoreSession<P>::applyChanges(const std::vector<StoreChange> &changes)
{
    for (const StoreChange &change : changes) {
        // The revision has moved on: a change that is left out does not come again.
        try {
            applyChange(change);
        } catch (const net::WorkerStopped &) {
            throw;
        } catch (const std::exception &e) {
            observe::logChange(observe::LogLevel::Error, "change-not-applied",
                               {{"key", change.key}, {"revision", change.revision.value}});
            noteTaskFailure(m_state->metrics, "apply-change", e);
        }
    }
}

template <PlatformProtocol P>
void StoreSession<P>::applyChange(const StoreChange &change)
{
    const StoreSubject subject = P::classifyKey(change.key);
    switch (subject.kind) {
    case StoreSubjectKind::Config:
        applyConfigChange(change);
        break;
    case StoreSubjectKind::ZoneOut:
        applyZoneChange(ZoneName(subject.name), change);
        break;
    case StoreSubjectKind::Endpoint:
        applyEndpointChange(EndpointName(subject.name), change);
        break;
    case StoreSubjectKind::Rollout:
        m_hooks.rolloutOrdered(ServiceName(subject.name), change);
        break;
    case StoreSubjectKind::RolloutStatus:
        m_hooks.rolloutStatusChanged(ServiceName(subject.name), change);
        break;
    case StoreSubjectKind::Other:
        if (change.key.starts_with(node::memberKeyPrefix))
            applyMemberChange(change);
        else if (change.key.starts_with(quarantineKeyPrefix))
            applyQuarantineChange(change);
        break;
    }
}

template <PlatformProtocol P>
void StoreSession<P>::applyZoneChange(const ZoneName &zone, const StoreChange &change)
{
    EndpointTable &endpoints = m_state->endpoints;
    const bool retained = change.removed && change.fromListing
        && !endpoints.zoneOrderMissing(ServingState::now(), zone);
    if (!retained) {
        m_retained.erase(change.key);
        if (change.removed)
            endpoints.zoneIn(zone);
        else
            endpoints.zoneOut(zone);
    }
    if (!change.removed)
        m_state->zoneWentOut(zone);
    observe::logChange(retained             ? "zone-held"
                           : change.removed ? "zone-in"
                                            : "zone-out",
                       {{"zone", zone.text()}, {"revision", change.revision.value}});
}

template <PlatformProtocol P>
void StoreSession<P>::applyConfigChange(const StoreChange &change)
{
    if (change.removed)
        return;
    Result<ServingConfig> config = P::decodeConfig(change.value);
    if (!config) {
        observe::logChange(
            observe::LogLevel::Error, "config-rejected",
            {{"revision", change.revision.value}, {"reason", config.error().message}});
        return;
    }
    const std::uint64_t version = config->version.value;
    const std::size_t routes = config->routes.size();
    const bool acceptsNoKey = config->requiresKey && config->accounts.empty();
    const bool applied = m_state->applyConfig(std::move(*config));
    // The order is in the store again and need not be retained.
    if (m_state->routes->version().value == version)
        m_retained.erase(change.key);
    observe::logChange(applied ? "config-applied" : "config-outdated",
                       {{"version", version},
                        {"revision", change.revision.value},
                        {"routes", routes},
                        {"in_force", m_state->routes->version().value}});
    if (applied) {
        if (acceptsNoKey) {
            observe::logChange(observe::LogLevel::Warning, "config-without-keys",
                               {{"version", version}});
        }
        logFindings();
        m_configBehindSince.reset();
        m_hooks.configApplied();
    }
}

template <PlatformProtocol P>
void StoreSession<P>::logFindings() const
{
    const std::vector<ConfigFinding> findings = checkConfig(
        m_state->routes->config(), m_state->settings.memoryMegabytes * bytesPerMegabyte);
    for (std::size_t i = 0; i < std::min(findings.size(), maxLoggedFindings); ++i) {
        observe::logChange(observe::LogLevel::Warning, "config-finding",
                           {{"entry", findings[i].entry},
                            {"message", findings[i].message},
                            {"findings", findings.size()}});
    }
}

template <PlatformProtocol P>
void StoreSession<P>::applyEndpointChange(const EndpointName &name, const StoreChange &change)
{
    const Millis now = ServingState::now();
    const EndpointView *before = m_state->endpoints.find(name);
    const bool wasLeaving = before != nullptr && before->leaving();
    const Result<EndpointRecord> record = change.removed
        ? fail(ResultCode::StoreNotFound, "the entry was removed")
        : P::decodeEndpoint(name, change.value);
    if (record) {
        m_state->endpoints.listed(now, *record,
                                  change.fromListing ? EntrySource::Listed : EntrySource::Written);
    } else {
        m_state->endpoints.removed(now, name);
    }
    if (!record && !change.removed) {
        m_state->metrics.counter("fescue_malformed_entries_total").Increment();
        observe::logChange(observe::LogLevel::Warning, "endpoint-malformed",
                           {{"endpoint", name.text()},
                            {"revision", change.revision.value},
                            {"bytes", change.value.size()},
                            {"reason", record.error().message}});
    }
    const EndpointView *after = m_state->endpoints.find(name);
    if (after == nullptr)
        return;
    observe::logChange(
        "endpoint",
        {{"endpoint", name.text()},
         {"service", after->record.service.text()},
         {"zone", after->record.zone.text()},
         {"state", after->leaving() ? "leaving" : "usable"},
         {"cold_ms", std::max(after->coldUntil - now, Millis {0}).count},
         {"age_ms", (now - after->firstListedAt).count},
         {"revision", change.revision.value},
         {"reason",
          record ? std::string_view("listed") : std::string_view(record.error().message)}});
    if (after->leaving() && !wasLeaving)
        m_hooks.endpointLeaving(name);
}

template <PlatformProtocol P>
void StoreSession<P>::applyMemberChange(const StoreChange &change)
{
    const Millis now = ServingState::now();
    const std::string name = change.key.substr(node::memberKeyPrefix.size());
    if (change.removed) {
        m_state->members.storeDeleted(now, MemberName(name));
        observe::logChange("member", {{"member", name}, {"state", "unregistered"}});
        return;
    }
    const Result<MemberInfo> member = node::parseMember(change.value);
    if (!member) {
        observe::logChange(observe::LogLevel::Warning, "member-malformed",
                           {{"member", name}, {"reason", member.error().message}});
        return;
    }
    m_state->members.storeWritten(now, *member);
    observe::logChange("member",
                       {{"member", name},
                        {"state", member->leaving ? "leaving" : "registered"},
                        {"revision", change.revision.value}});
}

template <PlatformProtocol P>
void StoreSession<P>::applyQuarantineChange(const StoreChange &change)
{
    const Millis now = ServingState::now();
    if (change.removed) {
        // A store that was restored from an older copy may lack the key; it is written again.
        if (change.fromListing) {
            m_quarantineWrites.erase(change.key);
            return;
        }
        for (const QuarantineEntry &entry : m_state->quarantine.entries()) {
            if (quarantineKey(entry) == change.key && m_state->quarantine.release(now, entry.parts))
                observe::logChange(
                    "quarantine-released",
                    {{"parts", partsText(entry.parts)}, {"reason", "the key was removed"}});
        }
        return;
    }
    const Result<QuarantineEntry> entry =
        parseQuarantineJson(change.value, now, Millis {observe::wallMillisNow()});
    if (!entry) {
        observe::logChange(observe::LogLevel::Warning, "quarantine-malformed",
                           {{"key", change.key}, {"reason", entry.error().message}});
        return;
    }
    if (!m_state->quarantine.mergeEntry(*entry))
        return;
    observe::logChange(entry->active ? "quarantined" : "quarantine-released",
                       {{"parts", partsText(entry->parts)},
                        {"crashes", entry->crashes},
                        {"version", entry->version},
                        {"trials", entry->trials},
                        {"revision", change.revision.value},
                        {"reason", "stored"}});
}

template <PlatformProtocol P>
bool StoreSession<P>::isStored(const QuarantineEntry &entry) const
{
    const net::StoreItem *item = m_mirror.find(quarantineKey(entry));
    if (item == nullptr)
        return !entry.active;
    const Result<QuarantineEntry> stored =
        parseQuarantineJson(item->value, ServingState::now(), Millis {observe::wallMillisNow()});
    return stored && stored->version >= entry.version && stored->trials >= entry.trials;
}

template <PlatformProtocol P>
net::StoreResult<void> StoreSession<P>::writeEntry(const QuarantineEntry &entry)
{
    const std::string key = quarantineKey(entry);
    const net::StoreItem *item = m_mirror.find(key);
    const std::string value =
        quarantineJson(entry, ServingState::now(), Millis {observe::wallMillisNow()});
    const net::StoreResult<net::StoreRevision> written =
        m_store.putIfMatch(key, value, item == nullptr ? net::StoreRevision {} : item->revision);
    countCall(StoreCall::Quarantine, written || written.error().code == ResultCode::StoreConflict);
    return written.map([](net::StoreRevision) {});
}

template <PlatformProtocol P>
net::StoreResult<void> StoreSession<P>::writeRollout(const std::string &key,
                                                     const std::string &value,
                                                     net::StoreRevision expected)
{
    const net::StoreResult<net::StoreRevision> written = m_store.putIfMatch(key, value, expected);
    countCall(StoreCall::Rollout, written || written.error().code == ResultCode::StoreConflict);
    return written.map([](net::StoreRevision) {});
}

template <PlatformProtocol P>
bool StoreSession<P>::claimTrial(const QuarantineEntry &entry)
{
    // A store that was restored from an older copy may lack trials that were claimed before.
    if (!m_listed || m_state->isStoreSilent() || !isStored(entry))
        return false;
    const QuarantineEntry claimed = PromptQuarantine::withTrial(ServingState::now(), entry);
    const net::StoreResult<void> written = writeEntry(claimed);
    if (written)
        static_cast<void>(m_state->quarantine.mergeEntry(claimed));
    else
        observe::logChange(
            "quarantine-trial-refused",
            {{"parts", partsText(entry.parts)}, {"reason", written.error().message}});
    return written.has_value();
}

template <PlatformProtocol P>
void StoreSession<P>::storeQuarantine()
{
    repeatUntilStopped(m_state->metrics, "store-quarantine", [&] {
        net::sleepFor(quarantineCheckInterval);
        if (!m_listed || m_state->isStoreSilent())
            return;
        for (const QuarantineEntry &entry : m_state->quarantine.entries()) {
            const std::string key = quarantineKey(entry);
            if (isStored(entry)) {
                m_quarantineWrites.erase(key);
                continue;
            }
            // All processes learn of an entry at about the same time. The store watchers write
            // first.
            const Millis now = ServingState::now();
            const Millis spread =
                isWatcher() ? quarantineWriteSpread : quarantineWriteSpread * otherWriterFactor;
            const double share = m_state->uniform() + (isWatcher() ? 0 : 1);
            const Millis due =
                now + Millis {static_cast<std::int64_t>(static_cast<double>(spread.count) * share)};
            const auto write = m_quarantineWrites.try_emplace(key, due).first;
            if (write->second > now)
                continue;
            m_quarantineWrites.erase(write);
            const net::StoreResult<void> written = writeEntry(entry);
            if (written || written.error().code == ResultCode::StoreConflict) {
                // The watch reports the new state soon.
                m_quarantineWrites[key] = now + quarantineRewriteDelay;
            } else {
                observe::logChange("quarantine-not-stored",
                                   {{"key", key}, {"reason", written.error().message}});
            }
        }
    });
}

template <PlatformProtocol P>
net::StoreResult<void> StoreSession<P>::writeSelf()
{
    const std::string key = std::string(node::memberKeyPrefix) + m_self.name.text();
    const net::StoreResult<net::StoreRevision> written =
        m_store.put(key, node::toJson(m_self, m_self.callerAddress), *m_lease);
    countCall(StoreCall::Register, written.has_value());
    return written.map([](net::StoreRevision) {});
}

template <PlatformProtocol P>
net::StoreResult<void> StoreSession<P>::registerSelf()
{
    const net::StoreResult<net::LeaseId> lease = m_store.createLease(registrationTtl);
    countCall(StoreCall::Register, lease.has_value());
    if (!lease)
        return tl::unexpected(lease.error());
    m_lease = *lease;
    m_leaseEra = m_eras.current();
    net::StoreResult<void> written = writeSelf();
    if (!written)
        m_lease.reset();
    return written;
}

template <PlatformProtocol P>
bool StoreSession<P>::isLeaseOutdated() const noexcept
{
    return m_lease && m_eras.current() > m_leaseEra;
}

template <PlatformProtocol P>
void StoreSession<P>::keepRegistered()
{
    Backoff backoff(nonWatcherBackoffLimits);
    repeatUntilStopped(m_state->metrics, "keep-registered", [&] {
        const bool registered = m_lease.has_value();
        const net::StoreResult<void> done =
            registered ? m_store.renewLease(*m_lease) : registerSelf();
        if (registered)
            countCall(StoreCall::Renew, done || done.error().code == ResultCode::StoreNotFound);
        if (isLeaseOutdated()) {
            observe::logChange("registration-lapsed",
                               {{"reason", "the store was restored from an older copy"}});
            m_lease.reset();
            const double spread = static_cast<double>(reregisterSpread.count) * m_state->uniform();
            net::sleepFor(Millis {static_cast<std::int64_t>(spread)});
            return;
        }
        if (done) {
            backoff.reset();
            net::sleepFor(renewInterval);
            return;
        }
        if (done.error().code == ResultCode::StoreNotFound) {
            observe::logChange("registration-lapsed", {{"reason", done.error().message}});
            m_lease.reset();
        }
        waitForStore(backoff, isWatcher());
    });
}

template <PlatformProtocol P>
void StoreSession<P>::announceLeaving()
{
    m_self.leaving = true;
    if (!m_lease)
        return;
    const net::StoreResult<void> written = writeSelf();
    observe::logChange(
        "leaving-written",
        {{"outcome",
          written ? std::string_view("written") : std::string_view(written.error().message)}});
}

} // namespace fescue::serving
