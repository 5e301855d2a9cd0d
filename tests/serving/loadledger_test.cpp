#include "fescue/serving/loadledger.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName first("e1");
const EndpointName second("e2");

TEST(LoadLedger, TotalsCountOwnWorkPeersAndOtherZones)
{
    LoadLedger ledger;
    ledger.add(first, {1, 100, 10});
    ledger.peerReported(1_s, MemberName("peer"), {{first, {2, 200, 20}}});
    const EndpointLoadEntry south {first, {4, 400, 40}};
    ledger.zoneReported(1_s, ZoneName("south"), 0_ms, {&south, 1});
    EXPECT_EQ(ledger.total(1_s, first), (EndpointLoad {7, 700, 70}));
    // Reports of peers and zones expire.
    EXPECT_EQ(ledger.total(Millis {2'600}, first), (EndpointLoad {5, 500, 50}));
    EXPECT_EQ(ledger.total(Millis {4'100}, first), (EndpointLoad {1, 100, 10}));
}

TEST(LoadLedger, SumForOtherZonesExcludesTheirLoads)
{
    LoadLedger ledger;
    ledger.add(first, {1, 100, 0});
    ledger.peerReported(1_s, MemberName("peer"), {{first, {2, 200, 0}}, {second, {1, 50, 0}}});
    const EndpointLoadEntry south {first, {4, 400, 0}};
    ledger.zoneReported(1_s, ZoneName("south"), 0_ms, {&south, 1});
    const std::vector<EndpointLoadEntry> expected {{first, {3, 300, 0}}, {second, {1, 50, 0}}};
    EXPECT_EQ(ledger.sum(1_s), expected);
}

TEST(LoadLedger, OlderFiguresOfAZoneDoNotReplaceNewerOnes)
{
    LoadLedger ledger;
    const EndpointLoadEntry newer {first, {4, 400, 0}};
    const EndpointLoadEntry older {first, {9, 900, 0}};
    ledger.zoneReported(2_s, ZoneName("south"), 100_ms, {&newer, 1});
    ledger.zoneReported(2_s, ZoneName("south"), 700_ms, {&older, 1});
    EXPECT_EQ(ledger.total(2_s, first).requests, 4U);
    const std::vector<ZoneLoads> zones = ledger.zones(Millis {2'300});
    ASSERT_EQ(zones.size(), 1U);
    EXPECT_EQ(zones.front().age, 400_ms);
}

// Answers bursts in which several zones send prompts to the same engine within the interval of
// their sums.
TEST(LoadLedger, ChangesAtOtherZonesCountUntilTheNextSum)
{
    LoadLedger ledger;
    const ZoneName south("south");
    const EndpointLoadEntry sum {first, {1, 100, 40}};
    ledger.zoneReported(1_s, south, 0_ms, {&sum, 1});
    ledger.zoneChanged(1'100_ms, {MemberName("p"), south, first, true, {1, 300, 250}});
    EXPECT_EQ(ledger.total(1'100_ms, first), (EndpointLoad {2, 400, 290}));
    ledger.zoneChanged(1'300_ms, {MemberName("p"), south, first, false, {0, 0, 250}});
    EXPECT_EQ(ledger.total(1'300_ms, first), (EndpointLoad {2, 400, 40}));
    // This sum was measured between the two changes.
    const EndpointLoadEntry next {first, {2, 400, 290}};
    ledger.zoneReported(1'400_ms, south, 200_ms, {&next, 1});
    EXPECT_EQ(ledger.total(1'400_ms, first), (EndpointLoad {2, 400, 40}));
    // A zone that is cut off counts no longer than its last sum.
    EXPECT_EQ(ledger.total(1'400_ms + LoadLedger::zoneLifetime, first), EndpointLoad {});
}

// Answers many short generations: those that have ended must not fill an engine until the next sum.
TEST(LoadLedger, EndedGenerationsOfOtherZonesNoLongerCount)
{
    LoadLedger ledger;
    const ZoneName south("south");
    for (int n = 0; n < 20; ++n) {
        ledger.zoneChanged(1_s, {MemberName("p"), south, first, true, {1, 2'000, 1'900}});
        ledger.zoneChanged(1_s, {MemberName("p"), south, first, false, {0, 0, 1'900}});
        ledger.zoneChanged(1_s, {MemberName("p"), south, first, false, {1, 2'000, 0}});
    }
    EXPECT_EQ(ledger.total(1_s, first), EndpointLoad {});
}

TEST(LoadLedger, ProcessedPromptsOfPeersNoLongerCount)
{
    LoadLedger ledger;
    const MemberName peer("peer");
    ledger.peerReported(1_s, peer, {{first, {2, 200, 150}}});
    ledger.peerRemoved(peer, first, {0, 0, 100});
    ledger.peerRemoved(MemberName("unknown"), first, {0, 0, 100});
    EXPECT_EQ(ledger.total(1_s, first), (EndpointLoad {2, 200, 50}));
    ledger.peerRemoved(peer, first, {0, 0, 100});
    EXPECT_EQ(ledger.total(1_s, first), (EndpointLoad {2, 200, 0}));
}

TEST(LoadLedger, ZoneWithoutLoadIsKnown)
{
    LoadLedger ledger;
    EXPECT_FALSE(ledger.hasRecentZoneReport(1_s, ZoneName("south")));
    ledger.zoneReported(1_s, ZoneName("south"), 0_ms, {});
    EXPECT_TRUE(ledger.hasRecentZoneReport(1_s, ZoneName("south")));
    EXPECT_FALSE(
        ledger.hasRecentZoneReport(1_s + LoadLedger::zoneLifetime + 1_ms, ZoneName("south")));
}

TEST(LoadLedger, CountsProcessesWithRequests)
{
    LoadLedger ledger;
    ledger.add(first, {1, 100, 0});
    ledger.peerReported(1_s, MemberName("p1"), {{first, {2, 200, 0}}});
    ledger.peerReported(1_s, MemberName("p2"), {{first, {0, 500, 0}}});
    EXPECT_EQ(ledger.requestingProcesses(1_s, first), 2U);
    EXPECT_EQ(ledger.requestingProcesses(1_s, second), 0U);
}

// Guards against loads that never expire: two relays of a zone forward the sums of another zone,
// also to each other, after the requests there have ended.
TEST(LoadLedger, RelaysDoNotRepeatEndedLoads)
{
    const ZoneName south("south");
    LoadLedger a;
    LoadLedger b;
    const EndpointLoadEntry busy {first, {4, 400, 0}};
    const EndpointLoadEntry other {second, {1, 100, 0}};
    const std::vector<EndpointLoadEntry> both {busy, other};
    a.zoneReported(1_s, south, 0_ms, both);
    b.zoneReported(1_s, south, 0_ms, both);
    for (Millis now {1'700}; now < 9_s; now += 700_ms) {
        for (LoadLedger *ledger : {&a, &b})
            ledger->zoneReported(now, south, 1_ms, {&other, 1});
        const Millis passedOn = now + 350_ms;
        for (const ZoneLoads &zone : a.zones(passedOn))
            b.zoneReported(passedOn, zone.zone, zone.age, zone.loads);
        for (const ZoneLoads &zone : b.zones(passedOn))
            a.zoneReported(passedOn, zone.zone, zone.age, zone.loads);
        EXPECT_EQ(a.total(passedOn, first).requests, 0U) << passedOn.count;
        EXPECT_EQ(b.total(passedOn, second).requests, 1U) << passedOn.count;
    }
}

// Guards against lost parts of a zone's sum: a sum that exceeds one datagram arrives in several.
TEST(LoadLedger, PartsOfOneSumAreMerged)
{
    LoadLedger ledger;
    const EndpointLoadEntry one {first, {4, 400, 0}};
    const EndpointLoadEntry two {second, {1, 100, 0}};
    ledger.zoneReported(1_s, ZoneName("south"), 0_ms, {&one, 1});
    ledger.zoneReported(Millis {1'003}, ZoneName("south"), 1_ms, {&two, 1});
    EXPECT_EQ(ledger.total(2_s, first).requests, 4U);
    EXPECT_EQ(ledger.total(2_s, second).requests, 1U);
    ASSERT_EQ(ledger.zones(2_s).size(), 1U);
    EXPECT_EQ(ledger.zones(2_s).front().loads.size(), 2U);
}

// Answers datagrams with forged names: what a process keeps of them is bounded, and the loads of
// names that it knows already are still recorded.
TEST(LoadLedger, ForgedNamesInChangesAreBounded)
{
    LoadLedger ledger;
    const ZoneName south("south");
    EXPECT_TRUE(ledger.zoneChanged(1_s, {MemberName("p"), south, first, true, {1, 300, 250}}));
    std::size_t zones = 1;
    for (std::size_t n = 0; n < 2 * LoadLedger::maxZones; ++n) {
        const ZoneName forged("z" + std::to_string(n));
        zones += ledger.zoneChanged(1_s, {MemberName("p"), forged, first, true, {}}) ? 1 : 0;
    }
    EXPECT_EQ(zones, LoadLedger::maxZones);
    EXPECT_TRUE(ledger.zoneChanged(1_s, {MemberName("p"), south, first, true, {1, 300, 250}}));
    std::size_t changes = zones + 1;
    for (std::size_t n = 0; n < 2 * LoadLedger::maxChanges; ++n) {
        const EndpointName forged("e" + std::to_string(n));
        changes += ledger.zoneChanged(1_s, {MemberName("p"), south, forged, true, {}}) ? 1 : 0;
    }
    EXPECT_EQ(changes, LoadLedger::maxChanges);
    EXPECT_EQ(ledger.total(1_s, first), (EndpointLoad {2, 600, 500}));
    // A sum replaces its zone's changes, and the others expire.
    const EndpointLoadEntry sum {first, {1, 100, 40}};
    EXPECT_TRUE(ledger.zoneReported(1'200_ms, south, 0_ms, {&sum, 1}));
    EXPECT_TRUE(ledger.zoneChanged(1'300_ms, {MemberName("p"), south, first, true, {1, 300, 250}}));
    const Millis later = 1'300_ms + LoadLedger::zoneLifetime * 2;
    EXPECT_TRUE(ledger.zoneChanged(later, {MemberName("p"), ZoneName("west"), first, true, {}}));
}

TEST(LoadLedger, ForgedNamesInSumsAreBounded)
{
    LoadLedger ledger;
    const ZoneName south("south");
    const EndpointLoadEntry busy {first, {4, 400, 0}};
    EXPECT_TRUE(ledger.zoneReported(1_s, south, 0_ms, {&busy, 1}));
    for (std::size_t n = 0; n < 2 * LoadLedger::maxZones; ++n)
        ledger.zoneReported(1_s, ZoneName("z" + std::to_string(n)), 0_ms, {});
    EXPECT_EQ(ledger.zones(1_s).size(), LoadLedger::maxZones);
    std::vector<EndpointLoadEntry> forged;
    for (std::size_t n = 0; n < 2 * LoadLedger::maxZoneLoads; ++n)
        forged.push_back({EndpointName("e" + std::to_string(n)), {1, 1, 1}});
    EXPECT_FALSE(ledger.zoneReported(1_s, south, 0_ms, forged));
    std::size_t loads = 0;
    for (const ZoneLoads &zone : ledger.zones(1_s))
        loads += zone.loads.size();
    EXPECT_EQ(loads, LoadLedger::maxZoneLoads);
    const EndpointLoadEntry idle {first, {1, 100, 0}};
    EXPECT_TRUE(ledger.zoneReported(1_s, south, 0_ms, {&idle, 1}));
    EXPECT_EQ(ledger.total(1_s, first).requests, 1U);
    // Sums that nobody repeats expire with their names.
    const Millis later = 1_s + LoadLedger::zoneLifetime * 2;
    EXPECT_TRUE(ledger.zoneReported(later, ZoneName("west"), 0_ms, {&idle, 1}));
}

} // namespace
