#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/resultcode.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescue::load {

// Counts of durations in bins of one millisecond; longer ones than the last bin count there.
class MillisHistogram
{
public:
    void add(Millis value);
    // Returns 0 where nothing was counted.
    [[nodiscard]] Millis quantile(double q) const;
    [[nodiscard]] std::uint64_t count() const noexcept { return m_total; }

private:
    static constexpr std::size_t binCount = 120001;
    std::vector<std::uint32_t> m_bins;
    std::uint64_t m_total = 0;
};

// State of the fleet in one second.
struct SeriesPoint
{
    std::uint64_t tokens = 0;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t refused = 0;
    std::uint32_t preempted = 0;
    std::uint32_t endpointsIn = 0;
};

struct AccountMeasures
{
    std::string name;
    double weight = 1;
    std::uint64_t offeredTokens = 0;
    std::uint64_t deliveredTokens = 0;
};

// What one run measured. Figures are of the measured time unless said otherwise.
struct Measures
{
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0;
    // Requests that ended in an error after some tokens were delivered.
    std::uint64_t cut = 0;
    std::map<ResultCode, std::uint64_t> refusals;
    std::uint64_t tokensDelivered = 0;
    // Requests that completed, but whose first token came after the callers' patience.
    std::uint64_t late = 0;
    // Tokens delivered of requests that were completed at last.
    std::uint64_t completedTokens = 0;
    // The same without late requests.
    std::uint64_t goodTokens = 0;
    std::uint64_t goodTokensAway = 0;
    std::uint64_t offeredTokens = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t crashes = 0;
    // Requests given to a cold engine above what it bears.
    std::uint64_t overCold = 0;
    // Over the whole run: requests without an end, or with two, and tokens out of order.
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    // Sum over all gaps between tokens of what exceeds the stall limit.
    Millis stall {0};
    MillisHistogram firstToken;
    MillisHistogram gap;
    std::vector<AccountMeasures> accounts;
    std::vector<SeriesPoint> series;
    Millis measuredTime {0};
    Millis awayTime {0};
    // Tokens per second that the remaining engines can produce while a zone is out.
    double awayCapacity = 0;
    double capacityTokensPerSecond = 0;

    [[nodiscard]] std::uint64_t refused() const;
    // Tokens per second of requests that were completed and not late.
    [[nodiscard]] double goodput() const;
    // Goodput while a zone is out over the smaller of offered load and remaining capacity.
    [[nodiscard]] double awayGoodputPart() const;
    // Least part of its fair share that any account got; 1 where each got all it asked for.
    [[nodiscard]] double leastFairPart() const;
    // Stalled milliseconds for each thousand tokens.
    [[nodiscard]] double stallPerThousand() const;
};

} // namespace fescue::load
