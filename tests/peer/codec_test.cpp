#include "fescue/peer/codec.h"

#include <gtest/gtest.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace fescue::peer {
namespace {

constexpr int fixedSeed = 20261204;

std::string anyText()
{
    return *rc::gen::string<std::string>();
}

template <typename T>
T anyNumber()
{
    return *rc::gen::arbitrary<T>();
}

EntryDemand anyDemand()
{
    EntryDemand demand;
    demand.endpoint = EndpointName(anyText());
    demand.heldAuthority = FencingNumber {anyNumber<std::uint64_t>()};
    demand.heldSerial = anyNumber<std::uint64_t>();
    demand.running = anyNumber<std::uint32_t>();
    demand.promisedTokens = anyNumber<std::uint64_t>();
    demand.queuedWanted = anyNumber<std::uint32_t>();
    demand.minimumTokensWanted = anyNumber<std::uint64_t>();
    demand.finishedTotal = anyNumber<std::uint64_t>();
    demand.incarnation = Incarnation {anyNumber<std::uint64_t>()};
    demand.sentAt = Millis {anyNumber<std::int64_t>()};
    demand.uncontendedRunning = anyNumber<std::uint32_t>();
    demand.weight = *rc::gen::inRange(0, 100000) / 100.0;
    return demand;
}

CreditGrant anyGrant()
{
    CreditGrant grant;
    grant.endpoint = EndpointName(anyText());
    grant.incarnation = Incarnation {anyNumber<std::uint64_t>()};
    grant.authority = FencingNumber {anyNumber<std::uint64_t>()};
    grant.serial = anyNumber<std::uint64_t>();
    grant.slots = anyNumber<std::uint32_t>();
    grant.memoryTokens = anyNumber<std::uint64_t>();
    grant.busyPercent = anyNumber<std::uint32_t>();
    grant.demandSentAt = Millis {anyNumber<std::int64_t>()};
    grant.term = Millis {anyNumber<std::int64_t>()};
    return grant;
}

MemberItem anyItem()
{
    return {MemberName(anyText()), anyNumber<std::uint64_t>(), anyNumber<bool>(), anyText()};
}

template <typename T>
std::vector<T> anyList(T (*make)())
{
    const int n = *rc::gen::inRange(0, 5);
    std::vector<T> items;
    items.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        items.push_back(make());
    return items;
}

Message anyMessage()
{
    switch (*rc::gen::inRange(0, static_cast<int>(messageTypeCount))) {
    case 0:
        return Hello {MemberName(anyText()),
                      Role::Admission,
                      Incarnation {anyNumber<std::uint64_t>()},
                      ZoneName(anyText()),
                      VmName(anyText()),
                      anyText(),
                      anyText()};
    case 1:
        return Heartbeat {anyNumber<std::uint64_t>(),
                          anyNumber<std::uint64_t>(),
                          ConfigVersion {anyNumber<std::uint64_t>()},
                          anyNumber<std::int64_t>(),
                          ConfigVersion {anyNumber<std::uint64_t>()},
                          anyNumber<std::uint64_t>(),
                          anyNumber<bool>()};
    case 2:
        return VersionNotice {ConfigVersion {anyNumber<std::uint64_t>()}};
    case 3:
        return ConfigRequest {ConfigVersion {anyNumber<std::uint64_t>()}};
    case 4:
        return ConfigBody {ConfigVersion {anyNumber<std::uint64_t>()}, anyNumber<std::uint64_t>(),
                           anyText()};
    case 5:
        return MembersRequest {anyNumber<std::uint64_t>()};
    case 6:
        return MembersBody {anyNumber<std::uint64_t>(), anyNumber<std::uint64_t>(),
                            anyList(anyItem)};
    case 7:
        return CreditDemands {anyList(anyDemand)};
    case 8:
        return CreditGrants {anyList(anyGrant)};
    case 9:
        return EndpointEvent {EndpointName(anyText()), EndpointSign::FirstTokenSlow,
                              Incarnation {anyNumber<std::uint64_t>()},
                              Millis {anyNumber<std::int64_t>()}};
    default:
        return Goodbye {GoodbyeReason::Duplicate};
    }
}

rc::detail::TestParams fixedParams()
{
    rc::detail::TestParams params;
    params.seed = fixedSeed;
    params.maxSuccess = 400;
    return params;
}

template <typename Property>
bool holds(Property property)
{
    std::cout << "seed " << fixedSeed << '\n';
    const rc::detail::TestResult result =
        rc::detail::checkTestable(property, rc::detail::TestMetadata {}, fixedParams());
    rc::detail::printResultMessage(result, std::cout);
    std::cout << '\n';
    return result.template is<rc::detail::SuccessResult>();
}

TEST(Codec, RoundTripKeepsEveryMessage)
{
    EXPECT_TRUE(holds([] {
        const Message message = anyMessage();
        const Result<Message> back = decode(encode(message));
        RC_ASSERT(back.has_value());
        RC_ASSERT(*back == message);
    }));
}

TEST(Codec, MutatedBytesGiveAMessageOrAnError)
{
    EXPECT_TRUE(holds([] {
        std::string bytes = encode(anyMessage());
        const int changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            const std::size_t at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        const Result<Message> back = decode(bytes);
        if (!back)
            RC_ASSERT(back.error().code == ResultCode::MessageMalformed
                      || back.error().code == ResultCode::MessageVersionUnknown);
    }));
}

TEST(Codec, EveryTruncationIsMalformed)
{
    CreditGrant grant;
    grant.endpoint = EndpointName("e1");
    const std::string bytes = encode(CreditGrants {{grant}});
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const Result<Message> back = decode(std::string_view(bytes).substr(0, n));
        ASSERT_FALSE(back.has_value()) << n;
        EXPECT_EQ(back.error().code, ResultCode::MessageMalformed) << n;
    }
}

