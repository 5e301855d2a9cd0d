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
        : m_queue(ServiceName("drafts"), CreditPolicy(ProfileSettings {}), m_creditBalance,
                  m_forecast)
    {
        static_cast<void>(m_queue.setEligible({{EndpointName("engine-1"), true}}, 0_ms));
    }

    CreditBalance m_creditBalance {MemberName("entry-1")};
    LengthForecast m_forecast;
    AdmissionQueue<CreditPolicy> m_queue;
};

TEST_F(AdmissionQueueTest, StartsWithinCreditAndQueuesTheRest)
{
    ASSERT_TRUE(m_creditBalance.apply(grantOf(2, 100000, 1, 0_ms), 0_ms));
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

TEST_F(AdmissionQueueTest, RefusesAtOnceWhenThePredictedWaitExceedsTheDeadline)
{
    ASSERT_TRUE(m_creditBalance.apply(grantOf(1, 100000, 1, 0_ms), 0_ms));
    ASSERT_EQ(m_queue.arrival(requestOf(0), 0_ms).size(), 1U);
    for (std::uint64_t i = 1; i <= 8; ++i)
        ASSERT_TRUE(m_queue.arrival(requestOf(i), 0_ms).empty());
    // One request starts every two seconds.
    Millis now {0};
    for (std::uint64_t i = 0; i < 4; ++i) {
        now += 2_s;
        CreditGrant grant = grantOf(1, 100000, i + 2, now);
        ASSERT_TRUE(m_creditBalance.apply(grant, now));
        ASSERT_EQ(m_queue.ended(RequestId {i}, EndKind::Completed, now).size(), 1U);
    }
    Request hurried = requestOf(20);
    hurried.deadline = now + 4_s;
    const std::vector<Decision> decisions = m_queue.arrival(hurried, now);
    ASSERT_EQ(decisions.size(), 1U);
    const Refuse refused = std::get<Refuse>(decisions[0]);
    EXPECT_EQ(refused.code, ResultCode::DeadlineUnreachable);
    EXPECT_GT(refused.retryAfter, 2_s);
    Request patient = requestOf(21);
    patient.deadline = now + 20_s;
    EXPECT_TRUE(m_queue.arrival(patient, now).empty());
}

TEST_F(AdmissionQueueTest, ReturnedRequestIsFirstInLineAndAvoidsTheEndpoint)
{
    ASSERT_TRUE(m_creditBalance.apply(grantOf(1, 100000, 1, 0_ms), 0_ms));
    ASSERT_EQ(m_queue.arrival(requestOf(1), 0_ms).size(), 1U);
    ASSERT_TRUE(m_queue.arrival(requestOf(2), 0_ms).empty());
    EXPECT_TRUE(m_queue.returned(RequestId {1}, 10_ms).empty());
    const std::vector<Decision> decisions = m_queue.tick(600_ms);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Start>(decisions[0]).id, RequestId {1});
}

TEST_F(AdmissionQueueTest, MemoryPromiseBoundsStarts)
{
    for (int i = 0; i < 100; ++i)
        m_forecast.observe(AccountName("diner"), ServiceName("drafts"), 900);
    ASSERT_TRUE(m_creditBalance.apply(grantOf(8, 1500, 1, 0_ms), 0_ms));
    EXPECT_EQ(m_queue.arrival(requestOf(1), 0_ms).size(), 1U);
    EXPECT_TRUE(m_queue.arrival(requestOf(2), 0_ms).empty());
    const EntryDemand demand = m_queue.demand(EndpointName("engine-1"), 0_ms);
    EXPECT_EQ(demand.queuedWanted, 1U);
    EXPECT_GT(demand.minimumTokensWanted, 900U);
    EXPECT_EQ(demand.running, 1U);
}

TEST_F(AdmissionQueueTest, PromiseGrowsWithTheOutput)
{
    ASSERT_TRUE(m_creditBalance.apply(grantOf(8, 100000, 1, 0_ms), 0_ms));
    ASSERT_EQ(m_queue.arrival(requestOf(1), 0_ms).size(), 1U);
    const std::uint64_t before = m_queue.demand(EndpointName("engine-1"), 0_ms).promisedTokens;
    m_queue.tokensProduced(RequestId {1}, 800, 1_s);
    EXPECT_GT(m_queue.demand(EndpointName("engine-1"), 1_s).promisedTokens, before);
    EXPECT_EQ(m_queue.ended(RequestId {1}, EndKind::Completed, 2_s).size(), 0U);
    EXPECT_EQ(m_queue.demand(EndpointName("engine-1"), 2_s).promisedTokens, 0U);
}

TEST_F(AdmissionQueueTest, WithdrawnRequestGetsNoDecision)
{
    EXPECT_TRUE(m_queue.arrival(requestOf(1), 0_ms).empty());
    EXPECT_TRUE(m_queue.withdraw(RequestId {1}, 0_ms));
    EXPECT_FALSE(m_queue.withdraw(RequestId {1}, 0_ms));
    EXPECT_TRUE(m_queue.tick(60_s).empty());
}

} // namespace
