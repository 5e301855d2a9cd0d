#include "fescue/core/vmlist.h"

namespace fescue {

bool VmList::apply(Millis now, std::uint64_t revision, std::span<const VmListItem> items)
{
    if (revision < m_revision)
        return false;
    m_revision = revision;
    m_appliedAt = now;
    m_listed = items.size();
    for (std::pair<const VmName, VmState> &item : m_states)
        item.second = VmState::Removed;
    for (const VmListItem &item : items)
        m_states[item.vm] = item.leaving ? VmState::Leaving : VmState::Live;
    return true;
}

VmState VmList::state(const VmName &vm) const
{
    const auto it = m_states.find(vm);
    return it == m_states.end() ? VmState::NotListed : it->second;
}

std::optional<Millis> VmList::age(Millis now) const noexcept
{
    if (!m_appliedAt)
        return std::nullopt;
    return now - *m_appliedAt;
}

} // namespace fescue
