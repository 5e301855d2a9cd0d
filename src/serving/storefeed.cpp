#include "fescue/serving/storefeed.h"

#include "fescue/core/rendezvous.h"
#include "serving/cbor.h"

#include <algorithm>
#include <numeric>

namespace fescue::serving {

namespace {

// Version of the message layout. Receivers ignore messages of a later layout.
constexpr int layoutVersion = 1;
constexpr std::string_view messageName = "store update";

// Maximum number of bytes of items in one datagram, and the bytes that each item takes beyond its
// key and value.
constexpr std::size_t maxItemBytesPerUpdate = 6000;
constexpr std::size_t itemOverhead = 24;
// Watchers and relays are selected among the processes whose link has at least the widest one's
// bandwidth divided by this, since they send every change to many others.
constexpr std::uint32_t linkWidthDivisor = 2;

// Returns the first `n` live members with wide links in the rendezvous order for a key, of a zone,
// or of all zones if `zone` is null.
std::set<MemberName> selectMembers(std::string_view key, std::size_t n, const MemberName &self,
                                   std::span<const MemberView> members, const ZoneName *zone)
{
    const auto isInZone = [zone](const MemberView &member) {
        return zone == nullptr || member.info.zone == *zone;
    };
    std::uint32_t widest = 0;
    for (const MemberView &member : members) {
        if (isInZone(member))
            widest = std::max(widest, member.info.linkMegabits);
    }
    std::vector<std::string_view> names;
    for (const MemberView &member : members) {
        const bool live = member.state == MemberState::Live || member.info.name == self;
        if (isInZone(member) && live && member.info.linkMegabits >= widest / linkWidthDivisor)
            names.push_back(member.info.name.text());
    }
    const std::vector<std::size_t> order = rendezvousOrder(key, names);
    std::set<MemberName> first;
    for (std::size_t i = 0; i < std::min(order.size(), n); ++i)
        first.emplace(std::string(names[order[i]]));
    return first;
}

Json encodeItem(const net::StoreItem &item)
{
    const std::vector<std::uint8_t> value(item.value.begin(), item.value.end());
    return {item.key, item.revision.value, item.deleted, Json::binary(value)};
}

net::StoreItem decodeItem(const Json &json, std::uint64_t era)
{
    net::StoreItem item;
    item.key = json.at(0).get<std::string>();
    item.revision = {numberAt<std::uint64_t>(json, 1), era};
    item.deleted = json.at(2).get<bool>();
    const Json::binary_t &value = json.at(3).get_binary();
    item.value.assign(value.begin(), value.end());
    return item;
}

Json encodeItems(std::span<const net::StoreItem> items)
{
    Json list = Json::array();
    for (const net::StoreItem &item : items)
        list.push_back(encodeItem(item));
    return list;
}

std::vector<net::StoreItem> decodeItems(const Json &list, std::uint64_t era)
{
    std::vector<net::StoreItem> items;
    for (const Json &item : list)
        items.push_back(decodeItem(item, era));
    return items;
}

// Fields that processes of earlier releases do not send.
constexpr std::size_t updateAgeField = 6;
constexpr std::size_t updateEraField = 7;
constexpr std::size_t updateRejectedField = 8;
constexpr std::size_t copyEraField = 4;
constexpr std::size_t copyRetainedField = 5;

std::uint64_t readEra(const Json &json, std::size_t field)
{
    return json.size() > field ? numberAt<std::uint64_t>(json, field) : 0;
}

Json encodeMessage(const StoreUpdate &update)
{
    // Changes never lead from one era to the next.
    const net::StoreRevision after = update.after.era == update.at.era ? update.after : update.at;
    return {layoutVersion,         update.from.text(), after.value,
            update.at.value,       update.reachable,   encodeItems(update.items),
            update.storeAge.count, update.at.era,      update.isRejected};
}

} // namespace

std::string encodeStoreUpdate(const StoreUpdate &update)
{
    std::string bytes = toCbor(encodeMessage(update));
    if (bytes.size() <= maxStoreUpdateBytes)
        return bytes;
    // Without the items, the update must not follow a revision that a receiver may have: the
    // receiver would skip the changes.
    StoreUpdate head = update;
    head.after = update.at;
    head.items.clear();
    return toCbor(encodeMessage(head));
}

Result<StoreUpdate> decodeStoreUpdate(std::string_view bytes)
{
    return readCbor<StoreUpdate>(bytes, layoutVersion, messageName, [](const Json &json) {
        StoreUpdate update;
        update.from = MemberName(json.at(1).get<std::string>());
        const std::uint64_t era = readEra(json, updateEraField);
        update.after = {numberAt<std::uint64_t>(json, 2), era};
        update.at = {numberAt<std::uint64_t>(json, 3), era};
        update.reachable = json.at(4).get<bool>();
        update.items = decodeItems(json.at(5), era);
        if (json.size() > updateAgeField)
            update.storeAge = spanAt(json, updateAgeField);
        if (json.size() > updateRejectedField)
            update.isRejected = json.at(updateRejectedField).get<bool>();
        return update;
    });
}

std::string encodeCopy(const StoreCopy &copy)
{
    return toCbor({layoutVersion, copy.at.value, copy.whole, encodeItems(copy.items), copy.at.era,
                   encodeItems(copy.retained)});
}

Result<StoreCopy> decodeCopy(std::string_view bytes)
{
    return readCbor<StoreCopy>(bytes, layoutVersion, messageName, [](const Json &json) {
        const std::uint64_t era = readEra(json, copyEraField);
        StoreCopy copy {{numberAt<std::uint64_t>(json, 1), era},
                        json.at(2).get<bool>(),
                        decodeItems(json.at(3), era),
                        {}};
        if (json.size() > copyRetainedField)
            copy.retained = decodeItems(json.at(copyRetainedField), 0);
        return copy;
    });
}

std::vector<StoreUpdate> splitStoreUpdate(StoreUpdate update)
{
    std::vector<net::StoreItem> items = std::move(update.items);
    std::sort(items.begin(), items.end(), [](const net::StoreItem &a, const net::StoreItem &b) {
        return a.revision < b.revision;
    });
    std::vector<StoreUpdate> updates;
    StoreUpdate current = update;
    current.items.clear();
    std::size_t bytes = 0;
    for (net::StoreItem &item : items) {
        const std::size_t size = item.key.size() + item.value.size() + itemOverhead;
        if (size > maxItemBytesPerUpdate)
            break;
        // An update ends only before an item of a new revision.
        const bool full = bytes + size > maxItemBytesPerUpdate;
        if (full && current.items.back().revision < item.revision) {
            current.at = current.items.back().revision;
            // The store has confirmed the whole update only.
            current.reachable = false;
            updates.push_back(current);
            current.reachable = update.reachable;
            current.after = current.at;
            current.items.clear();
            bytes = 0;
        }
        bytes += size;
        current.items.push_back(std::move(item));
    }
    const std::size_t included = std::accumulate(
        updates.begin(), updates.end(), current.items.size(),
        [](std::size_t n, const StoreUpdate &other) { return n + other.items.size(); });
    if (included < items.size()) {
        // Some items are left out, so the last update must not follow a revision that a receiver
        // may have.
        current = update;
        current.items.clear();
        current.after = update.at;
    }
    current.at = update.at;
    updates.push_back(std::move(current));
    return updates;
}

void RecentChanges::restart(net::StoreRevision at)
{
    m_items.clear();
    m_from = at;
    m_revision = at;
}

void RecentChanges::add(net::StoreRevision after, net::StoreRevision at,
                        std::span<const net::StoreItem> items)
{
    if (after > m_revision)
        restart(after);
    for (const net::StoreItem &item : items) {
        if (item.revision > m_revision)
            m_items.push_back(item);
    }
    m_revision = std::max(m_revision, at);
    while (m_items.size() > maxItems) {
        m_from = m_items.front().revision;
        m_items.pop_front();
    }
}

std::optional<std::vector<net::StoreItem>> RecentChanges::since(net::StoreRevision after) const
{
    if (after < m_from)
        return std::nullopt;
    std::vector<net::StoreItem> items;
    for (const net::StoreItem &item : m_items) {
        if (item.revision > after)
            items.push_back(item);
    }
    return items;
}

void FeedPolicy::recordUpdate(Millis now, const StoreUpdate &update)
{
    Heartbeat &heartbeat = m_heartbeats[update.from];
    // Datagrams may arrive out of order.
    heartbeat = {now, std::max(heartbeat.revision, update.at), update.reachable,
                 now - update.storeAge, update.isRejected};
}

bool FeedPolicy::isReportedRejected(Millis now, const MemberName &name) const
{
    const auto it = m_heartbeats.find(name);
    return it != m_heartbeats.end() && it->second.isRejected
        && now - it->second.at <= heartbeatLifetime;
}

bool FeedPolicy::isSubstitute(Millis now, const MemberName &self,
                              std::span<const MemberView> members, bool isLarge) const
{
    const std::set<MemberName> watchers =
        selectMembers("watchers", watcherCount, self, members, nullptr);
    const std::size_t rejected = static_cast<std::size_t>(
        std::count_if(watchers.begin(), watchers.end(), [this, now](const MemberName &name) {
            return isReportedRejected(now, name);
        }));
    if (rejected == 0)
        return false;
    // Only relays receive the reports in a large system.
    const std::set<MemberName> relayNames =
        isLarge ? relays(self, members) : std::set<MemberName>();
    std::vector<MemberView> others;
    for (const MemberView &member : members) {
        const MemberName &name = member.info.name;
        const bool mayWatch = !watchers.contains(name) && !isReportedRejected(now, name)
            && (!isLarge || relayNames.contains(name));
        if (mayWatch)
            others.push_back(member);
    }
    return selectMembers("watchers", rejected, self, others, nullptr).contains(self);
}

std::set<MemberName> FeedPolicy::relays(const MemberName &self, std::span<const MemberView> members)
{
    std::set<ZoneName> zones;
    for (const MemberView &member : members)
        zones.insert(member.info.zone);
    std::set<MemberName> names;
    for (const ZoneName &zone : zones)
        names.merge(selectMembers("relays", relaysPerZone, self, members, &zone));
    return names;
}

bool FeedPolicy::isWatcher(const MemberName &self, std::span<const MemberView> members)
{
    return selectMembers("watchers", watcherCount, self, members, nullptr).contains(self);
}

std::vector<const MemberView *> FeedPolicy::recipients(const MemberName &self,
                                                       std::span<const MemberView> members,
                                                       bool isLarge, bool followsStore)
{
    const std::set<MemberName> relayNames =
        isLarge ? relays(self, members) : std::set<MemberName>();
    const bool isRelay = relayNames.contains(self);
    const bool watches = isWatcher(self, members) || (followsStore && (isRelay || !isLarge));
    const auto own =
        std::find_if(members.begin(), members.end(),
                     [&self](const MemberView &member) { return member.info.name == self; });
    std::vector<const MemberView *> included;
    for (const MemberView &member : members) {
        const MemberInfo &info = member.info;
        const bool asWatcher = watches && (!isLarge || relayNames.contains(info.name));
        const bool asRelay = isRelay && own != members.end() && info.zone == own->info.zone;
        if (info.name != self && (asWatcher || asRelay))
            included.push_back(&member);
    }
    return included;
}

bool FeedPolicy::mustWatch(Millis now, const MemberName &self, std::span<const MemberView> members,
                           bool isLarge) const
{
    if (isWatcher(self, members) || isSubstitute(now, self, members, isLarge))
        return true;
    const bool isRelay = !isLarge || relays(self, members).contains(self);
    const Millis maxAge = isRelay ? maxRelayStoreAge : maxStoreAge;
    return std::none_of(m_heartbeats.begin(), m_heartbeats.end(),
                        [now, maxAge](const std::pair<const MemberName, Heartbeat> &entry) {
                            const Heartbeat &heartbeat = entry.second;
                            return heartbeat.reachable && now - heartbeat.at <= heartbeatLifetime
                                && now - heartbeat.storeAnsweredAt <= maxAge;
                        });
}

bool FeedPolicy::hasRecentWatcher(Millis now) const
{
    return std::any_of(m_heartbeats.begin(), m_heartbeats.end(),
                       [now](const std::pair<const MemberName, Heartbeat> &entry) {
                           return now - entry.second.at <= heartbeatLifetime;
                       });
}

std::optional<MemberName> FeedPolicy::choosePeerToAsk(Millis now, const MemberName &self,
                                                      std::span<const MemberView> members,
                                                      bool isLarge, double uniform) const
{
    const bool feedsOthers =
        !isLarge || isWatcher(self, members) || relays(self, members).contains(self);
    const auto own =
        std::find_if(members.begin(), members.end(),
                     [&self](const MemberView &member) { return member.info.name == self; });
    if (!feedsOthers || own == members.end())
        return std::nullopt;
    std::vector<MemberName> near;
    std::vector<MemberName> far;
    for (const MemberView &member : members) {
        const MemberInfo &info = member.info;
        if (info.name == self || member.state != MemberState::Live
            || isReportedRejected(now, info.name))
            continue;
        (info.zone == own->info.zone ? near : far).push_back(info.name);
    }
    const std::vector<MemberName> &eligible = near.empty() ? far : near;
    if (eligible.empty())
        return std::nullopt;
    return eligible[static_cast<std::size_t>(uniform * static_cast<double>(eligible.size()))];
}

std::optional<MemberName> FeedPolicy::findPeerAhead(Millis now, net::StoreRevision at,
                                                    const ZoneName &zone,
                                                    std::span<const MemberView> members) const
{
    std::optional<MemberName> found;
    for (const std::pair<const MemberName, Heartbeat> &entry : m_heartbeats) {
        if (entry.second.revision <= at || now - entry.second.at > heartbeatLifetime)
            continue;
        const bool near =
            std::any_of(members.begin(), members.end(), [&entry, &zone](const MemberView &member) {
                return member.info.name == entry.first && member.info.zone == zone;
            });
        if (near)
            return entry.first;
        if (!found)
            found = entry.first;
    }
    return found;
}

} // namespace fescue::serving
