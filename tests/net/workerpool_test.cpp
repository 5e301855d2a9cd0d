#include "tests/net/nettest.h"

#include <atomic>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace fescue::net {

namespace {

TEST(WorkerPoolTest, RunsTasksOnTheNamedWorker)
{
    WorkerPool pool(3);
    for (std::size_t i = 0; i < pool.size(); ++i) {
        runOn(pool, i, [&pool, i] {
            EXPECT_EQ(currentWorker(), i);
            EXPECT_EQ(&currentContext(), &pool.context(i));
        });
    }
    EXPECT_FALSE(onWorker());
}

TEST(WorkerPoolTest, SleepLastsAtLeastItsSpan)
{
    WorkerPool pool(1);
    runOn(pool, 0, [] {
        const Millis before = SteadyClock {}.now();
        sleepFor(20_ms);
        EXPECT_GE(SteadyClock {}.now() - before, 20_ms);
    });
}

TEST(WorkerPoolTest, FibersOfTwoWorkersWakeEachOther)
{
    WorkerPool pool(2);
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    int turns = 0;
    const auto takeTurns = [&](int parity) {
        std::unique_lock<boost::fibers::mutex> lock(mutex);
        for (int i = 0; i < 500; ++i) {
            changed.wait(lock, [&] { return turns % 2 == parity; });
            ++turns;
            changed.notify_all();
        }
    };
    std::promise<void> other;
    pool.spawn(1, [&] {
        takeTurns(1);
        other.set_value();
    });
    runOn(pool, 0, [&] { takeTurns(0); });
    other.get_future().get();
    EXPECT_EQ(turns, 1000);
}

TEST(WorkerPoolTest, StopUnwindsSleepingFibers)
{
    std::atomic<int> unwound = 0;
    struct Guard
    {
        std::atomic<int> &count;
        ~Guard() { ++count; }
    };
    {
        WorkerPool pool(2);
        for (int i = 0; i < 100; ++i) {
            pool.spawnAny([&unwound] {
                const Guard guard {unwound};
                while (true)
                    sleepFor(60_s);
            });
        }
        runOn(pool, 0, [] {});
        runOn(pool, 1, [] {});
    }
    EXPECT_EQ(unwound, 100);
}

TEST(WorkerPoolTest, TaskThatFailsEndsAlone)
{
    WorkerPool pool(1);
    pool.spawn(0, [] { throw std::runtime_error("intended by the test"); });
    bool ran = false;
    runOn(pool, 0, [&ran] { ran = true; });
    EXPECT_TRUE(ran);
}

} // namespace

} // namespace fescue::net
