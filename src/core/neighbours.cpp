#include "fescue/core/neighbours.h"

#include "fescue/core/rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace fescue {

namespace {

constexpr std::string_view ringKey = "neighbours";

// A place on the ring. Names break ties.
struct RingPlace
{
    std::uint64_t hash = 0;
    const MemberInfo *member = nullptr;

    bool operator<(const RingPlace &other) const
    {
        return hash != other.hash ? hash < other.hash : member->name < other.member->name;
    }
};

RingPlace placeOf(const MemberInfo &member) noexcept
{
    return {rendezvousScore(ringKey, member.name.text()), &member};
}

// Returns the other members in the order in which they follow `self` on the ring.
std::vector<const MemberInfo *> followers(const MemberInfo &self,
                                          std::span<const MemberView> members)
{
    std::vector<RingPlace> ring;
    for (const MemberView &member : members) {
        if (member.state != MemberState::Gone && member.info.name != self.name)
            ring.push_back(placeOf(member.info));
    }
    std::sort(ring.begin(), ring.end());
    const auto first = std::lower_bound(ring.begin(), ring.end(), placeOf(self));
    std::rotate(ring.begin(), first, ring.end());

    std::vector<const MemberInfo *> order;
    order.reserve(ring.size());
    for (const RingPlace &place : ring)
        order.push_back(place.member);
    return order;
}

} // namespace

std::vector<MemberName> chooseNeighbours(const MemberInfo &self,
                                         std::span<const MemberView> members, std::size_t count)
{
    const std::vector<const MemberInfo *> order = followers(self, members);
    const std::size_t nearest = std::min(order.size(), (count + 1) / 2);

    std::vector<MemberName> chosen;
    for (std::size_t n = 0; n < nearest; ++n)
        chosen.push_back(order[n]->name);
    for (std::size_t n = nearest; n < order.size() && chosen.size() < count; ++n) {
        if (order[n]->zone != self.zone)
            chosen.push_back(order[n]->name);
    }
    for (std::size_t n = nearest; n < order.size() && chosen.size() < count; ++n) {
        if (order[n]->zone == self.zone)
            chosen.push_back(order[n]->name);
    }
    return chosen;
}

} // namespace fescue
