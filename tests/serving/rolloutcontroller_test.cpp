#include "fescue/serving/rolloutcontroller.h"

#include "tests/serving/onworker.h"
#include "tests/serving/testprotocol.h"

#include <gtest/gtest.h>
#include <memory>
#include <sstream>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("llm");
constexpr Millis interval = 250_ms;
constexpr Millis orderTime = 30_s;

// Orders and states of roll-outs as words with blanks between them.
struct RolloutProtocol : test::TestProtocol
{
    static Result<RolloutOrder> decodeRolloutOrder(const ServiceName &name, std::string_view text)
    {
        RolloutOrder order;
        order.service = name;
        std::istringstream in {std::string(text)};
        in >> order.version >> order.duration.count;
        return order;
    }
    static std::string encodeRolloutStatus(const RolloutRecord &record)
    {
        std::ostringstream out;
        out << record.version << ' ' << record.duration.count << ' ' << toString(record.stage)
            << ' ' << record.change << ' ' << record.order.value << ' ' << record.order.era;
        return out.str();
    }
    static Result<RolloutRecord> decodeRolloutStatus(const ServiceName &name, std::string_view text)
    {
        RolloutRecord record;
        record.service = name;
        std::string stage;
        std::istringstream in {std::string(text)};
        in >> record.version >> record.duration.count >> stage >> record.change
            >> record.order.value >> record.order.era;
        const std::optional<RolloutStage> parsed = parseRolloutStage(stage);
        if (!parsed)
            return fail(ResultCode::StoreProtocol, "no stage");
        record.stage = *parsed;
        return record;
    }
};

// What the store does with the next writes.
enum class Script : std::uint8_t
{
    Answer,
    // Takes the write, but the answer is lost.
    LoseAnswer,
    Refuse,
    Throw,
};

// One controller with a store that follows a script. Time moves only with ticks.
class RolloutControllerTest : public testing::Test
{
protected:
    RolloutControllerTest()
        : pool(1), state(makeSettings(), pool, metrics), mover(state),
          controller(
              state, mover, selfInfo(),
              {[this](const MemberInfo &, std::string_view bytes) { sent.emplace_back(bytes); },
               [this](const std::string &, const std::string &value, net::StoreRevision expected) {
                   return write(value, expected);
               },
               [] { return false; }, [this] { return now; }})
    {
        onWorker([this] { state.storeAnsweredAt = ServingState::now() + 3600_s; });
    }

    ~RolloutControllerTest() override
    {
        pool.stop();
        pool.join();
    }

    static NodeSettings makeSettings()
    {
        NodeSettings settings;
        settings.name = MemberName("entry-0");
        settings.deploymentLimits.rollout = RolloutLimits {0.1, 50, 5_s};
        return settings;
    }

    static MemberInfo selfInfo()
    {
        MemberInfo self;
        self.name = MemberName("entry-0");
        self.incarnation = {1};
        return self;
    }

    void onWorker(const std::function<void()> &task) { test::runOnWorker(pool, task); }

    net::StoreResult<void> write(const std::string &value, net::StoreRevision expected)
    {
        ++writes;
        if (script == Script::Throw)
            throw std::runtime_error("scripted");
        if (script == Script::Refuse)
            return failed(ResultCode::StoreUnavailable);
        if (expected != revision)
            return failed(ResultCode::StoreConflict);
        put(value);
        if (script == Script::LoseAnswer)
            return failed(ResultCode::StoreTimeout);
        return {};
    }

    static tl::unexpected<net::StoreError> failed(ResultCode code)
    {
        net::StoreError error;
        error.code = code;
        return tl::unexpected(error);
    }

    // Writes the status as a collector does, or another process.
    void put(const std::string &value)
    {
        status = value;
        revision = {++lastRevision, era};
    }

    // Brings the state of the store to the controller.
    void deliver(bool fromListing = false)
    {
        controller.statusChanged(service,
                                 {"status", status, revision, status.empty(), fromListing});
    }

    void order(const std::string &text, bool fromListing = false)
    {
        controller.orderChanged(service,
                                {"order", text, {++lastRevision, era}, false, fromListing});
    }

    // Lets the controller work for a time; the store's changes arrive before each tick.
    void run(Millis span, bool delivers = true)
    {
        for (const Millis until = now + span; now < until;) {
            tick();
            net::sleepFor(1_ms);
            if (delivers && delivered != revision) {
                delivered = revision;
                deliver();
            }
        }
    }

