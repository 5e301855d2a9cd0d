#include "fescue/serving/returnschedule.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::serving;

// Fills the schedule with room that becomes free at a steady rate, up to `now`.
void freeRoom(ReturnSchedule &schedule, Millis now, Millis interval)
{
    for (Millis at = now - ReturnSchedule::rateWindow; at <= now; at += interval)
        schedule.recordRoom(at);
}

// Returns the greatest number of times within any span of the given length.
std::size_t mostWithin(const std::vector<Millis> &times, Millis span)
{
    std::size_t most = 0;
    for (auto it = times.begin(); it != times.end(); ++it) {
        const auto end = std::upper_bound(it, times.end(), *it + span);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
}

// Answers a crowd that is refused within 100 ms: its callers come back one after the other, and
// each finds room if room frees at the expected rate.
TEST(ReturnSchedule, CrowdComesBackAtTheRateOfTheRoom)
{
    ReturnSchedule schedule;
    constexpr std::int64_t crowd = 200;
    const Millis start = 100_s;
    freeRoom(schedule, start, 20_ms);
    std::vector<Millis> returns;
    for (std::int64_t n = 0; n < crowd; ++n) {
        const Millis now = start + Millis {n / 2};
        const std::optional<Millis> delay = schedule.reserve(now, 2, 100_ms, 6_s, 0.5);
        ASSERT_TRUE(delay) << n;
        EXPECT_LE(*delay, 6_s);
        returns.push_back(now + *delay);
    }
    EXPECT_TRUE(std::is_sorted(returns.begin(), returns.end())) << "order of the refusals";
    EXPECT_LE(mostWithin(returns, 100_ms), 6U);
    // Room frees every 20 ms; nobody finds less than one place free.
    std::int64_t taken = 0;
    for (const Millis &at : returns) {
        const std::int64_t freed = (at - start).count / 20;
        EXPECT_LT(taken, freed);
        ++taken;
    }
}

// Answers the same crowd spread over the processes of a system: each knows its own callers only.
TEST(ReturnSchedule, CrowdAtManyProcessesIsSpreadAsWell)
{
    constexpr int processes = 50;
    const Millis start = 100_s;
    std::vector<Millis> returns;
    for (int process = 0; process < processes; ++process) {
        ReturnSchedule schedule;
        freeRoom(schedule, start, 1_s);
        for (int n = 0; n < 4; ++n) {
            const double uniform = (process * 17 % processes) / static_cast<double>(processes);
            const std::optional<Millis> delay = schedule.reserve(start, 2, 100_ms, 6_s, uniform);
            ASSERT_TRUE(delay);
            returns.push_back(start + *delay);
        }
    }
    std::sort(returns.begin(), returns.end());
    EXPECT_LE(mostWithin(returns, 100_ms), 10U);
}

// Who would have to wait longer than callers accept is not promised room that others get.
TEST(ReturnSchedule, NoPlaceBeyondTheLatestTime)
{
    ReturnSchedule schedule;
    const Millis now = 100_s;
    freeRoom(schedule, now, 500_ms);
    int places = 0;
    for (int n = 0; n < 20; ++n)
        places += schedule.reserve(now, 2, 100_ms, 2_s, 0.0) ? 1 : 0;
    EXPECT_EQ(places, 5);
    // A caller that accepts a longer delay gets the next place.
    EXPECT_TRUE(schedule.reserve(now, 2, 100_ms, 6_s, 0.0));
}

// Answers urgent callers that are refused after a crowd of others: they need not come back behind
// it, while others come back behind them.
TEST(ReturnSchedule, UrgentCallersComeBackFirst)
{
    ReturnSchedule schedule;
    const Millis now = 100_s;
    freeRoom(schedule, now, 100_ms);
    Millis lastOther {0};
    for (int n = 0; n < 20; ++n)
        lastOther = schedule.reserve(now, 2, 100_ms, 6_s, 0.0).value_or(0_ms);
    EXPECT_GT(lastOther, 1'500_ms);
    EXPECT_EQ(schedule.reserve(now, 0, 100_ms, 6_s, 0.0), 100_ms);
    for (int n = 0; n < 30; ++n)
        static_cast<void>(schedule.reserve(now, 0, 100_ms, 6_s, 0.0));
    EXPECT_GT(schedule.reserve(now, 2, 100_ms, 6_s, 0.0), 2'900_ms);
}

TEST(ReturnSchedule, UnknownOrOutdatedRateGivesNoPlace)
{
    ReturnSchedule schedule;
    EXPECT_FALSE(schedule.reserve(100_s, 2, 100_ms, 6_s, 0.0));
    freeRoom(schedule, 100_s, 100_ms);
    EXPECT_TRUE(schedule.reserve(100_s, 2, 100_ms, 6_s, 0.0));
    const Millis later = 100_s + ReturnSchedule::rateWindow + 1_ms;
    EXPECT_FALSE(schedule.reserve(later, 2, 100_ms, 6_s, 0.0));
}

} // namespace
