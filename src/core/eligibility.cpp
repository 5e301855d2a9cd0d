#include "fescue/core/eligibility.h"

namespace fescue {

Eligibility judgeEndpoint(const EndpointName &endpoint, const Snapshot &snapshot, const VmList &vms,
                          FreshnessVerdict freshness)
{
    if (!mayStartWork(freshness))
        return Eligibility::ViewOutdated;
    const Endpoint *configured = snapshot.findEndpoint(endpoint);
    if (configured == nullptr)
        return Eligibility::NotConfigured;
    if (!snapshot.isZoneIn(configured->zone))
        return Eligibility::ZoneOut;
    if (snapshot.isVmOut(configured->vm))
        return Eligibility::VmOut;
    switch (vms.state(configured->vm)) {
    case VmState::Leaving:
        return Eligibility::VmLeaving;
    case VmState::Removed:
        return Eligibility::VmRemoved;
    case VmState::Live:
    case VmState::NotListed:
        break;
    }
    return Eligibility::Eligible;
}

bool mayStartWork(FreshnessVerdict freshness) noexcept
{
    return freshness != FreshnessVerdict::Isolated;
}

ResultCode refusalCode(Eligibility reason) noexcept
{
    switch (reason) {
    case Eligibility::Eligible:
        return ResultCode::Ok;
    case Eligibility::ViewOutdated:
        return ResultCode::ViewOutdated;
    case Eligibility::NotConfigured:
    case Eligibility::ZoneOut:
    case Eligibility::VmOut:
    case Eligibility::VmLeaving:
    case Eligibility::VmRemoved:
        break;
    }
    return ResultCode::NoEndpoint;
}

std::string_view toString(Eligibility reason) noexcept
{
    switch (reason) {
    case Eligibility::Eligible:
        return "eligible";
    case Eligibility::NotConfigured:
        return "not-configured";
    case Eligibility::ZoneOut:
        return "zone-out";
    case Eligibility::VmOut:
        return "vm-out";
    case Eligibility::VmLeaving:
        return "vm-leaving";
    case Eligibility::VmRemoved:
        return "vm-removed";
    case Eligibility::ViewOutdated:
        return "view-outdated";
    }
    return "unknown";
}

} // namespace fescue