TEST(Codec, RandomBytesNeverCrash)
{
    std::mt19937_64 random(fixedSeed);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes(random() % 64, '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(random());
        EXPECT_FALSE(decode(bytes).has_value());
    }
}

TEST(Codec, OtherProtocolVersionIsSaidSo)
{
    std::string bytes;
    nlohmann::json::to_cbor({{"v", protocolVersion + 1}, {"t", "hb"}}, bytes);
    const Result<Message> back = decode(bytes);
    ASSERT_FALSE(back.has_value());
    EXPECT_EQ(back.error().code, ResultCode::MessageVersionUnknown);
}

TEST(Codec, UnknownTypeIsMalformed)
{
    std::string bytes;
    nlohmann::json::to_cbor({{"v", protocolVersion}, {"t", "zz"}}, bytes);
    ASSERT_FALSE(decode(bytes).has_value());
    EXPECT_EQ(decode(bytes).error().code, ResultCode::MessageMalformed);
}

TEST(Codec, NumberOutOfRangeIsMalformed)
{
    std::string bytes;
    nlohmann::json::to_cbor({{"v", protocolVersion}, {"t", "by"}, {"k", 77}}, bytes);
    ASSERT_FALSE(decode(bytes).has_value());
    EXPECT_EQ(decode(bytes).error().code, ResultCode::MessageMalformed);
}

TEST(Codec, TooLargeIsMalformed)
{
    const std::string bytes = encode(ConfigBody {ConfigVersion {1}, 1, std::string(2 << 20, 'x')});
    ASSERT_FALSE(decode(bytes).has_value());
    EXPECT_EQ(decode(bytes).error().code, ResultCode::MessageMalformed);
}

TEST(Codec, LargestConfigurationFits)
{
    const Message message = ConfigBody {ConfigVersion {1}, 1, std::string(1 << 20, 'x')};
    const Result<Message> back = decode(encode(message));
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(*back, message);
}

TEST(Codec, DeepNestingIsMalformed)
{
    const std::string bytes(100000, '\x81');
    ASSERT_FALSE(decode(bytes).has_value());
    EXPECT_EQ(decode(bytes).error().code, ResultCode::MessageMalformed);
}

} // namespace
} // namespace fescue::peer
