#include "fescue/serving/listtimeout.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

// Answers the loss of all processes while the store is silent, as it stays for a second or so after
// they are back: they wait for it no longer than a short call takes.
TEST(ListTimeout, ProcessesThatStartDuringASilentOutageAskSoonAfterIt)
{
    constexpr Millis longestPause {100};
    Millis worst {0};
    for (Millis silent {0}; silent <= 1'200_ms; silent += 10_ms) {
        ListTimeout timeout;
        Millis askedAt {0};
        while (askedAt < silent) {
            askedAt += timeout.next(false) + longestPause;
            timeout.recordTimeout();
        }
        worst = std::max(worst, askedAt - silent);
    }
    EXPECT_LT(worst, 750_ms);
}

TEST(ListTimeout, SlowStoreIsWaitedForInTheEnd)
{
    ListTimeout timeout;
    int calls = 0;
    while (timeout.next(false) < ListTimeout::longest && calls < 10) {
        timeout.recordTimeout();
        ++calls;
    }
    EXPECT_LE(calls, 4);
    timeout.recordTimeout();
    EXPECT_EQ(timeout.next(false), ListTimeout::longest);
    timeout.recordListing();
    EXPECT_EQ(timeout.next(false), ListTimeout::first);
}

// A process that knows the store's contents goes on with them; short calls would be for nothing.
TEST(ListTimeout, ProcessThatHasListedWaits)
{
    EXPECT_EQ(ListTimeout().next(true), ListTimeout::longest);
}

} // namespace
