#include "fescue/core/configfollower.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

const MemberName peerA {"a"};
const MemberName peerB {"b"};

TEST(ConfigFollower, AppliesOnlyGreaterVersions)
{
    ConfigFollower config;
    EXPECT_EQ(config.offer({3}, ConfigSource::Store), ConfigVerdict::Apply);
    EXPECT_EQ(config.offer({3}, ConfigSource::Peer), ConfigVerdict::AlreadyInForce);
    EXPECT_EQ(config.offer({2}, ConfigSource::Peer), ConfigVerdict::IgnoreOlder);
    EXPECT_EQ(config.storeRegressions(), 0U);
    EXPECT_EQ(config.offer({2}, ConfigSource::Store), ConfigVerdict::StoreWentBack);
    config.storeIsEmpty();
    EXPECT_EQ(config.storeRegressions(), 2U);
    EXPECT_EQ(config.inForce(), ConfigVersion {3});
}

TEST(ConfigFollower, FetchesFromTheAnnouncingPeerAndThenFromTheStore)
{
    ConfigFollower config;
    static_cast<void>(config.offer({1}, ConfigSource::Store));
    EXPECT_FALSE(config.nextFetch(0_ms).has_value());
    config.peerHas(0_ms, peerA, {2});
    std::optional<ConfigFetch> fetch = config.nextFetch(0_ms);
    ASSERT_TRUE(fetch.has_value());
    EXPECT_EQ(fetch->from, ConfigSource::Peer);
    EXPECT_EQ(fetch->peer, peerA);
    EXPECT_FALSE(config.nextFetch(400_ms).has_value()) << "one fetch at a time";
    fetch = config.nextFetch(500_ms);
    ASSERT_TRUE(fetch.has_value());
    EXPECT_EQ(fetch->from, ConfigSource::Store);
    EXPECT_EQ(config.offer({2}, ConfigSource::Store), ConfigVerdict::Apply);
    EXPECT_FALSE(config.nextFetch(2_s).has_value());
}

TEST(ConfigFollower, IsNotReadyWithoutStoreAndPeers)
{
    ConfigFollower config;
    EXPECT_FALSE(config.ready(0_ms, 4));
    EXPECT_FALSE(config.ready(1000_s, 4));
}

TEST(ConfigFollower, BootsFromTheHighestVersionAmongPeers)
{
    ConfigFollower config;
    config.peerHas(0_ms, peerA, {4});
    static_cast<void>(config.offer({4}, ConfigSource::Peer));
    EXPECT_FALSE(config.ready(0_ms, 3)) << "others may have a newer one";
    config.peerHas(10_ms, peerB, {5});
    EXPECT_FALSE(config.ready(10_ms, 3)) << "a newer one is known";
    static_cast<void>(config.offer({5}, ConfigSource::Peer));
    EXPECT_TRUE(config.ready(10_ms, 3));
}

TEST(ConfigFollower, BootWaitsForPeersOnlySoLong)
{
    ConfigFollower config;
    static_cast<void>(config.offer({4}, ConfigSource::Store));
    EXPECT_FALSE(config.ready(0_ms, 3));
    EXPECT_TRUE(config.ready(1_s, 3));
}

} // namespace
