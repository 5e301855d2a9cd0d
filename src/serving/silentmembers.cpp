#include "fescue/serving/silentmembers.h"

namespace fescue::serving {

Millis SilentMembers::recordSilence(Millis now, const MemberName &member, double uniform)
{
    Silence &silence = m_members.try_emplace(member, Silence {Backoff(m_pauses), {}}).first->second;
    if (silence.until <= now)
        silence.until = now + silence.backoff.next(uniform);
    return silence.until - now;
}

bool SilentMembers::isPaused(Millis now, const MemberName &member) const
{
    const auto it = m_members.find(member);
    return it != m_members.end() && now < it->second.until;
}

void SilentMembers::purge(Millis now)
{
    std::erase_if(m_members, [this, now](const std::pair<const MemberName, Silence> &entry) {
        return now - entry.second.until > m_pauses.longest;
    });
}

} // namespace fescue::serving
