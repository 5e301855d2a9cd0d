#include "fescue/serving/placement.h"
#include "tests/serving/settledshares.h"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("engines");

class Placement : public testing::Test
{
protected:
    void add(const char *name, const char *zone = "north", Millis cold = 0_ms)
    {
        EndpointRecord record;
        record.name = EndpointName(name);
        record.service = service;
        record.zone = ZoneName(zone);
        record.slots = 6;
        record.coldRemaining = cold;
        table.listed(now, record);
    }

    [[nodiscard]] PlacementView view() const
    {
        return {ledger, health, limiter, shares, 50, ZoneName("north"), now};
    }

    [[nodiscard]] std::string plain(double uniform, const PlacementDemand &demand = {}) const
    {
        const EndpointView *chosen = choosePlain(table.usable(service), view(), demand, uniform);
        return chosen == nullptr ? "none" : chosen->record.name.text();
    }

    [[nodiscard]] std::string engine(double uniform, std::uint64_t memory,
                                     std::uint64_t prefill) const
    {
        EngineModel model;
        model.slots = 64;
        model.memoryTokens = 34'631;
        const EndpointView *chosen = chooseEngine(table.usable(service), model, view(),
                                                  {memory, prefill, false, {}}, uniform);
        return chosen == nullptr ? "none" : chosen->record.name.text();
    }

    Millis now = 10_s;
    EndpointTable table;
    LoadLedger ledger;
    EndpointHealth health;
    ColdRateLimiter limiter;
    ColdShares shares = test::settledShares(9);
};

TEST_F(Placement, PlainRequestsStayInTheZoneUntilItsEndpointsAreBusier)
{
    add("near", "north");
    add("far", "south");
    EXPECT_EQ(plain(0.1), "near");
    ledger.add(EndpointName("near"), {6, 0, 0});
    EXPECT_EQ(plain(0.1), "far");
}

TEST_F(Placement, ExcludedEndpointsAreNotChosen)
{
    add("a");
    EXPECT_EQ(plain(0.5, {0, 0, false, {EndpointName("a")}}), "none");
}

// Guards against endpoints that pass their health check but fail part of their requests.
TEST_F(Placement, EndpointThatFailsManyRequestsIsTheLastChoice)
{
    add("grey", "north");
    add("sound", "south");
    for (int n = 0; n < 12; ++n)
        health.record(now, EndpointName("grey"), n % 2 == 0);
    EXPECT_EQ(plain(0.3), "sound");
    EXPECT_EQ(plain(0.3, {0, 0, false, {EndpointName("sound")}}), "grey");
    // Suspect endpoints are tried again after a while.
    now += 5_s;
    int chosen = 0;
    for (int n = 0; n < 100; ++n)
        chosen += plain(n / 100.0) == "grey" ? 1 : 0;
    EXPECT_GT(chosen, 50);
}

TEST_F(Placement, GenerationsAvoidEnginesBusyWithPrefill)
{
    add("reading");
    add("free");
    ledger.add(EndpointName("reading"), {1, 3'000, 3'000});
    EXPECT_EQ(engine(0.2, 4'000, 3'000), "free");
}

