#include "memberlog.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace fescue::node {

namespace {

constexpr std::size_t maxDeletions = 1024;

} // namespace

void MemberLog::replace(std::vector<peer::MemberItem> items, std::uint64_t revision)
{
    m_items.clear();
    m_deletions.clear();
    for (peer::MemberItem &item : items) {
        const MemberName name = item.member;
        m_items.insert_or_assign(name, std::move(item));
    }
    m_revision = std::max(m_revision, revision);
    m_floor = m_revision;
}

bool MemberLog::apply(const peer::MemberItem &item)
{
    if (item.revision <= m_revision)
        return false;
    if (item.deleted) {
        m_items.erase(item.member);
        m_deletions.push_back(item);
        trimDeletions();
    } else {
        m_items.insert_or_assign(item.member, item);
    }
    return true;
}

void MemberLog::advance(std::uint64_t revision) noexcept
{
    m_revision = std::max(m_revision, revision);
}

void MemberLog::trimDeletions()
{
    while (m_deletions.size() > maxDeletions) {
        m_floor = std::max(m_floor, m_deletions.front().revision);
        m_deletions.pop_front();
    }
}

peer::MembersBody MemberLog::changesAfter(std::uint64_t revision) const
{
    peer::MembersBody body;
    body.after = revision < m_floor ? 0 : revision;
    body.revision = m_revision;
    for (const std::pair<const MemberName, peer::MemberItem> &entry : m_items) {
        if (entry.second.revision > body.after)
            body.items.push_back(entry.second);
    }
    for (const peer::MemberItem &deletion : m_deletions) {
        if (body.after > 0 && deletion.revision > body.after)
            body.items.push_back(deletion);
    }
    return body;
}

} // namespace fescue::node
