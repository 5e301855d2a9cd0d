// Fault matrix of one streamed generation: P1 (tokens once, in order, from one generation), P4 (the
// whole answer of the caller's own request) and P5 ("not run" is true). The oracle is checked after
// every event.

#include "fakes.h"
#include "fescue/core/generation.h"

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <span>
#include <utility>

namespace {

using namespace fescue;
using fakes::FakeEngine;
using fakes::FakeStream;

constexpr std::uint32_t ownRequest = 1;
constexpr std::uint32_t otherRequest = 2;
constexpr std::uint64_t answerLength = 4;
constexpr std::size_t silentSteps = 4;
constexpr Millis stepTime = 10_ms;
constexpr Millis requestTime = 60_s;

enum class Fault : std::uint8_t
{
    EngineKilled,
    EngineForgetsStream,
    EngineRefuses,
    LinkCut,
    LinkSilent,
    LinkStalled,
    ConnectFails,
    TokenSkipped,
    TokenRepeated,
    EntryKilled,
    DeadlinePasses,
    Count,
};

constexpr std::size_t faultCount = static_cast<std::size_t>(Fault::Count);

// Steps: dispatch, connect, head, each token, end mark, and one more for a repeated end.
constexpr std::size_t stepCount = 4 + answerLength + 1;

struct FaultAt
{
    Fault fault = Fault::EngineKilled;
    std::size_t step = 0;
};

struct SeenToken
{
    std::uint32_t request = 0;
    std::uint32_t serial = 0;
    std::uint64_t index = 0;
};

// One exchange between the entry and an engine.
struct Exchange
{
    enum class Phase : std::uint8_t
    {
        Connecting,
        AwaitingHead,
        Streaming,
        Closed,
    };

    ExchangeNumber number;
    std::size_t engine = 0;
    // Empty for a new request, the stream number for a resume.
    std::optional<std::string> resumes;
    Phase phase = Phase::Connecting;
    bool refused = false;
    // Names the stream of a new request.
    GenerationId started = {};
    FakeStream stream = {};
    std::uint64_t next = 0;
    // Steps for which a link that was given up on holds back what it carries.
    std::size_t heldFor = 0;
};

// One caller, the entries that it uses one after the other, and two engines.
class TokenWorld
{
public:
    TokenWorld()
    {
        for (std::size_t n = 0; n < m_engines.size(); ++n)
            m_engines[n].name = EndpointName {"engine-" + std::to_string(n)};
        m_machine = std::make_unique<GenerationMachine>(deadline());
    }

    // Returns the first thing that went against the points, or nothing.
    std::string run(std::span<const FaultAt> faults)
    {
        constexpr std::size_t maxSteps = 200;
        for (std::size_t step = 0; step < maxSteps && !ended(); ++step) {
            for (const FaultAt &fault : faults) {
                if (fault.step == step)
                    inject(fault.fault);
            }
            pump();
            m_now += stepTime;
        }
        require(ended(), "the request never ended");
        return m_violation;
    }

    [[nodiscard]] bool finished() const { return m_finished; }
    [[nodiscard]] const std::optional<generation::FailFinal> &failure() const { return m_failure; }
    [[nodiscard]] std::size_t received() const { return m_tokens.size(); }

private:
    void require(bool holds, const char *what)
    {
        if (!holds && m_violation.empty())
            m_violation = what;
    }

    [[nodiscard]] bool ended() const { return m_finished || m_failure; }
    [[nodiscard]] Deadline deadline() const { return Deadline::after(m_now, requestTime); }

    void inject(Fault fault)
    {
        switch (fault) {
        case Fault::EngineKilled:
            for (FakeEngine &engine : m_engines)
                engine.restart(otherRequest, ++m_serial);
            lose(EngineLoss::MidStream);
            break;
        case Fault::EngineForgetsStream:
            for (FakeEngine &engine : m_engines)
                engine.streams.clear();
            lose(EngineLoss::MidStream);
            break;
        case Fault::EngineRefuses:
            m_refuseNext = true;
            break;
        case Fault::LinkCut:
            lose(EngineLoss::MidStream);
            break;
        case Fault::LinkSilent:
            // What is under way on the silent link arrives after the new exchange has begun.
            m_stale.push_back(m_exchange);
            m_stale.back().heldFor = silentSteps;
            lose(EngineLoss::Silent);
            break;
        case Fault::LinkStalled:
            m_stale.push_back(m_exchange);
            break;
        case Fault::ConnectFails:
            m_connectFails = true;
            break;
        case Fault::TokenSkipped:
            // The end mark has no index, so a gap shows only at a token that follows it.
            if (m_exchange.next + 1 < answerLength)
                ++m_exchange.next;
            break;
        case Fault::TokenRepeated:
            m_exchange.next -= std::min<std::uint64_t>(m_exchange.next, 2);
            break;
        case Fault::EntryKilled:
            moveToOtherEntry();
            break;
        case Fault::DeadlinePasses:
            m_now += requestTime;
            apply(m_machine->onTick(m_now));
            break;
        case Fault::Count:
            break;
        }
    }

