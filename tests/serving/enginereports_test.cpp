#include "fescue/serving/enginereports.h"

#include "fescue/serving/moveplan.h"
#include "fescue/serving/placement.h"
#include "fescue/serving/storefeed.h"

#include <gtest/gtest.h>
#include <set>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName engine("engine");

MemberView member(const std::string &name)
{
    MemberView view;
    view.info.name = MemberName(name);
    view.state = MemberState::Live;
    return view;
}

TEST(EngineReports, LoadHoldsWhatWaitsAsWell)
{
    EngineReport report;
    report.memoryUsedTokens = 9'000;
    report.running = 3;
    report.waiting = 2;
    EXPECT_EQ(toLoad(report), (EndpointLoad {5, 9'000, 5'000}));
}

TEST(EngineReports, AreEncodedInDatagramsThatFit)
{
    std::vector<EndpointLoadOf> loads;
    for (std::uint32_t i = 0; i < 610; ++i)
        loads.push_back({EndpointName("engine-" + std::to_string(i)), {i, i * 1000, 5}});
    std::vector<EndpointLoadOf> read;
    for (const std::string &datagram : encodeReports(loads)) {
        EXPECT_LE(datagram.size(), maxReportBytes);
        const Result<std::vector<EndpointLoadOf>> part = decodeReports(datagram);
        ASSERT_TRUE(part);
        read.insert(read.end(), part->begin(), part->end());
    }
    EXPECT_EQ(read, loads);
    EXPECT_TRUE(encodeReports({}).empty());
}

TEST(EngineReports, MalformedBytesAreRefused)
{
    for (const std::string_view bytes : {"", "x", "\x81\x01", "\x81\x82\x61\x61\x01"}) {
        const Result<std::vector<EndpointLoadOf>> loads = decodeReports(bytes);
        ASSERT_FALSE(loads);
        EXPECT_EQ(loads.error().code, ResultCode::MessageMalformed);
    }
}

TEST(EngineReports, OneWatcherAsksEachEngine)
{
    std::vector<MemberView> members;
    for (int i = 0; i < 9; ++i)
        members.push_back(member("entry-" + std::to_string(i)));
    std::set<std::string> asking;
    for (int i = 0; i < 30; ++i) {
        const EndpointName name("engine-" + std::to_string(i));
        int n = 0;
        for (const MemberView &view : members) {
            if (!mustAsk(name, view.info.name, members))
                continue;
            ++n;
            asking.insert(view.info.name.text());
            EXPECT_TRUE(FeedPolicy::isWatcher(view.info.name, members));
        }
        EXPECT_EQ(n, 1);
    }
    EXPECT_EQ(asking.size(), FeedPolicy::watchers);
}

