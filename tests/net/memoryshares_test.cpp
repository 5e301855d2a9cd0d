#include "net/memoryshares.h"

#include <array>
#include <gtest/gtest.h>

namespace fescue::net {

namespace {

constexpr std::size_t megabyte = std::size_t {1024} * 1024;

} // namespace

// Answers a crowd behind one IP number whose bodies hold all memory for requests.
TEST(MemoryShares, LargestPeerGivesWay)
{
    const std::array<PeerMemory, 3> peers {{{"10.0.0.1", 4 * megabyte, 4 * megabyte},
                                            {"10.0.0.2", 16 * megabyte, 16 * megabyte},
                                            {"10.0.0.3", 2 * megabyte, 0}}};
    const PeerMemory *peer = peerGivingWay(peers, "10.0.0.4", megabyte);
    ASSERT_NE(peer, nullptr);
    EXPECT_EQ(peer->ip, "10.0.0.2");
}

TEST(MemoryShares, PeerAloneIsNotRefusedForItself)
{
    const std::array<PeerMemory, 1> peers {{{"10.0.0.2", 16 * megabyte, 16 * megabyte}}};
    EXPECT_EQ(peerGivingWay(peers, "10.0.0.2", megabyte), nullptr);
}

TEST(MemoryShares, PeersThatHoldAsMuchKeepIt)
{
    const std::array<PeerMemory, 2> peers {
        {{"10.0.0.1", 4 * megabyte, 4 * megabyte}, {"10.0.0.2", 9 * megabyte, 9 * megabyte}}};
    EXPECT_EQ(peerGivingWay(peers, "10.0.0.1", megabyte), nullptr);
    EXPECT_NE(peerGivingWay(peers, "10.0.0.1", megabyte / 4), nullptr);
}

TEST(MemoryShares, NobodyIsRefusedInVain)
{
    const std::array<PeerMemory, 2> peers {
        {{"10.0.0.1", 16 * megabyte, megabyte}, {"10.0.0.2", 12 * megabyte, 0}}};
    EXPECT_EQ(peerGivingWay(peers, "10.0.0.3", 4 * megabyte), nullptr);
    EXPECT_EQ(peerGivingWay(peers, "10.0.0.3", megabyte), peers.data());
}

} // namespace fescue::net