// Guards against stalls of running generations: prefill of a long prompt delays the tokens of every
// generation on the same engine, even if the prompt's own answer is short.
TEST_F(Placement, LongPromptsAvoidRunningGenerations)
{
    add("generating");
    add("reading");
    ledger.add(EndpointName("generating"), {3, 12'000, 0});
    ledger.add(EndpointName("reading"), {1, 1'000, 1'000});
    EXPECT_EQ(engine(0.2, 2'600, 2'500), "reading");
    // A short prompt delays others little, and starts sooner if no other prompt is being processed.
    EXPECT_EQ(engine(0.2, 100, 64), "generating");
}

TEST_F(Placement, GenerationsGoWhereTheirMemoryFits)
{
    add("full");
    add("roomy", "south");
    ledger.add(EndpointName("full"), {7, 30'000, 0});
    EXPECT_EQ(engine(0.2, 4'000, 3'000), "roomy");
    ledger.add(EndpointName("roomy"), {7, 30'000, 0});
    EXPECT_EQ(engine(0.2, 4'000, 3'000), "none");
}

TEST_F(Placement, DescribesWhyNoEngineIsFound)
{
    add("full");
    add("tried");
    add("cold", "north", 1_s);
    ledger.add(EndpointName("full"), {7, 34'000, 0});
    while (
        limiter.tryTake(now, EndpointName("cold"), shares.share(now, EndpointName("cold"), 50))) { }
    EngineModel model;
    model.slots = 64;
    model.memoryTokens = 34'631;
    EXPECT_EQ(describeShortage(table.usable(service), model, view(),
                               {4'000, 3'000, false, {EndpointName("tried")}}),
              "usable=3 cold=1 full=1 excluded=1");
}

// A large system in which loads are reported within a zone only.
TEST_F(Placement, ZonesWithUnknownLoadAreUsedOnlyWhenTheLocalOneIsFull)
{
    add("near");
    add("far", "south");
    ledger.add(EndpointName("near"), {4, 12'000, 4'000});
    PlacementView large = view();
    large.isLarge = true;
    EngineModel model;
    model.slots = 24;
    model.memoryTokens = 27'000;
    const std::vector<const EndpointView *> candidates = table.usable(service);
    const PlacementDemand demand {4'000, 3'000, false, {}};
    EXPECT_EQ(chooseEngine(candidates, model, view(), demand, 0.2)->record.name,
              EndpointName("far"));
    EXPECT_EQ(chooseEngine(candidates, model, large, demand, 0.2)->record.name,
              EndpointName("near"));
    ledger.add(EndpointName("near"), {3, 11'000, 0});
    EXPECT_EQ(chooseEngine(candidates, model, large, demand, 0.2)->record.name,
              EndpointName("far"));
}

// Guards against placement on an engine with little free memory: if the length forecast is too low,
// the request waits there for seconds, longer than in a queue of prompts elsewhere.
TEST_F(Placement, ScarceMemoryIsWorseThanAShortQueue)
{
    add("scarce");
    add("reading");
    ledger.add(EndpointName("scarce"), {5, 26'000, 0});
    ledger.add(EndpointName("reading"), {2, 8'000, 3'000});
    EXPECT_EQ(engine(0.2, 4'000, 3'000), "reading");
}

// A burst of long generations fills every engine; short ones of the most urgent priority must still
// be placed.
TEST_F(Placement, MostUrgentPriorityFindsRoomWhenOthersAreRefused)
{
    add("busy");
    ledger.add(EndpointName("busy"), {8, 30'000, 0});
    EngineModel model;
    model.slots = 64;
    model.memoryTokens = 34'631;
    const std::vector<const EndpointView *> candidates = table.usable(service);
    EXPECT_EQ(chooseEngine(candidates, model, view(), {2'500, 2'200, false, {}}, 0.2), nullptr);
    EXPECT_NE(chooseEngine(candidates, model, view(), {2'500, 2'200, true, {}}, 0.2), nullptr);
}

// Guards against processes that choose the same endpoint because they have not yet received each
// other's loads.
TEST_F(Placement, ProcessesWithTheSameViewSpreadTheirChoices)
{
    for (const char *name : {"a", "b", "c", "d"})
        add(name);
    std::map<std::string, int> chosen;
    for (int n = 0; n < 400; ++n)
        ++chosen[engine(n / 400.0, 4'000, 3'000)];
    EXPECT_EQ(chosen.size(), 4U);
}

TEST_F(Placement, ColdEndpointsGetNoMoreThanTheirShare)
{
    add("cold", "north", 1_s);
    EXPECT_EQ(plain(0.1), "cold");
    while (
        limiter.tryTake(now, EndpointName("cold"), shares.share(now, EndpointName("cold"), 50))) { }
    EXPECT_EQ(plain(0.1), "none");
}

TEST(LoadLedger, PeerLoadsExpire)
{
    LoadLedger ledger;
    const EndpointName endpoint("e");
    ledger.add(endpoint, {1, 100, 50});
    ledger.peerReported(1_s, MemberName("p"), {{endpoint, {2, 200, 0}}});
    EXPECT_EQ(ledger.total(1_s, endpoint), (EndpointLoad {3, 300, 50}));
    EXPECT_EQ(ledger.total(3_s, endpoint), (EndpointLoad {1, 100, 50}));
    ledger.subtract(endpoint, {1, 100, 50});
    EXPECT_TRUE(ledger.own().empty());
}

// A large system in which the callers of one zone exceed the capacity of its engines; other zones
// have room, and their sums are known.
TEST_F(Placement, LargeSystemSpreadsOverZonesWhoseLoadsAreKnown)
{
    add("near", "north");
    add("far", "south");
    add("farther", "west");
    PlacementView large = view();
    large.isLarge = true;
    ledger.add(EndpointName("near"), {5, 22'500, 0});
    const EndpointLoadEntry busy {EndpointName("far"), {6, 26'000, 0}};
    const EndpointLoadEntry idle {EndpointName("farther"), {1, 3'000, 0}};
    EngineModel model;
    model.slots = 24;
    model.memoryTokens = 34'452;
    const auto choose = [&](double uniform) {
        return chooseEngine(table.usable(service), model, large, {4'000, 3'000, false, {}}, uniform)
            ->record.name.text();
    };
    for (const double uniform : {0.1, 0.5, 0.9})
        EXPECT_EQ(choose(uniform), "near");
    ledger.zoneReported(now, ZoneName("south"), 500_ms, {&busy, 1});
    ledger.zoneReported(now, ZoneName("west"), 500_ms, {&idle, 1});
    for (const double uniform : {0.1, 0.5, 0.9})
        EXPECT_EQ(choose(uniform), "farther");
    large.now = now + LoadLedger::zoneLifetime;
    for (const double uniform : {0.1, 0.5, 0.9})
        EXPECT_EQ(choose(uniform), "near");
}

} // namespace
