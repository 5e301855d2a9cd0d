#pragma once

#include "fescue/core/ids.h"

#include <cstdint>
#include <string>

namespace fescue {

// What a member of the system says about itself.
struct MemberInfo
{
    MemberName name;
    Incarnation incarnation;
    ZoneName zone;
    VmName vm;
    // IP number and port that callers connect to; empty for members that serve no callers.
    std::string callerAddress;
    // IP number and port that other members connect to.
    std::string peerAddress;
    // True once the member has begun to shut down.
    bool leaving = false;
    // Bandwidth of its VM's link; 0 where it is not known.
    std::uint32_t linkMegabits = 0;

    bool operator==(const MemberInfo &) const = default;
};

enum class MemberState : std::uint8_t
{
    Live,
    // It is shutting down and wants no new work.
    Leaving,
    // There are signs both that it lives and that it is gone.
    Suspect,
    Gone,
};

// A member together with the state in which this process sees it.
struct MemberView
{
    MemberInfo info;
    MemberState state = MemberState::Gone;

    bool operator==(const MemberView &) const = default;
};

} // namespace fescue
