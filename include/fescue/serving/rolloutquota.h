#pragma once

#include <algorithm>
#include <cstddef>

namespace fescue::serving {

// This process' part of the requests that a new software version may get. Each process adds a
// fraction of a request for each one that it sends, so the sum over all processes holds without
// messages, from the first request on.
class RolloutQuota
{
public:
    // Credit that is not used is kept up to this number of requests.
    static constexpr double maxCredit = 4;

    // Begins a roll-out. `initialCredit` is this process' part of the operator's allowance.
    void begin(double initialCredit) noexcept { m_credit = std::min(initialCredit, maxCredit); }
    // Returns true if the next request may go to the new version. `share` is the fraction of the
    // requests that may.
    [[nodiscard]] bool allowsNext(double share) const noexcept { return m_credit + share >= 1; }
    // Records a request that was sent to an endpoint of the service.
    void record(double share, bool toNewVersion) noexcept
    {
        m_credit = std::min(m_credit + share - (toNewVersion ? 1 : 0), maxCredit);
    }

    // Returns the initial credit of one of `members` processes. All together get at most half of
    // the operator's allowance: processes that restart get a part again. `uniform` in [0, 1).
    [[nodiscard]] static double initialCredit(double allowance, std::size_t members,
                                              double uniform) noexcept
    {
        return uniform * allowance / 2 / static_cast<double>(std::max<std::size_t>(members, 1));
    }

private:
    double m_credit = 0;
};

} // namespace fescue::serving