    // The caller connects to another entry, with the id of its last event if it has one.
    void moveToOtherEntry()
    {
        m_exchange.phase = Exchange::Phase::Closed;
        m_stale.clear();
        m_needsDispatch = false;
        if (m_tokens.empty()) {
            m_machine = std::make_unique<GenerationMachine>(deadline());
            m_needsDispatch = true;
            m_starts = 0;
            return;
        }
        EventId last;
        last.endpoint = m_lastGeneration.endpoint;
        last.incarnation = m_lastGeneration.incarnation;
        last.stream = m_lastGeneration.stream;
        last.mac = "00";
        last.index = m_tokens.back().index;
        const Result<EventId> parsed = EventId::parse(last.toString());
        require(parsed.has_value(), "the event id cannot be read back");
        m_machine = std::make_unique<GenerationMachine>(*parsed, deadline());
        apply(m_machine->resumeAtStart(m_now));
    }

    void lose(EngineLoss kind)
    {
        if (m_exchange.phase == Exchange::Phase::Closed)
            return;
        const bool before = m_exchange.phase != Exchange::Phase::Streaming;
        m_exchange.phase = Exchange::Phase::Closed;
        report(engine::Lost {before ? EngineLoss::BeforeHead : kind});
    }

    void pump()
    {
        pumpStale();
        if (ended())
            return;
        if (m_needsDispatch)
            dispatch();
        else
            pumpExchange();
    }

    void dispatch()
    {
        m_needsDispatch = false;
        const std::size_t chosen = m_dispatches++ % m_engines.size();
        const std::optional<ExchangeNumber> number =
            m_machine->dispatch(m_now, m_engines[chosen].name);
        if (number)
            m_exchange = Exchange {*number, chosen, std::nullopt};
    }

    void pumpExchange()
    {
        switch (m_exchange.phase) {
        case Exchange::Phase::Connecting:
            if (std::exchange(m_connectFails, false)) {
                m_exchange.phase = Exchange::Phase::Closed;
                report(engine::Lost {EngineLoss::ConnectFailed});
                return;
            }
            arriveAtEngine();
            return;
        case Exchange::Phase::AwaitingHead:
            answerHead();
            return;
        case Exchange::Phase::Streaming:
            answerNext(m_exchange);
            return;
        case Exchange::Phase::Closed:
            return;
        }
    }

    // The request reaches the engine, which starts it or refuses it before it answers.
    void arriveAtEngine()
    {
        m_exchange.phase = Exchange::Phase::AwaitingHead;
        m_exchange.refused = std::exchange(m_refuseNext, false);
        if (m_exchange.refused || m_exchange.resumes)
            return;
        m_exchange.started = m_engines[m_exchange.engine].start(ownRequest, ++m_serial);
        ++m_starts;
    }

    void answerHead()
    {
        FakeEngine &at = m_engines[m_exchange.engine];
        m_exchange.phase = Exchange::Phase::Closed;
        if (m_exchange.refused) {
            report(engine::Refused {10_ms});
            return;
        }
        const std::string number = m_exchange.resumes.value_or(m_exchange.started.stream);
        const auto it = at.streams.find(number);
        if (it == at.streams.end()) {
            report(engine::StreamNotFound {});
            return;
        }
        m_exchange.phase = Exchange::Phase::Streaming;
        m_exchange.stream = it->second;
        report(engine::HeadReceived {{at.name, at.incarnation, number}});
    }

    void answerNext(Exchange &exchange)
    {
        const std::uint64_t index = exchange.next++;
        const SeenToken token {exchange.stream.request, exchange.stream.serial, index};
        if (index < answerLength) {
            m_arriving = token;
            apply(m_machine->onToken(m_now, exchange.number, index));
            return;
        }
        apply(m_machine->onEngine(m_now, exchange.number, engine::Done {}, m_budget, 0.5));
    }

    // Links that were given up on deliver one message each.
    void pumpStale()
    {
        std::vector<Exchange> stale = std::exchange(m_stale, {});
        for (Exchange &exchange : stale) {
            if (exchange.phase != Exchange::Phase::Streaming || ended())
                continue;
            if (exchange.heldFor > 0)
                --exchange.heldFor;
            else
                answerNext(exchange);
            if (exchange.next <= answerLength)
                m_stale.push_back(exchange);
        }
    }

    void report(const engine::Event &event)
    {
        apply(m_machine->onEngine(m_now, m_exchange.number, event, m_budget, 0.5));
    }

    void apply(const generation::Actions &actions)
    {
        for (const generation::Action &action : actions)
            std::visit([this](const auto &a) { handle(a); }, action);
        checkOracle();
    }

