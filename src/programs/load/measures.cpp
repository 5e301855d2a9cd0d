#include "measures.h"

#include <algorithm>

namespace fescue::load {

namespace {

constexpr double millisPerSecond = 1000.0;

double perSecond(std::uint64_t n, Millis time)
{
    return time.count > 0
        ? static_cast<double>(n) * millisPerSecond / static_cast<double>(time.count)
        : 0;
}

} // namespace

void MillisHistogram::add(Millis value)
{
    if (m_bins.empty())
        m_bins.resize(binCount, 0);
    const std::int64_t bin = std::clamp<std::int64_t>(value.count, 0, binCount - 1);
    ++m_bins[static_cast<std::size_t>(bin)];
    ++m_total;
}

Millis MillisHistogram::quantile(double q) const
{
    const double wanted = q * static_cast<double>(m_total);
    double seen = 0;
    for (std::size_t i = 0; i < m_bins.size(); ++i) {
        seen += m_bins[i];
        if (seen >= wanted && seen > 0)
            return {static_cast<std::int64_t>(i)};
    }
    return {0};
}

std::uint64_t Measures::refused() const
{
    std::uint64_t sum = 0;
    for (const std::pair<const ResultCode, std::uint64_t> &entry : refusals)
        sum += entry.second;
    return sum;
}

double Measures::goodput() const
{
    return perSecond(goodTokens, measuredTime);
}

double Measures::awayGoodputPart() const
{
    const double bearable = std::min(awayCapacity, perSecond(offeredTokens, measuredTime));
    return bearable > 0 ? perSecond(goodTokensAway, awayTime) / bearable : 0;
}

double Measures::leastFairPart() const
{
    // Max-min by weight: raise a common level until all that was delivered is given out.
    double left = 0;
    for (const AccountMeasures &account : accounts)
        left += static_cast<double>(account.deliveredTokens);
    std::vector<double> fair(accounts.size(), 0);
    std::vector<bool> open(accounts.size(), true);
    for (std::size_t round = 0; round < accounts.size(); ++round) {
        double weights = 0;
        for (std::size_t i = 0; i < accounts.size(); ++i)
            weights += open[i] ? accounts[i].weight : 0;
        if (weights <= 0)
            break;
        bool closed = false;
        const double level = left / weights;
        for (std::size_t i = 0; i < accounts.size(); ++i) {
            const double offered = static_cast<double>(accounts[i].offeredTokens);
            if (!open[i] || offered > level * accounts[i].weight)
                continue;
            fair[i] = offered;
            left -= offered;
            open[i] = false;
            closed = true;
        }
        if (closed)
            continue;
        for (std::size_t i = 0; i < accounts.size(); ++i) {
            if (open[i])
                fair[i] = level * accounts[i].weight;
        }
        break;
    }
    double least = 1;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        if (fair[i] > 0)
            least = std::min(least, static_cast<double>(accounts[i].deliveredTokens) / fair[i]);
    }
    return least;
}

double Measures::stallPerThousand() const
{
    return tokensDelivered > 0
        ? static_cast<double>(stall.count) * 1000.0 / static_cast<double>(tokensDelivered)
        : 0;
}

} // namespace fescue::load
