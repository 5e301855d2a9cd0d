#pragma once

#include "fescue/peer/messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace fescue::node {

// The member keys of the store as of one revision, with the latest deletions, so that one daemon
// can tell another what has changed since a revision that the other knows.
class MemberLog
{
public:
    // Replaces all by a complete list.
    void replace(std::vector<peer::MemberItem> items, std::uint64_t revision);

    // Records one change. False where everything up to its revision is known already. Call
    // advance() after the last of several changes.
    bool apply(const peer::MemberItem &item);

    // Declares that everything up to a revision is known.
    void advance(std::uint64_t revision) noexcept;

    // Returns the changes after a revision, or the whole list where they are not kept any more.
    [[nodiscard]] peer::MembersBody changesAfter(std::uint64_t revision) const;

    // Everything up to this revision is known.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    void trimDeletions();

    std::map<MemberName, peer::MemberItem> m_items;
    std::deque<peer::MemberItem> m_deletions;
    std::uint64_t m_revision = 0;
    // Deletions up to this revision may have been dropped.
    std::uint64_t m_floor = 0;
};

} // namespace fescue::node
