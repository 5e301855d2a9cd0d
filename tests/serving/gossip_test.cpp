#include "fescue/serving/gossip.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

Gossip makeGossip()
{
    Gossip gossip;
    gossip.member = {MemberName("edge-1"),
                     {77},
                     ZoneName("north"),
                     VmName(),
                     "10.0.0.1:80",
                     "10.0.0.1:81",
                     true,
                     10};
    gossip.configVersion = {9};
    gossip.loads = {{EndpointName("e1"), {3, 9'000, 500}}};
    gossip.retries = {{ServiceName("s"), 4}};
    gossip.leaving = {{EndpointName("e2"), {1'700'000'000'123}}};
    gossip.refusingEndpoints = {{EndpointName("e3"), {7}}};
    gossip.prefixReads = {{{EndpointName("e1"), {5}}, 0xfedcba9876543210ULL, 350}};
    return gossip;
}

TEST(Gossip, RoundTripPreservesAllFields)
{
    const Gossip gossip = makeGossip();
    const Result<Gossip> decoded = decodeGossip(encodeGossip(gossip));
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_EQ(*decoded, gossip);
}

TEST(Gossip, MalformedBytesAreRejected)
{
    const std::string bytes = encodeGossip(makeGossip());
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(decodeGossip(std::string_view(bytes).substr(0, n)));
    EXPECT_FALSE(decodeGossip("\xa0"));
}

TEST(Gossip, LeavingNoticeRoundTripPreservesAllFields)
{
    const LeavingNotice notice {ZoneName("north"), {{EndpointName("e1"), {5}}}, 900_ms};
    const std::string bytes = encodeLeavingNotice(notice);
    const Result<LeavingNotice> decoded = decodeLeavingNotice(bytes);
    ASSERT_TRUE(decoded) << decoded.error().message;
    EXPECT_EQ(*decoded, notice);
    for (std::size_t n = 0; n < bytes.size(); ++n)
        EXPECT_FALSE(decodeLeavingNotice(std::string_view(bytes).substr(0, n)));
}

TEST(Gossip, ManyLeavingEndpointsStayWithinADatagram)
{
    Gossip gossip = makeGossip();
    gossip.leaving.assign(5000, {EndpointName("endpoint-with-a-name"), {1'700'000'000'123}});
    const std::string bytes = encodeGossip(gossip);
    EXPECT_LT(bytes.size(), 8192U);
    EXPECT_EQ(decodeGossip(bytes)->leaving.size(), maxIncarnationsPerDatagram);
}

TEST(Gossip, LoadsOfManyEndpointsAreDividedOverDatagrams)
{
    ZoneLoads zone {ZoneName("north"), 250_ms, {}};
    for (int n = 0; n < 610; ++n)
        zone.loads.push_back({EndpointName("endpoint-" + std::to_string(n)), {24, 34'000, 9'000}});
    std::vector<EndpointLoadEntry> decoded;
    for (const std::string &text : encodeZoneLoads({&zone, 1})) {
        EXPECT_LT(text.size(), 8192U);
        const Result<ZoneLoads> part = decodeZoneLoads(text);
        ASSERT_TRUE(part) << part.error().message;
        EXPECT_EQ(part->zone, zone.zone);
        EXPECT_EQ(part->age, zone.age);
        decoded.insert(decoded.end(), part->loads.begin(), part->loads.end());
    }
    EXPECT_EQ(decoded, zone.loads);
    EXPECT_FALSE(decodeZoneLoads("nonsense"));
}

TEST(Gossip, ZoneWithoutLoadIsEncoded)
{
    const ZoneLoads zone {ZoneName("north"), 0_ms, {}};
    const std::vector<std::string> texts = encodeZoneLoads({&zone, 1});
    ASSERT_EQ(texts.size(), 1U);
    EXPECT_EQ(*decodeZoneLoads(texts.front()), zone);
}

} // namespace
