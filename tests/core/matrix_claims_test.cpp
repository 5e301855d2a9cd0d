// Fault matrix of a call that may not be repeated: P6 (runs at most once), P5 ("not run" is true)
// and P4 (the answer to the caller's own request). The oracle is checked after every event.

#include "fakes.h"
#include "fescue/core/claim.h"

#include <algorithm>
#include <array>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <span>

namespace {

using namespace fescue;
using fakes::FakeStore;
using fakes::StoreValue;
using fakes::StoreWrite;

constexpr char claimKey[] = "claims/service/account/key";
constexpr Millis callTime = 5_s;
constexpr Millis idleStep = 500_ms;

enum class Fault : std::uint8_t
{
    None,
    StoreDown,
    StoreAnswerLost,
    StoreCallLost,
    StoreLate,
    NothingSent,
    ServiceAnswerLost,
    ServiceCallLost,
    ServiceLate,
    PausedBefore,
    PausedInSend,
    KilledBefore,
    KilledAfter,
    SecondCaller,
    Count,
};

constexpr std::size_t faultCount = static_cast<std::size_t>(Fault::Count);

// Steps of a call without faults are write, dispatch and keep; faults add reads and repeats.
constexpr std::size_t stepCount = 8;

// A fault that strikes the operation of that number, counted over all calls.
struct FaultAt
{
    Fault fault = Fault::None;
    std::size_t step = 0;
};

// Sends the call whatever the time is: the process was paused after it had looked at the clock.
struct SendNow
{ };
// Reports an answer that the service gave earlier.
struct LateAnswer
{ };

using Operation = std::variant<claim::Action, SendNow, LateAnswer>;

// One call with the key, at an entry of its own.
struct Call
{
    std::string digest;
    Deadline deadline;
    std::unique_ptr<ClaimMachine> machine;
    std::deque<Operation> operations;
    bool alive = true;
    std::uint32_t runs = 0;
    std::optional<claim::RefuseCaller> refusal;
    std::optional<claim::AnswerCaller> answer;
};

class ClaimWorld
{
public:
    // Runs a call and its retries, all with one key and the last without faults. Returns the first
    // thing that went against the points, or nothing.
    std::string run(std::span<const FaultAt> faults, bool sameRequest = true)
    {
        m_sameRequest = sameRequest;
        startCall();
        settle(faults);
        while (m_calls.size() < 3) {
            startCall();
            settle(faults);
        }
        startCall();
        settle({});
        return m_violation;
    }

    // True where the last call got the answer of the service, its own or the kept one.
    [[nodiscard]] bool lastAnswered() const { return m_calls.back().answer.has_value(); }

private:
    void require(bool holds, const char *what)
    {
        if (!holds && m_violation.empty())
            m_violation = what;
    }

    void startCall()
    {
        const std::size_t n = m_calls.size();
        Call &call = m_calls.emplace_back();
        call.digest = m_sameRequest || n == 0 ? "request" : "other request";
        call.deadline = Deadline::after(m_now, callTime);
        const std::string number = std::to_string(n);
        call.machine = std::make_unique<ClaimMachine>(
            "nonce-" + number, ClaimHolder {MemberName {"entry-" + number}, {1}}, call.digest,
            call.deadline);
        enqueue(call, call.machine->start(m_now));
    }

    // Carries out everything that is asked for, and lets time pass while calls have not ended.
    void settle(std::span<const FaultAt> faults)
    {
        constexpr std::size_t maxIdleSteps = 100;
        for (std::size_t idle = 0; idle < maxIdleSteps; ++idle) {
            while (Call *call = nextCall())
                carryOut(*call, faultOf(faults, m_step++));
            if (allEnded())
                return;
            passTime(idleStep);
        }
        require(false, "a call never ended");
    }

    [[nodiscard]] static Fault faultOf(std::span<const FaultAt> faults, std::size_t step)
    {
        for (const FaultAt &fault : faults) {
            if (fault.step == step)
                return fault.fault;
        }
        return Fault::None;
    }

    // Calls take turns.
    Call *nextCall()
    {
        for (std::size_t n = 0; n < m_calls.size(); ++n) {
            Call &call = m_calls[(m_turn + n) % m_calls.size()];
            if (call.alive && !call.operations.empty()) {
                m_turn += n + 1;
                return &call;
            }
        }
        return nullptr;
    }

