#include "membersync.h"

#include "fescue/node/memberjson.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fescue::node {

namespace {

// Time to wait for a peer's answer before another peer is asked.
constexpr Millis askAgainAfter = 500_ms;

peer::MemberItem toItem(net::StoreItem item)
{
    std::string name = item.key.substr(std::min(item.key.size(), memberKeyPrefix.size()));
    return {MemberName(std::move(name)), item.revision.value, item.deleted, std::move(item.value)};
}

std::vector<peer::MemberItem> toItems(net::StoreList list)
{
    std::vector<peer::MemberItem> items;
    items.reserve(list.items.size());
    for (net::StoreItem &item : list.items)
        items.push_back(toItem(std::move(item)));
    return items;
}

std::uint64_t greatestRevision(std::span<const peer::MemberItem> items) noexcept
{
    std::uint64_t revision = 0;
    for (const peer::MemberItem &item : items)
        revision = std::max(revision, item.revision);
    return revision;
}

} // namespace

bool MemberSync::list(Millis now)
{
    net::StoreResult<net::StoreList> answer = m_store.list(memberKeyPrefix);
    if (!answer)
        return false;
    m_watched = answer->revision;
    m_storeOut = false;
    m_needsList = false;
    std::vector<peer::MemberItem> items = toItems(std::move(*answer));
    const std::uint64_t revision = std::max(m_log.revision(), greatestRevision(items));
    replaceAll(now, std::move(items), revision);
    return true;
}

bool MemberSync::watch(Millis now, Millis wait)
{
    net::StoreResult<net::StoreList> answer = m_store.watch(memberKeyPrefix, m_watched, wait);
    if (!answer)
        return false;
    m_watched = std::max(m_watched, answer->revision);
    const std::vector<peer::MemberItem> items = toItems(std::move(*answer));
    applyChanges(now, items, greatestRevision(items));
    return true;
}

void MemberSync::storeLost()
{
    m_storeOut = true;
    m_needsList = true;
    m_table.storeLost();
}

void MemberSync::heartbeat(Millis now, const MemberInfo &member, std::uint64_t revision)
{
    m_table.heartbeat(now, member);
    const bool waiting = m_askedAt && now - *m_askedAt < askAgainAfter;
    if (revision <= m_log.revision() || waiting)
        return;
    m_askedAt = now;
    m_send(member.name, peer::MembersRequest {m_known ? m_log.revision() : 0});
}

void MemberSync::linkDown(Millis now, const MemberName &member)
{
    m_table.stopExpecting(now, member);
}

void MemberSync::requested(const MemberName &from, const peer::MembersRequest &request)
{
    if (m_known)
        m_send(from, m_log.changesAfter(request.knownRevision));
}

void MemberSync::received(Millis now, const peer::MembersBody &body)
{
    m_askedAt.reset();
    if (body.revision <= m_log.revision())
        return;
    if (body.after == 0)
        replaceAll(now, body.items, body.revision);
    else if (body.after <= m_log.revision())
        applyChanges(now, body.items, body.revision);
}

// A list that a peer passes on while the store is out adds members, but drops none.
void MemberSync::replaceAll(Millis now, std::vector<peer::MemberItem> items, std::uint64_t revision)
{
    m_known = true;
    std::vector<MemberInfo> members;
    members.reserve(items.size());
    for (const peer::MemberItem &item : items) {
        const Result<MemberInfo> member = parseMember(item.value);
        if (member)
            members.push_back(*member);
    }
    m_log.replace(std::move(items), revision);
    if (!m_storeOut) {
        m_table.storeListed(now, members);
        return;
    }
    for (const MemberInfo &member : members)
        m_table.peerTold(now, member);
}

void MemberSync::applyChanges(Millis now, std::span<const peer::MemberItem> items,
                              std::uint64_t revision)
{
    for (const peer::MemberItem &item : items) {
        if (!m_log.apply(item))
            continue;
        if (item.deleted) {
            m_table.storeDeleted(now, item.member);
            continue;
        }
        const Result<MemberInfo> member = parseMember(item.value);
        if (member)
            m_table.storeWritten(now, *member);
    }
    m_log.advance(revision);
}

} // namespace fescue::node