    void tick()
    {
        now += interval;
        state.members.heartbeat(now, selfInfo());
        controller.tick();
    }

    // Reports of another process about answers of both versions.
    void reportAnswers(net::StoreRevision orderRevision, std::uint32_t newFailures)
    {
        RolloutReport report;
        report.from = MemberName("entry-1");
        report.incarnation = {1};
        report.service = service;
        report.order = orderRevision;
        report.version = "v2";
        report.duration = orderTime;
        RouteEvidence &route = report.evidence["draft"];
        route.oldVersion.successes[timeClassOf(300_ms)] = 20 * ++reports;
        route.newVersion.successes[timeClassOf(300_ms)] = 4 * reports;
        route.newVersion.failures = newFailures * reports;
        EXPECT_TRUE(controller.handleNotice(encodeRolloutNotice(report)));
    }

    [[nodiscard]] RolloutRecord stored() const
    {
        return RolloutProtocol::decodeRolloutStatus(service, status).value_or(RolloutRecord {});
    }

    Millis now {100'000};
    Script script = Script::Answer;
    std::string status;
    net::StoreRevision revision;
    net::StoreRevision delivered;
    std::uint64_t lastRevision = 0;
    std::uint64_t era = 1;
    std::uint32_t reports = 0;
    int writes = 0;
    std::vector<std::string> sent;
    observe::Metrics metrics;
    net::WorkerPool pool;
    ServingState state;
    GenerationMover<RolloutProtocol> mover;
    RolloutController<RolloutProtocol> controller;
};

TEST_F(RolloutControllerTest, FirstStateIsWrittenOnce)
{
    onWorker([this] {
        order("v2 30000");
        run(3_s);
    });
    EXPECT_EQ(writes, 1);
    EXPECT_EQ(stored().stage, RolloutStage::Canary);
    EXPECT_EQ(stored().change, 1U);
}

// The change arrives between the decision and its write.
TEST_F(RolloutControllerTest, DecisionIsNotWrittenOverAStateThatArrivedAfterIt)
{
    onWorker([this] {
        order("v2 30000");
        tick();
        ASSERT_EQ(writes, 0);
        put("v2 30000 reverted 2 1 1");
        deliver();
        run(3_s);
    });
    EXPECT_EQ(writes, 1);
    EXPECT_EQ(stored().stage, RolloutStage::Reverted);
    EXPECT_EQ(stored().change, 2U);
}

TEST_F(RolloutControllerTest, WriteWhoseAnswerIsLostIsNotRepeatedOverItself)
{
    script = Script::LoseAnswer;
    onWorker([this] {
        order("v2 30000");
        run(1_s, false);
        const int before = writes;
        EXPECT_GE(before, 1);
        run(3_s);
        EXPECT_LE(writes, before + 1);
    });
    EXPECT_EQ(stored().stage, RolloutStage::Canary);
    EXPECT_EQ(stored().change, 1U);
    EXPECT_EQ(lastRevision, 2U);
}

TEST_F(RolloutControllerTest, RefusedWritesAreRepeatedWithPausesUntilOneSucceeds)
{
    for (const Script failing : {Script::Refuse, Script::Throw}) {
        script = failing;
        writes = 0;
        onWorker([this] {
            order("v" + std::to_string(lastRevision) + " 30000");
            run(8_s);
            EXPECT_GE(writes, 3);
            EXPECT_LE(writes, 6);
            script = Script::Answer;
            run(5_s);
        });
        EXPECT_EQ(stored().stage, RolloutStage::Canary);
    }
}

TEST_F(RolloutControllerTest, StateThatTheStoreHasLostIsWrittenAgain)
{
    onWorker([this] {
        order("v2 30000");
        run(2_s);
        put("v2 30000 two-fifths 3 1 1");
        run(1_s);
        // The restored store has the state from before.
        ++era;
        put("v2 30000 canary 1 1 1");
        deliver(true);
        run(1_s);
    });
    EXPECT_EQ(stored().stage, RolloutStage::TwoFifths);
    EXPECT_EQ(stored().change, 3U);
}

TEST_F(RolloutControllerTest, DecisionThatTheStoreHasLostIsWrittenAgain)
{
    onWorker([this] {
        order("v2 30000");
        put("v2 30000 reverted 4 1 1");
        run(1_s);
        ++era;
        // Written in the new era by a process that does not know the decision.
        put("v2 30000 closing 6 1 1");
        run(1_s);
    });
    EXPECT_EQ(stored().stage, RolloutStage::Reverted);
}

TEST_F(RolloutControllerTest, StateOfALaterOrderIsNotOverwritten)
{
    onWorker([this] {
        order("v2 30000");
        put("v2 30000 reverted 4 1 1");
        run(1_s);
        writes = 0;
        put("v3 30000 canary 1 9 1");
        run(2_s);
    });
    EXPECT_EQ(writes, 0);
    EXPECT_EQ(stored().version, "v3");
}

// Guards against the loss of a later order's state, which a process hears of before that order.
TEST_F(RolloutControllerTest, FirstStateIsNotWrittenOverThatOfALaterOrder)
{
    onWorker([this] {
        put("v3 30000 canary 1 9 1");
        deliver();
        delivered = revision;
        order("v2 30000");
        run(2_s);
    });
    EXPECT_EQ(writes, 0);
    EXPECT_EQ(stored().version, "v3");
}

TEST_F(RolloutControllerTest, StateThatArrivesBeforeItsOrderIsKept)
{
    onWorker([this] {
        put("v2 30000 fifth 2 2 1");
        deliver();
        delivered = revision;
        order("v2 30000");
        run(1_s);
    });
    EXPECT_EQ(writes, 0);
    EXPECT_EQ(stored().stage, RolloutStage::Fifth);
}

// Guards against generations that end with an old version because nobody moved them: their process
// heard of the last stage before it heard of the order.
TEST_F(RolloutControllerTest, GenerationsLeaveOldVersionsAlsoIfTheStateCameBeforeItsOrder)
{
    int reportCalls = 0;
    net::HttpServer engine(pool, {"127.0.0.1", 0}, {},
                           [&](const net::HttpRequest &, net::ResponseWriter &writer) {
                               ++reportCalls;
                               static_cast<void>(writer.send({}));
                           });
    ASSERT_TRUE(engine.start());
    onWorker([&, this] {
        EndpointRecord old;
        old.name = EndpointName("old");
        old.service = service;
        old.softwareVersion = "v1";
        old.address = engine.address();
        state.endpoints.listed(ServingState::now(), old);
        const GenerationRunPtr generation = std::make_shared<GenerationRun>();
        generation->engine = old;
        generation->service = service;
        state.runs.add(generation);
        const ScopedLoad load(state.ledger, old.name, EndpointLoad {1, 0, 0});
        put("v2 30000 closing 5 2 1");
        deliver();
        delivered = revision;
        order("v2 30000");
        run(28_s);
        for (int n = 0; n < 1000 && reportCalls == 0; ++n)
            net::sleepFor(1_ms);
        state.runs.remove(generation);
    });
    EXPECT_EQ(reportCalls, 1);
}

TEST_F(RolloutControllerTest, BadVersionIsReverted)
{
    onWorker([this] {
        order("v2 30000");
        for (int i = 0; i < 12; ++i) {
            reportAnswers({1, 1}, 4);
            run(interval);
        }
    });
    EXPECT_EQ(stored().stage, RolloutStage::Reverted);
}

// The evidence against the version belongs to the earlier order.
TEST_F(RolloutControllerTest, SameVersionIsJudgedAnewAfterASecondOrder)
{
    onWorker([this] {
        order("v2 30000");
        for (int i = 0; i < 12; ++i) {
            reportAnswers({1, 1}, 4);
            run(interval);
        }
        ASSERT_EQ(stored().stage, RolloutStage::Reverted);
        order("v2 30000");
        run(2_s);
    });
    EXPECT_EQ(stored().stage, RolloutStage::Canary);
    EXPECT_FALSE(state.rollouts.find(service)->isHalted);
}

TEST_F(RolloutControllerTest, PermitsGoOnForSomeTimeAfterTheCompletion)
{
    const auto permits = [this] {
        std::size_t n = 0;
        for (const std::string &bytes : sent) {
            const Result<RolloutNotice> notice = decodeRolloutNotice(bytes);
            const RolloutPermit *permit = notice ? std::get_if<RolloutPermit>(&*notice) : nullptr;
            n += permit != nullptr && !permit->isHalted ? 1 : 0;
        }
        return n;
    };
    onWorker([&] {
        order("v2 30000");
        put("v2 30000 completed 6 1 1");
        run(1_s);
        sent.clear();
        run(2_s);
        EXPECT_GE(permits(), 6U);
        run(5_s);
        sent.clear();
        run(2_s);
        EXPECT_EQ(permits(), 0U);
    });
}

} // namespace
