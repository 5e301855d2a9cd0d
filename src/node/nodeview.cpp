#include "fescue/node/nodeview.h"

#include "fescue/core/rendezvous.h"
#include "fescue/node/memberjson.h"

namespace fescue::node {

std::string_view toString(FreshnessVerdict verdict) noexcept
{
    switch (verdict) {
    case FreshnessVerdict::Fresh:
        return "fresh";
    case FreshnessVerdict::Outage:
        return "outage";
    case FreshnessVerdict::Isolated:
        break;
    }
    return "isolated";
}

const MemberInfo *NodeView::findMember(const MemberName &name) const noexcept
{
    for (const MemberView &member : members) {
        if (member.info.name == name)
            return &member.info;
    }
    return nullptr;
}

const MemberInfo *NodeView::authorityOf(const EndpointName &endpoint) const
{
    const MemberInfo *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const MemberView &member : members) {
        const bool candidate =
            member.state == MemberState::Live || member.state == MemberState::Suspect;
        if (!candidate || roleOf(member.info) != peer::Role::Admission)
            continue;
        const std::uint64_t score = rendezvousScore(endpoint.text(), member.info.name.text());
        if (best && score <= bestScore)
            continue;
        best = &member.info;
        bestScore = score;
    }
    return best;
}

} // namespace fescue::node
