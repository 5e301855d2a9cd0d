#include "fescue/serving/descriptorshare.h"

#include <gtest/gtest.h>
#include <limits>

namespace fescue::serving {

namespace {

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

} // namespace

TEST(DescriptorShare, CallersGetThreeQuartersOfTheConnections)
{
    EXPECT_EQ(callerConnections(4100, unlimited), 2925U);
    EXPECT_EQ(callerConnections(500, 300), 201U);
    EXPECT_EQ(callerConnections(0, 300), 201U);
}

TEST(DescriptorShare, OddLimitsLeaveSomeCallers)
{
    EXPECT_EQ(callerConnections(0, unlimited), 20000U);
    EXPECT_EQ(callerConnections(100, unlimited), 16U);
    EXPECT_EQ(callerConnections(0, 0), 16U);
}

} // namespace fescue::serving
