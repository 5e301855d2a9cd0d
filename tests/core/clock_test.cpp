#include "fescue/core/clock.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

TEST(ManualClock, MovesOnlyForward)
{
    ManualClock clock;
    clock.advance(5_ms);
    clock.advance(Millis {-3});
    EXPECT_EQ(clock.now(), 5_ms);
}

} // namespace
