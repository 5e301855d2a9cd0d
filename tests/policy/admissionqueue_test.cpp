#include "fescue/policy.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

CreditGrant grantOf(std::uint32_t slots, std::uint64_t memory, std::uint64_t serial, Millis sentAt)
{
    CreditGrant grant;
    grant.endpoint = EndpointName("engine-1");
    grant.member = MemberName("entry-1");
    grant.authority = FencingNumber {1};
    grant.serial = serial;
    grant.slots = slots;
    grant.memoryTokens = memory;
    grant.demandSentAt = sentAt;
    grant.term = 2_s;
    return grant;
}

Request requestOf(std::uint64_t id)
{
    Request request;
    request.id = RequestId {id};
    request.account = AccountName("diner");
    request.service = ServiceName("drafts");
    request.promptTokens = 100;
    request.maxTokens = 1000;
    return request;
}

class AdmissionQueueTest : public testing::Test
{
protected:
    AdmissionQueueTest()
        : m_queue(ServiceName("drafts"), FinishPolicy(ProfileSettings {}), m_wallet, m_forecast)
    {
        static_cast<void>(m_queue.setEligible({{EndpointName("engine-1"), true}}, 0_ms));
    }

    CreditWallet m_wallet {MemberName("entry-1")};
    LengthForecast m_forecast;
    AdmissionQueue<FinishPolicy> m_queue;
};

TEST_F(AdmissionQueueTest, StartsWithinCreditAndQueuesTheRest)
{
    ASSERT_TRUE(m_wallet.apply(grantOf(2, 100000, 1, 0_ms), 0_ms));
    EXPECT_EQ(m_queue.arrival(requestOf(1), 0_ms).size(), 1U);
    EXPECT_EQ(m_queue.arrival(requestOf(2), 0_ms).size(), 1U);
    EXPECT_TRUE(m_queue.arrival(requestOf(3), 0_ms).empty());
    const std::vector<Decision> decisions = m_queue.ended(RequestId {1}, EndKind::Completed, 10_ms);
    ASSERT_EQ(decisions.size(), 1U);
    ASSERT_TRUE(std::holds_alternative<Start>(decisions[0]));
    EXPECT_EQ(std::get<Start>(decisions[0]).id, RequestId {3});
}

TEST_F(AdmissionQueueTest, RefusesWithoutEndpoint)
{
    static_cast<void>(m_queue.setEligible({}, 0_ms));
    const std::vector<Decision> decisions = m_queue.arrival(requestOf(1), 0_ms);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Refuse>(decisions[0]).code, ResultCode::NoEndpoint);
    EXPECT_GT(std::get<Refuse>(decisions[0]).retryAfter, 0_ms);
}

TEST_F(AdmissionQueueTest, RefusesAtQueueLimit)
{
    EXPECT_TRUE(m_queue.arrival(requestOf(1), 0_ms).empty());
    EXPECT_TRUE(m_queue.tick(29_s).empty());
    const std::vector<Decision> decisions = m_queue.tick(30_s);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Refuse>(decisions[0]).code, ResultCode::NoCapacity);
}

} // namespace
