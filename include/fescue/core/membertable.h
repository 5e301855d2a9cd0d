#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/memberinfo.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace fescue {

struct MemberLimits
{
    // A member that sends heartbeats is suspect after this time without one.
    Millis suspectAfter = 2_s;
    // A member without a key in the store is gone after this time without a heartbeat.
    Millis goneAfter = 4_s;
    // After an outage of the store, members are given this time to register again.
    Millis registerAgain = 15_s;
    // A member that is gone is forgotten after this time.
    Millis forgetAfter = 60_s;
    // Heartbeats add no member beyond this number. Several times the largest system.
    std::size_t maxHeard = 4096;
};

// The members of the system as this process sees them: the leased keys of the store, united with
// the heartbeats of peers. While the store is out, keys lapse without meaning, so nobody is dropped
// for the lack of one.
class MemberTable
{
public:
    explicit MemberTable(MemberLimits limits = {}) noexcept : m_limits(limits) { }

    // Replaces what the store shows by a complete list of its member keys.
    void storeListed(Millis now, std::span<const MemberInfo> members);

    // Records one key that was written or deleted.
    void storeWritten(Millis now, const MemberInfo &member);
    void storeDeleted(Millis now, const MemberName &name);

    // Records that the store does not answer. A later storeListed() ends the outage.
    void storeLost() noexcept;

    // Records a heartbeat that came from the member itself. Returns false, and records nothing, if
    // the member is not known and there are too many.
    bool heartbeat(Millis now, const MemberInfo &member);

    // Records that this process no longer has a link to the member, so that the lack of heartbeats
    // says nothing.
    void stopExpecting(Millis now, const MemberName &name);

    // Records that a peer tells of a member, without being it. Adds members that are not known.
    void peerTold(Millis now, const MemberInfo &member);

    // Forgets members that have been gone for long.
    void purge(Millis now);

    [[nodiscard]] MemberState state(Millis now, const MemberName &name) const;

    // True where this life of the member may go on. A member that is not known here counts as gone.
    [[nodiscard]] bool mayLive(Millis now, const MemberName &name, Incarnation incarnation) const;

    // Returns what a member says about itself, or null if it is not known or gone. Valid until the
    // next change of the table.
    [[nodiscard]] const MemberInfo *find(Millis now, const MemberName &name) const;
    // Returns all members that are not gone, sorted by name.
    [[nodiscard]] std::vector<MemberView> members(Millis now) const;
    // Returns how many members are not gone.
    [[nodiscard]] std::size_t count(Millis now) const;

private:
    struct Entry
    {
        MemberInfo info;
        bool inStore = false;
        // Last time at which anything but a heartbeat spoke for the member.
        Millis knownAt {0};
        std::optional<Millis> heardAt;
    };

    // Who speaks for a member.
    enum class Source : std::uint8_t
    {
        // The member, with a heartbeat or its entry in the store.
        Itself,
        Peer,
    };

    // Takes over what is said about a member. False where it is about an earlier life.
    bool update(Millis now, const MemberInfo &member, Source source);
    [[nodiscard]] MemberState stateOf(Millis now, const Entry &entry) const;
    [[nodiscard]] bool mayRegisterAgain(Millis now) const noexcept;

    MemberLimits m_limits;
    std::map<MemberName, Entry> m_entries;
    bool m_storeOut = false;
    std::optional<Millis> m_storeBackAt;
};

} // namespace fescue