    void handle(const generation::ForwardToken &action)
    {
        require(action.index == m_arriving.index, "P1: forwarded another token than arrived");
        m_tokens.push_back(m_arriving);
        m_lastGeneration = *m_machine->boundGeneration();
    }
    void handle(const generation::DropToken &) { }
    void handle(const generation::Resume &action)
    {
        const auto at = std::find_if(m_engines.begin(), m_engines.end(), [&](const FakeEngine &e) {
            return e.name == action.generation.endpoint;
        });
        m_now += action.delay;
        m_exchange = Exchange {action.exchange, static_cast<std::size_t>(at - m_engines.begin()),
                               action.generation.stream};
        m_exchange.next = action.from;
    }
    void handle(const generation::StartAfresh &action)
    {
        require(m_tokens.empty(), "P1: started afresh after tokens were delivered");
        m_now += action.delay;
        m_needsDispatch = true;
    }
    void handle(const generation::Finish &action)
    {
        m_finished = true;
        require(m_tokens.size() == answerLength, "P4: the answer is not whole");
        require(action.deliveredTokens == answerLength, "P4: the end names another length");
    }
    void handle(const generation::FailFinal &action)
    {
        m_failure = action;
        require(action.deliveredTokens == m_tokens.size(), "P1: the failure names another length");
    }
    void handle(const generation::CancelAtEngine &action)
    {
        for (const FakeEngine &engine : m_engines) {
            if (engine.name != action.generation.endpoint)
                continue;
            const auto it = engine.streams.find(action.generation.stream);
            const bool own = it == engine.streams.end() || it->second.request == ownRequest;
            require(own, "P4: cancelled another request");
        }
    }
    void handle(const generation::Detach &) { }

    void checkOracle()
    {
        for (std::size_t n = 0; n < m_tokens.size(); ++n) {
            require(m_tokens[n].index == n, "P1: out of order, lost or repeated");
            require(m_tokens[n].serial == m_tokens[0].serial, "P1: two generations mixed");
            require(m_tokens[n].request == ownRequest, "P4: tokens of another request");
        }
        const bool saidNotRun = m_failure && m_failure->runState == RunState::NotRun;
        require(!saidNotRun || m_starts == 0, "P5: an engine has run the request");
    }

    Millis m_now {0};
    std::array<FakeEngine, 2> m_engines;
    std::unique_ptr<GenerationMachine> m_machine;
    RetryBudget m_budget {{0.1, 20.0, 20.0, 10_s}};
    Exchange m_exchange = {{}, 0, std::nullopt, Exchange::Phase::Closed};
    std::vector<Exchange> m_stale;
    std::vector<SeenToken> m_tokens;
    SeenToken m_arriving;
    GenerationId m_lastGeneration;
    std::uint32_t m_serial = 0;
    // Times that an engine has started the request that the caller sent last.
    std::uint32_t m_starts = 0;
    std::string m_violation;
    std::size_t m_dispatches = 0;
    bool m_needsDispatch = true;
    bool m_refuseNext = false;
    bool m_connectFails = false;
    bool m_finished = false;
    std::optional<generation::FailFinal> m_failure;
};

class TokenMatrix : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>>
{
protected:
    [[nodiscard]] static FaultAt fault()
    {
        return {static_cast<Fault>(std::get<0>(GetParam())), std::get<1>(GetParam())};
    }
};

TEST_P(TokenMatrix, SingleFault)
{
    TokenWorld world;
    EXPECT_EQ(world.run(std::array {fault()}), "");
    // Only the loss of the stream or of the time may cost the answer.
    const Fault kind = fault().fault;
    const bool losesStream = kind == Fault::EngineKilled || kind == Fault::EngineForgetsStream;
    if (kind != Fault::DeadlinePasses && !(losesStream && world.received() > 0))
        EXPECT_TRUE(world.finished());
}

TEST_P(TokenMatrix, EveryPairWithASecondFault)
{
    for (std::size_t second = 0; second < faultCount; ++second) {
        for (std::size_t step = 0; step < 2 * stepCount; ++step) {
            TokenWorld world;
            const FaultAt other {static_cast<Fault>(second), step};
            ASSERT_EQ(world.run(std::array {fault(), other}), "")
                << "second fault " << second << " at step " << step;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(FaultsBySteps, TokenMatrix,
                         testing::Combine(testing::Range(std::size_t {0}, faultCount),
                                          testing::Range(std::size_t {0}, stepCount)));

RC_GTEST_PROP(TokenMatrixRandom, ManyFaults, (const std::vector<std::uint16_t> &draws))
{
    std::vector<FaultAt> faults;
    for (const std::uint16_t draw : draws) {
        const std::size_t step = (draw / faultCount) % (4 * stepCount);
        faults.push_back({static_cast<Fault>(draw % faultCount), step});
    }
    TokenWorld world;
    RC_ASSERT(world.run(faults) == std::string {});
}

} // namespace
