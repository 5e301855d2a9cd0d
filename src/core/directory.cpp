#include "fescue/core/directory.h"

#include "fescue/core/rendezvous.h"

#include <algorithm>
#include <string_view>

namespace fescue {

namespace {

constexpr std::size_t enoughEntries = 2;

bool mayServeCallers(const MemberInfo &info, const Snapshot &snapshot, const VmList &vms)
{
    const VmState vm = vms.state(info.vm);
    const bool vmStays = vm == VmState::Live || vm == VmState::NotListed;
    return vmStays && !info.callerAddress.empty() && snapshot.isZoneIn(info.zone)
        && !snapshot.isVmOut(info.vm);
}

// Returns the members in one state that may serve callers, best first.
std::vector<const MemberInfo *> ranked(std::string_view key, MemberState state,
                                       std::span<const MemberView> members,
                                       const Snapshot &snapshot, const VmList &vms)
{
    std::vector<const MemberInfo *> candidates;
    std::vector<std::string_view> names;
    for (const MemberView &member : members) {
        if (member.state != state || !mayServeCallers(member.info, snapshot, vms))
            continue;
        candidates.push_back(&member.info);
        names.push_back(member.info.name.text());
    }
    std::vector<const MemberInfo *> order;
    order.reserve(candidates.size());
    for (const std::size_t n : rendezvousOrder(key, names))
        order.push_back(candidates[n]);
    return order;
}

// Moves the best member that lies in another zone than the first one to the second place.
void spreadOverZones(std::vector<const MemberInfo *> &order)
{
    if (order.empty())
        return;
    const ZoneName &firstZone = order.front()->zone;
    const auto other = std::find_if(order.begin(), order.end(), [&](const MemberInfo *info) {
        return info->zone != firstZone;
    });
    if (other != order.end())
        std::rotate(order.begin() + 1, other, other + 1);
}

} // namespace

std::vector<DirectoryEntry> answerDirectory(const DirectoryQuery &query,
                                            std::span<const MemberView> members,
                                            const Snapshot &snapshot, const VmList &vms)
{
    const std::string key = query.account.text() + '\n' + query.service.text();
    std::vector<const MemberInfo *> order = ranked(key, MemberState::Live, members, snapshot, vms);
    if (order.size() < enoughEntries) {
        const std::vector<const MemberInfo *> suspects =
            ranked(key, MemberState::Suspect, members, snapshot, vms);
        order.insert(order.end(), suspects.begin(), suspects.end());
    } else {
        spreadOverZones(order);
    }

    std::vector<DirectoryEntry> answer;
    for (const MemberInfo *info : order) {
        if (answer.size() == maxDirectoryEntries)
            break;
        answer.push_back({info->name, info->zone, info->callerAddress});
    }
    return answer;
}

} // namespace fescue