    [[nodiscard]] bool allEnded() const
    {
        return std::all_of(m_calls.begin(), m_calls.end(),
                           [](const Call &call) { return !call.alive || call.machine->ended(); });
    }

    void passTime(Millis span)
    {
        m_now += span;
        m_store.landLate();
        for (Call &call : m_calls) {
            if (call.alive)
                enqueue(call, call.machine->onTick(m_now));
        }
    }

    void carryOut(Call &call, Fault fault)
    {
        if (fault == Fault::SecondCaller && m_calls.size() < 3) {
            startCall();
            return;
        }
        if (fault == Fault::KilledBefore) {
            call.alive = false;
            return;
        }
        if (fault == Fault::PausedBefore)
            m_now += callTime + callTime;
        const Operation operation = call.operations.front();
        call.operations.pop_front();
        m_fault = fault;
        m_call = &call;
        if (const claim::Action *action = std::get_if<claim::Action>(&operation))
            std::visit([this](const auto &a) { handle(a); }, *action);
        else if (std::holds_alternative<SendNow>(operation))
            send();
        else
            report(claim::Answered {answerTo(call)});
        if (fault == Fault::KilledAfter)
            call.alive = false;
        checkOracle();
    }

    void report(const claim::Event &event)
    {
        if (m_fault != Fault::KilledAfter)
            enqueue(*m_call, m_call->machine->onEvent(m_now, event));
    }

    void enqueue(Call &call, const claim::Actions &actions)
    {
        for (const claim::Action &action : actions)
            call.operations.emplace_back(action);
        checkOracle();
    }

    // Writes with the fault that strikes. Empty where the client learns of no answer.
    std::optional<std::optional<StoreRevision>> writeStore(const StoreWrite &write)
    {
        switch (m_fault) {
        case Fault::StoreAnswerLost:
            m_store.write(write);
            return std::nullopt;
        case Fault::StoreCallLost:
            return std::nullopt;
        case Fault::StoreLate:
            m_store.delay(write);
            return std::nullopt;
        default:
            return m_store.write(write);
        }
    }

    void writeClaim(const ClaimRecord &record, StoreRevision match)
    {
        if (m_fault == Fault::StoreDown) {
            report(claim::StoreUnreachable {});
            return;
        }
        const std::optional<std::optional<StoreRevision>> answer =
            writeStore({claimKey, record.toText(), match});
        if (!answer)
            report(claim::WriteAnswerLost {});
        else if (*answer)
            report(claim::Written {**answer});
        else
            report(claim::WriteConflict {});
    }

    void handle(const claim::CreateClaim &action) { writeClaim(action.record, {}); }
    void handle(const claim::ReplaceClaim &action) { writeClaim(action.record, action.revision); }

    void handle(const claim::ReadClaim &)
    {
        const bool fails = m_fault >= Fault::StoreDown && m_fault <= Fault::StoreLate;
        if (fails) {
            report(claim::StoreUnreachable {});
            return;
        }
        claim::Read read;
        if (const std::optional<StoreValue> value = m_store.read(claimKey)) {
            const Result<ClaimRecord> record = ClaimRecord::parse(value->value);
            require(record.has_value(), "a claim record cannot be read back");
            read.record = *record;
            read.revision = value->revision;
            read.holderLives = isAlive(record->holder.member);
        }
        report(read);
    }

    [[nodiscard]] bool isAlive(const MemberName &member) const
    {
        for (std::size_t n = 0; n < m_calls.size(); ++n) {
            if (member == MemberName {"entry-" + std::to_string(n)})
                return m_calls[n].alive;
        }
        return false;
    }

    void handle(const claim::Dispatch &)
    {
        if (!m_call->machine->mayDispatch(m_now)) {
            report(claim::NothingSent {});
            return;
        }
        require(!m_call->deadline.hasPassed(m_now), "P6: dispatched after the deadline");
        if (m_fault == Fault::PausedInSend) {
            m_now += callTime + callTime;
            m_call->operations.emplace_back(SendNow {});
            return;
        }
        send();
    }

