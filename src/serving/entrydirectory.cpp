#include "fescue/serving/entrydirectory.h"

namespace fescue::serving {

namespace {

// Number of entries in the caller's zone that is sufficient: one of them may fail.
constexpr std::size_t enoughInZone = 2;

template <typename Predicate>
std::vector<std::string> addressesWhere(std::span<const MemberView> members, Predicate predicate)
{
    std::vector<std::string> addresses;
    for (const MemberView &member : members) {
        const bool wanted = !member.info.callerAddress.empty() && predicate(member);
        if (wanted && addresses.size() < maxDirectoryAddresses)
            addresses.push_back(member.info.callerAddress);
    }
    return addresses;
}

} // namespace

std::vector<std::string> resolveEntries(const ZoneName &callerZone,
                                        std::span<const MemberView> members)
{
    const auto isLive = [](const MemberView &member) { return member.state == MemberState::Live; };
    std::vector<std::string> near = addressesWhere(members, [&](const MemberView &member) {
        return isLive(member) && member.info.zone == callerZone;
    });
    if (near.size() >= enoughInZone)
        return near;
    std::vector<std::string> live = addressesWhere(members, isLive);
    if (!live.empty())
        return live;
    return addressesWhere(
        members, [](const MemberView &member) { return member.state == MemberState::Suspect; });
}

} // namespace fescue::serving
