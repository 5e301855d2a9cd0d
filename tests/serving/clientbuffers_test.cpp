#include "fescue/serving/clientbuffers.h"

#include <gtest/gtest.h>

namespace fescue::serving {

namespace {

constexpr std::size_t megabyte = std::size_t {1024} * 1024;

} // namespace

// Guards against crowds that make the kernel hold more than the budget for bodies leaves.
TEST(ClientBuffers, CrowdAndItsUnreadBytesFitBesideTheBudget)
{
    for (const std::size_t memory : {40U, 48U, 88U, 110U, 256U, 1024U}) {
        const std::size_t budget = memory * megabyte / 2;
        const ClientBuffers buffers = clientBuffers(memory * megabyte, budget, 2925, 195);
        ASSERT_GT(buffers.frontBytes, 0U) << memory;
        // The kernel takes half more than the size of a buffer.
        const std::size_t kernel = (buffers.callers + static_cast<std::size_t>(buffers.backlog))
            * buffers.frontBytes * 3 / 2;
        EXPECT_LT(kernel + buffers.callers * std::size_t {16} * 1024 + budget, memory * megabyte)
            << memory;
    }
}

TEST(ClientBuffers, SmallMemoryLeavesConnectionsForHundredsOfCallers)
{
    EXPECT_GT(clientBuffers(88 * megabyte, 44 * megabyte, 2925, 195).callers, 500U);
    EXPECT_GT(clientBuffers(110 * megabyte, 55 * megabyte, 2925, 195).callers, 1000U);
    EXPECT_EQ(clientBuffers(88 * megabyte, 44 * megabyte, 300, 20).callers, 300U);
}

// Guards against connections at the other addresses that leave none to callers, where the settings
// do not limit descriptors.
TEST(ClientBuffers, UnknownDescriptorLimitLeavesConnectionsForHundredsOfCallers)
{
    EXPECT_GT(clientBuffers(88 * megabyte, 44 * megabyte, 20000, 20000).callers, 500U);
    EXPECT_GT(clientBuffers(110 * megabyte, 55 * megabyte, 20000, 20000).callers, 700U);
}

TEST(ClientBuffers, LargeMemoryLeavesBuffersToTheKernel)
{
    const ClientBuffers buffers = clientBuffers(8192 * megabyte, 4096 * megabyte, 2925, 195);
    EXPECT_EQ(buffers.callers, 2925U);
    EXPECT_EQ(buffers.frontBytes, 0U);
    EXPECT_EQ(buffers.backlog, 0);
}

TEST(ClientBuffers, OddLimitsLeaveSomeCallers)
{
    EXPECT_EQ(clientBuffers(0, 0, 20000, 1000).callers, 16U);
    EXPECT_EQ(clientBuffers(megabyte, megabyte / 2, 8, 8).callers, 8U);
}

} // namespace fescue::serving