    void send()
    {
        if (m_fault == Fault::NothingSent) {
            report(claim::NothingSent {});
            return;
        }
        if (m_fault != Fault::ServiceCallLost)
            ++m_call->runs;
        if (m_fault == Fault::ServiceCallLost || m_fault == Fault::ServiceAnswerLost) {
            report(claim::AnswerLost {});
            return;
        }
        if (m_fault == Fault::ServiceLate) {
            passTime(callTime + callTime);
            m_call->operations.emplace_back(LateAnswer {});
            return;
        }
        report(claim::Answered {answerTo(*m_call)});
    }

    [[nodiscard]] static ServiceAnswer answerTo(const Call &call)
    {
        return {200, "text/plain", "answer to " + call.digest};
    }

    void handle(const claim::KeepOutcome &action)
    {
        m_now += action.delay;
        const StoreWrite write {claimKey, action.record.toText(), action.revision};
        if (m_fault != Fault::StoreDown && writeStore(write))
            report(claim::OutcomeKept {});
        else
            report(claim::OutcomeWriteFailed {});
    }

    void handle(const claim::AnswerCaller &action)
    {
        require(!m_call->answer && !m_call->refusal, "P4: a caller got two answers");
        m_call->answer = action;
    }
    void handle(const claim::RefuseCaller &action)
    {
        require(!m_call->answer && !m_call->refusal, "P4: a caller got two answers");
        m_call->refusal = action;
    }

    void checkOracle()
    {
        std::uint32_t runs = 0;
        for (const Call &call : m_calls) {
            runs += call.runs;
            const bool saidNotRun = call.refusal && call.refusal->runState == RunState::NotRun;
            require(!saidNotRun || call.runs == 0, "P5: a call ran that was said not to have run");
            const bool own = !call.answer || call.answer->answer == answerTo(call);
            require(own, "P4: a caller got the answer to another request");
        }
        require(runs <= 1, "P6: the call ran twice");
    }

    Millis m_now {0};
    FakeStore m_store;
    std::deque<Call> m_calls;
    Call *m_call = nullptr;
    Fault m_fault = Fault::None;
    std::size_t m_step = 0;
    std::size_t m_turn = 0;
    bool m_sameRequest = true;
    std::string m_violation;
};

// True for faults after which nobody can know whether the call has run.
bool mayStayUnknown(Fault fault)
{
    return fault == Fault::ServiceAnswerLost || fault == Fault::ServiceCallLost
        || fault == Fault::KilledBefore || fault == Fault::KilledAfter;
}

class ClaimMatrix : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>>
{
protected:
    [[nodiscard]] static FaultAt fault()
    {
        return {static_cast<Fault>(std::get<0>(GetParam())), std::get<1>(GetParam())};
    }
};

TEST_P(ClaimMatrix, SingleFault)
{
    ClaimWorld world;
    EXPECT_EQ(world.run(std::array {fault()}), "");
    EXPECT_TRUE(world.lastAnswered() || mayStayUnknown(fault().fault)) << "the claim is stuck";
    EXPECT_EQ(ClaimWorld().run(std::array {fault()}, false), "") << "with another request";
}

TEST_P(ClaimMatrix, EveryPairWithASecondFault)
{
    for (std::size_t second = 0; second < faultCount; ++second) {
        for (std::size_t step = 0; step < 2 * stepCount; ++step) {
            const FaultAt other {static_cast<Fault>(second), step};
            ASSERT_EQ(ClaimWorld().run(std::array {fault(), other}), "")
                << "second fault " << second << " at step " << step;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(FaultsBySteps, ClaimMatrix,
                         testing::Combine(testing::Range(std::size_t {0}, faultCount),
                                          testing::Range(std::size_t {0}, stepCount)));

RC_GTEST_PROP(ClaimMatrixRandom, ManyFaults, (const std::vector<std::uint16_t> &draws))
{
    std::vector<FaultAt> faults;
    for (const std::uint16_t draw : draws) {
        const std::size_t step = (draw / faultCount) % (4 * stepCount);
        faults.push_back({static_cast<Fault>(draw % faultCount), step});
    }
    RC_ASSERT(ClaimWorld().run(faults) == std::string {});
}

} // namespace
