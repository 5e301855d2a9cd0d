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

TEST(DescriptorShare, AllAddressesTogetherLeaveRoomForEndpoints)
{
    const SocketLimits limits = socketLimits(4100, unlimited);
    EXPECT_EQ(limits.all, 3884U);
    EXPECT_EQ(limits.callers, 3651U);
    EXPECT_LT(callerConnections(4100, unlimited), limits.callers);
    EXPECT_EQ(sideConnections(4100, unlimited), 195U);
    EXPECT_EQ(sideConnections(100, unlimited), 16U);
}

} // namespace fescue::serving
