#pragma once

#include "fescue/core/freshness.h"
#include "fescue/core/resultcode.h"
#include "fescue/core/snapshot.h"
#include "fescue/core/vmlist.h"

#include <cstdint>
#include <string_view>

namespace fescue {

// Why an endpoint gets no new work, or that it does.
enum class Eligibility : std::uint8_t
{
    Eligible,
    // The configuration in force does not name the endpoint.
    NotConfigured,
    // Its zone is out of service or not known.
    ZoneOut,
    // Operators have taken its VM out of service.
    VmOut,
    // The platform is about to take its VM away.
    VmLeaving,
    // The platform has taken its VM away.
    VmRemoved,
    // This process cannot know whether the configuration has changed.
    ViewOutdated,
};

// Judges whether an endpoint may get new work. A VM that the list does not show yet counts as live,
// since the list lags.
[[nodiscard]] Eligibility judgeEndpoint(const EndpointName &endpoint, const Snapshot &snapshot,
                                        const VmList &vms, FreshnessVerdict freshness);

// Judges whether this process may start any new work at all.
[[nodiscard]] bool mayStartWork(FreshnessVerdict freshness) noexcept;

// Returns the code that a caller is told where no endpoint is eligible for this reason.
[[nodiscard]] ResultCode refusalCode(Eligibility reason) noexcept;

[[nodiscard]] std::string_view toString(Eligibility reason) noexcept;

} // namespace fescue
