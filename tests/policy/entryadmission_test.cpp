#include "fescue/policy.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

Service serviceOf(const char *name, Profile profile)
{
    Service service;
    service.name = ServiceName(name);
    service.profile = profile;
    return service;
}

Request requestOf(std::uint64_t id, const char *service)
{
    Request request;
    request.id = RequestId {id};
    request.account = AccountName("diner");
    request.service = ServiceName(service);
    request.promptTokens = 10;
    request.maxTokens = 100;
    return request;
}

CreditGrant grantOf(const char *endpoint)
{
    CreditGrant grant;
    grant.endpoint = EndpointName(endpoint);
    grant.member = MemberName("entry-1");
    grant.authority = FencingNumber {1};
    grant.serial = 1;
    grant.slots = 1;
    grant.memoryTokens = 100000;
    grant.term = 10_s;
    return grant;
}

class EntryAdmissionTest : public testing::Test
{
protected:
    EntryAdmissionTest()
    {
        const std::vector<Service> services = {serviceOf("drafts", Profile::Finish),
                                               serviceOf("quotes", Profile::Latency)};
        const std::vector<ServiceEndpoint> endpoints = {
            {ServiceName("drafts"), {EndpointName("engine-1"), true}},
            {ServiceName("quotes"), {EndpointName("engine-2"), true}}};
        EXPECT_TRUE(m_admission.applyServices(services, {}, 0_ms).empty());
        EXPECT_TRUE(m_admission.setEligible(endpoints, 0_ms).empty());
    }

    EntryAdmission m_admission {MemberName("entry-1")};
};

TEST_F(EntryAdmissionTest, StartsOnlyOnEndpointsOfTheService)
{
    EXPECT_TRUE(m_admission.arrival(requestOf(1, "drafts"), 0_ms).empty());
    EXPECT_TRUE(m_admission.grantReceived(grantOf("engine-2"), 0_ms).empty());
    const std::vector<Decision> decisions = m_admission.grantReceived(grantOf("engine-1"), 0_ms);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Start>(decisions[0]).endpoint, EndpointName("engine-1"));
    EXPECT_EQ(m_admission.running(), 1U);
    static_cast<void>(m_admission.ended(RequestId {1}, EndKind::Completed, 1_s));
    EXPECT_EQ(m_admission.running(), 0U);
}

TEST_F(EntryAdmissionTest, RefusesUnknownService)
{
    const std::vector<Decision> decisions = m_admission.arrival(requestOf(1, "other"), 0_ms);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Refuse>(decisions[0]).code, ResultCode::UnknownService);
}

TEST_F(EntryAdmissionTest, LatencyProfileRefusesSooner)
{
    EXPECT_TRUE(m_admission.arrival(requestOf(1, "drafts"), 0_ms).empty());
    EXPECT_TRUE(m_admission.arrival(requestOf(2, "quotes"), 0_ms).empty());
    const std::vector<Decision> decisions = m_admission.tick(5_s);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Refuse>(decisions[0]).id, RequestId {2});
}

TEST_F(EntryAdmissionTest, RemovedServiceRefusesWhatIsQueuedAndKeepsWhatRuns)
{
    EXPECT_EQ(m_admission.grantReceived(grantOf("engine-1"), 0_ms).size(), 0U);
    EXPECT_EQ(m_admission.arrival(requestOf(1, "drafts"), 0_ms).size(), 1U);
    EXPECT_TRUE(m_admission.arrival(requestOf(2, "drafts"), 0_ms).empty());
    const std::vector<Service> services = {serviceOf("quotes", Profile::Latency)};
    const std::vector<Decision> decisions = m_admission.applyServices(services, {}, 1_s);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(std::get<Refuse>(decisions[0]).id, RequestId {2});
    EXPECT_EQ(m_admission.running(), 1U);
    static_cast<void>(m_admission.ended(RequestId {1}, EndKind::Completed, 2_s));
    EXPECT_EQ(m_admission.running(), 0U);
}

TEST_F(EntryAdmissionTest, DemandsCoverAllEndpoints)
{
    EXPECT_EQ(m_admission.demands(0_ms).size(), 2U);
}

} // namespace