// Pattern: an engine holds copies, or work of a process that has died, that nobody tells of.
TEST(EngineReports, WhatNobodyToldOfCountsBesideWhatIsKnown)
{
    LoadLedger ledger;
    ledger.add(engine, {2, 8'000, 3'000});
    for (std::size_t i = 0; i < LoadLedger::reportsToTrust; ++i) {
        EXPECT_EQ(ledger.total(10_s, engine), (EndpointLoad {2, 8'000, 3'000}));
        ledger.endpointTold(10_s, engine, {1, 12'000, 0});
    }
    EXPECT_EQ(ledger.total(10_s, engine), (EndpointLoad {2, 12'000, 3'000}));
    // Work that is sent after the report comes on top, or all processes would choose this engine
    // until its next report.
    ledger.add(engine, {1, 4'000, 0});
    EXPECT_EQ(ledger.total(10_s, engine), (EndpointLoad {3, 16'000, 3'000}));
    ledger.subtract(engine, {1, 4'000, 0});
    EXPECT_TRUE(ledger.isReported(10_s + LoadLedger::reportLifetime, engine));
    const Millis later = 10_s + LoadLedger::reportLifetime + 1_ms;
    EXPECT_EQ(ledger.total(later, engine), (EndpointLoad {2, 8'000, 3'000}));
    ledger.purge(later);
    EXPECT_FALSE(ledger.isReported(10_s, engine));
}

// Pattern: reports are older than what entries tell; a generation that has just ended shows in them
// once more, and is no reason to avoid its engine.
TEST(EngineReports, WorkThatHasJustEndedDoesNotCount)
{
    LoadLedger ledger;
    ledger.add(engine, {1, 4'000, 0});
    ledger.endpointTold(10_s, engine, {1, 4'000, 0});
    ledger.endpointTold(10_s + 500_ms, engine, {1, 4'000, 0});
    ledger.subtract(engine, {1, 4'000, 0});
    ledger.endpointTold(11_s, engine, {1, 4'000, 0});
    EXPECT_EQ(ledger.total(11_s, engine), EndpointLoad {});
}

class ReportedPlacement : public testing::Test
{
protected:
    ReportedPlacement()
    {
        model.slots = 24;
        model.memoryTokens = 27'000;
        model.bytesPerToken = 18'432;
        model.linkMegabitsPerSecond = 2'700;
        model.canMove = true;
    }

    void add(const char *name, const char *zone)
    {
        EndpointRecord record;
        record.name = EndpointName(name);
        record.service = service;
        record.zone = ZoneName(zone);
        record.slots = 24;
        table.listed(now, record);
    }

    void report(const char *name, const EndpointLoad &load)
    {
        for (std::size_t i = 0; i < LoadLedger::reportsToTrust; ++i)
            ledger.endpointTold(now, EndpointName(name), load);
    }

    // Of a hundred choices, how many fall on the endpoint.
    [[nodiscard]] int choices(const char *name) const
    {
        int n = 0;
        for (int i = 0; i < 100; ++i) {
            const EndpointView *chosen = chooseEngine(table.usable(service), model, view(),
                                                      {4'000, 3'000, false, {}}, i / 100.0);
            n += chosen != nullptr && chosen->record.name == EndpointName(name) ? 1 : 0;
        }
        return n;
    }

    [[nodiscard]] PlacementView view() const
    {
        return {ledger, health, gate, 50, 84, ZoneName("north"), now, true};
    }

    const ServiceName service {"engines"};
    Millis now = 10_s;
    EngineModel model;
    EndpointTable table;
    LoadLedger ledger;
    EndpointHealth health;
    ColdGate gate;
};

// Pattern: a large system, in which the engines of the own zone are busy and others have room.
TEST_F(ReportedPlacement, OfEnginesElsewhereUsesThoseWithRoom)
{
    add("near", "north");
    add("far", "south");
    ledger.add(EndpointName("near"), {3, 11'000, 3'000});
    EXPECT_EQ(choices("far"), 0);
    add("filled", "south");
    report("filled", {6, 25'000, 0});
    ledger.add(EndpointName("near"), {2, 5'000, 4'000});
    EXPECT_EQ(choices("filled"), 0);
    EXPECT_GT(choices("far"), 90);
}

// Pattern: an engine looks empty to its zone and is full of work from elsewhere.
TEST_F(ReportedPlacement, AvoidsEnginesThatReportNoRoom)
{
    add("filled", "north");
    add("busy", "north");
    ledger.add(EndpointName("busy"), {3, 10'000, 0});
    EXPECT_EQ(choices("filled"), 100);
    report("filled", {6, 25'000, 0});
    EXPECT_EQ(choices("busy"), 100);
}

// Pattern: a generation leaves its engine for one that has no room; each such try costs a part of
// the notice.
TEST_F(ReportedPlacement, MovesPassByEnginesThatReportNoRoom)
{
    add("source", "north");
    add("filled", "north");
    add("far", "south");
    report("filled", {6, 25'000, 0});
    table.removed(now, EndpointName("source"));
    const MovingRun run {4'000, 4'500, 800, now + 1500_ms};
    const MoveDecision decision =
        planMove(*table.find(EndpointName("source")), run, table.usable(service), model, view(), {},
                 LinkQueue(), 0.3);
    ASSERT_EQ(decision.verdict, MoveVerdict::Move);
    EXPECT_EQ(decision.destination->record.name, EndpointName("far"));
}

} // namespace
