#include "fescue/core/eligibility.h"

#include <array>
#include <gtest/gtest.h>

namespace {

using namespace fescue;

class EligibilityTest : public testing::Test
{
protected:
    EligibilityTest()
    {
        snapshot.zones = {{ZoneName {"z"}, "region", false}};
        Endpoint endpoint;
        endpoint.name = name;
        endpoint.zone = ZoneName {"z"};
        endpoint.vm = vm;
        snapshot.endpoints = {endpoint};
    }

    [[nodiscard]] Eligibility judge(FreshnessVerdict freshness = FreshnessVerdict::Fresh) const
    {
        return judgeEndpoint(name, snapshot, vms, freshness);
    }

    void list(std::uint64_t revision, bool leaving)
    {
        vms.apply(0_ms, revision, std::array {VmListItem {vm, ZoneName {"z"}, leaving}});
    }

    const EndpointName name {"e"};
    const VmName vm {"vm"};
    Snapshot snapshot;
    VmList vms;
};

TEST_F(EligibilityTest, EachReasonIsNamed)
{
    EXPECT_EQ(judge(), Eligibility::Eligible);
    EXPECT_EQ(judge(FreshnessVerdict::Outage), Eligibility::Eligible);
    EXPECT_EQ(judge(FreshnessVerdict::Isolated), Eligibility::ViewOutdated);
    snapshot.vmsOut = {{vm}};
    EXPECT_EQ(judge(), Eligibility::VmOut);
    snapshot.zones[0].out = true;
    EXPECT_EQ(judge(), Eligibility::ZoneOut);
    snapshot.endpoints.clear();
    EXPECT_EQ(judge(), Eligibility::NotConfigured);
}

TEST_F(EligibilityTest, OlderListDoesNotBringALeavingVmBack)
{
    list(4, false);
    EXPECT_EQ(judge(), Eligibility::Eligible);
    list(5, true);
    EXPECT_EQ(judge(), Eligibility::VmLeaving);
    list(4, false);
    EXPECT_EQ(judge(), Eligibility::VmLeaving);
    vms.apply(0_ms, 6, {});
    EXPECT_EQ(judge(), Eligibility::VmRemoved);
    list(7, false);
    EXPECT_EQ(judge(), Eligibility::Eligible);
}

} // namespace
