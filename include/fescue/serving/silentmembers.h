#pragma once

#include "fescue/core/backoff.h"
#include "fescue/core/ids.h"

#include <map>

namespace fescue::serving {

// Members that do not answer requests of this process, and until when they are not asked again.
// The pause doubles with every silence in a row. Has no clock of its own.
class SilentMembers
{
public:
    explicit SilentMembers(BackoffLimits pauses) noexcept : m_pauses(pauses) { }

    // Records that a member did not answer. Requests that were sent before its pause count as one.
    // `uniform` is a random number in [0, 1). Returns the time until it may be asked again.
    Millis recordSilence(Millis now, const MemberName &member, double uniform);
    // Records an answer; a silence after it is the first again.
    void recordAnswer(const MemberName &member) { m_members.erase(member); }
    [[nodiscard]] bool isPaused(Millis now, const MemberName &member) const;
    // Forgets members that have not been asked for long after their pause.
    void purge(Millis now);

private:
    struct Silence
    {
        Backoff backoff;
        Millis until {0};
    };

    BackoffLimits m_pauses;
    std::map<MemberName, Silence> m_members;
};

} // namespace fescue::serving
