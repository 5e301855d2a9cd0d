#include "fescue/core/membertable.h"

#include <algorithm>
#include <set>

namespace fescue {

void MemberTable::storeListed(Millis now, std::span<const MemberInfo> members)
{
    if (m_storeOut) {
        m_storeOut = false;
        m_storeBackAt = now;
    }
    std::set<MemberName> listed;
    for (const MemberInfo &member : members) {
        listed.insert(member.name);
        storeWritten(now, member);
    }
    for (const std::pair<const MemberName, Entry> &item : m_entries) {
        if (!listed.contains(item.first))
            storeDeleted(now, item.first);
    }
}

void MemberTable::storeWritten(Millis now, const MemberInfo &member)
{
    if (update(now, member, Source::Itself))
        m_entries[member.name].inStore = true;
}

void MemberTable::storeDeleted(Millis now, const MemberName &name)
{
    const auto it = m_entries.find(name);
    if (it == m_entries.end() || !it->second.inStore)
        return;
    it->second.inStore = false;
    it->second.knownAt = now;
}

void MemberTable::storeLost() noexcept
{
    m_storeOut = true;
}

bool MemberTable::heartbeat(Millis now, const MemberInfo &member)
{
    if (m_entries.size() >= m_limits.maxHeard && !m_entries.contains(member.name))
        return false;
    if (update(now, member, Source::Itself))
        m_entries[member.name].heardAt = now;
    return true;
}

void MemberTable::stopExpecting(Millis now, const MemberName &name)
{
    const auto it = m_entries.find(name);
    if (it == m_entries.end() || !it->second.heardAt)
        return;
    it->second.heardAt.reset();
    it->second.knownAt = now;
}

void MemberTable::peerTold(Millis now, const MemberInfo &member)
{
    const auto it = m_entries.find(member.name);
    const bool known = it != m_entries.end() && it->second.info.incarnation == member.incarnation;
    if (known && !member.leaving)
        return;
    update(now, member, Source::Peer);
}

void MemberTable::purge(Millis now)
{
    std::erase_if(m_entries, [this, now](const std::pair<const MemberName, Entry> &item) {
        const bool old = now - item.second.knownAt > m_limits.forgetAfter;
        return old && stateOf(now, item.second) == MemberState::Gone;
    });
}

MemberState MemberTable::state(Millis now, const MemberName &name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? MemberState::Gone : stateOf(now, it->second);
}

bool MemberTable::mayLive(Millis now, const MemberName &name, Incarnation incarnation) const
{
    const auto it = m_entries.find(name);
    if (it == m_entries.end() || it->second.info.incarnation > incarnation)
        return false;
    return stateOf(now, it->second) != MemberState::Gone;
}

const MemberInfo *MemberTable::find(Millis now, const MemberName &name) const
{
    const auto it = m_entries.find(name);
    if (it == m_entries.end() || stateOf(now, it->second) == MemberState::Gone)
        return nullptr;
    return &it->second.info;
}

std::vector<MemberView> MemberTable::members(Millis now) const
{
    std::vector<MemberView> views;
    views.reserve(m_entries.size());
    for (const std::pair<const MemberName, Entry> &item : m_entries) {
        const MemberState state = stateOf(now, item.second);
        if (state != MemberState::Gone)
            views.push_back({item.second.info, state});
    }
    return views;
}

std::size_t MemberTable::count(Millis now) const
{
    const std::ptrdiff_t n =
        std::count_if(m_entries.begin(), m_entries.end(),
                      [this, now](const std::pair<const MemberName, Entry> &item) {
                          return stateOf(now, item.second) != MemberState::Gone;
                      });
    return static_cast<std::size_t>(n);
}

bool MemberTable::update(Millis now, const MemberInfo &member, Source source)
{
    const auto it = m_entries.find(member.name);
    if (it == m_entries.end()) {
        m_entries[member.name] = Entry {member, false, now, std::nullopt};
        return true;
    }
    Entry &entry = it->second;
    if (member.incarnation < entry.info.incarnation) {
        // The clock of its VM may have been set back: a life that speaks replaces a silent one.
        const bool silent = entry.heardAt && now - *entry.heardAt > m_limits.suspectAfter;
        if (source == Source::Peer || !silent)
            return false;
        entry = Entry {member, false, now, std::nullopt};
        return true;
    }
    if (member.incarnation > entry.info.incarnation) {
        entry = Entry {member, false, now, std::nullopt};
        return true;
    }
    // A member that leaves does not come back in the same life; older word of it may arrive late.
    const bool leaving = entry.info.leaving || member.leaving;
    entry.info = member;
    entry.info.leaving = leaving;
    return true;
}

MemberState MemberTable::stateOf(Millis now, const Entry &entry) const
{
    const MemberState alive = entry.info.leaving ? MemberState::Leaving : MemberState::Live;
    if (entry.heardAt && now - *entry.heardAt <= m_limits.suspectAfter)
        return alive;
    if (entry.inStore)
        return entry.heardAt ? MemberState::Suspect : alive;
    const Millis lastSign = std::max(entry.heardAt.value_or(entry.knownAt), entry.knownAt);
    if (now - lastSign <= m_limits.goneAfter || mayRegisterAgain(now))
        return entry.info.leaving ? MemberState::Leaving : MemberState::Suspect;
    return MemberState::Gone;
}

// Leases lapse during an outage of the store, so for a while after it a missing key says nothing.
bool MemberTable::mayRegisterAgain(Millis now) const noexcept
{
    return m_storeBackAt && now - *m_storeBackAt <= m_limits.registerAgain;
}

} // namespace fescue
