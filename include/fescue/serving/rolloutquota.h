#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

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

    // Returns the initial credit of the process that is the `rank`-th of `members`. Half of the
    // operator's allowance is handed out in whole requests; the other half is left for processes
    // that see other members. The fraction `uniform` in [0, 1) rounds the sum of all processes
    // without a bias.
    [[nodiscard]] static double initialCredit(std::uint32_t allowance, std::size_t members,
                                              std::size_t rank, double uniform) noexcept
    {
        const std::size_t shared = allowance / 2;
        const std::size_t n = std::max<std::size_t>(members, 1);
        const std::size_t whole = shared / n + (rank < shared % n ? 1 : 0);
        return static_cast<double>(whole) + uniform;
    }

private:
    double m_credit = 0;
};

} // namespace fescue::serving
