#include "fescue/core/generation.h"

#include <algorithm>

namespace fescue {

using generation::Actions;

namespace {

// Adds what one exchange has shown to what earlier ones have: a proof that work was done stands,
// and a doubt stands until there is such a proof.
RunState combine(RunState a, RunState b) noexcept
{
    if (a == RunState::Ran || b == RunState::Ran)
        return RunState::Ran;
    if (a == RunState::Unknown || b == RunState::Unknown)
        return RunState::Unknown;
    return RunState::NotRun;
}

} // namespace

GenerationMachine::GenerationMachine(Deadline deadline, GenerationLimits limits) noexcept
    : m_deadline(deadline), m_limits(limits), m_backoff(limits.backoff)
{ }

GenerationMachine::GenerationMachine(const EventId &last, Deadline deadline,
                                     GenerationLimits limits)
    : GenerationMachine(deadline, limits)
{
    m_fromEventId = true;
    m_provenRun = RunState::Ran;
    m_endpoint = last.endpoint;
    m_sequencer.emplace(last.generation(), last.index + 1);
}

std::optional<ExchangeNumber> GenerationMachine::dispatch(Millis now, const EndpointName &endpoint)
{
    if (m_state != State::Idle || !mayStartAfresh() || m_deadline.hasPassed(now))
        return std::nullopt;
    m_state = State::AwaitingHead;
    m_endpoint = endpoint;
    m_sequencer.reset();
    return nextExchange();
}

Actions GenerationMachine::resumeAtStart(Millis now)
{
    if (!m_fromEventId || m_state != State::Idle)
        return {};
    return resume(now, Millis {0});
}

Actions GenerationMachine::onToken(Millis now, ExchangeNumber exchange, std::uint64_t index)
{
    if (exchange != m_exchange || m_state != State::Streaming)
        return {generation::DropToken {index}};
    switch (m_sequencer->accept(index)) {
    case SequencerVerdict::Forward:
        m_resumesWithoutProgress = 0;
        m_backoff.reset();
        return {generation::ForwardToken {index}};
    case SequencerVerdict::Gap:
        return resume(now, Millis {0});
    case SequencerVerdict::Duplicate:
    case SequencerVerdict::OtherGeneration:
        break;
    }
    return {generation::DropToken {index}};
}

Actions GenerationMachine::onEngine(Millis now, ExchangeNumber exchange, const engine::Event &event,
                                    RetryBudget &budget, double uniform)
{
    if (exchange != m_exchange || m_state == State::Idle || m_state == State::Ended)
        return {};
    m_budget = &budget;
    m_uniform = uniform;
    Actions actions = std::visit([this, now](const auto &e) { return handle(now, e); }, event);
    m_budget = nullptr;
    return actions;
}

Actions GenerationMachine::handle(Millis now, const engine::HeadReceived &event)
{
    if (m_state == State::AwaitingHead) {
        m_state = State::Streaming;
        m_provenRun = RunState::Ran;
        m_sequencer.emplace(event.generation);
        return {};
    }
    if (m_state != State::AwaitingResume)
        return {};
    // A restarted endpoint may give the number of the lost stream to another request.
    if (event.generation != m_sequencer->generation())
        return resumeImpossible(now);
    m_state = State::Streaming;
    return {};
}

Actions GenerationMachine::handle(Millis now, const engine::Done &)
{
    if (m_state == State::Streaming)
        return finish();
    return handle(now, engine::Lost {EngineLoss::Malformed});
}

Actions GenerationMachine::handle(Millis now, const engine::Lost &event)
{
    if (m_state != State::AwaitingHead)
        return resume(now, Millis {0});
    if (event.kind != EngineLoss::ConnectFailed)
        m_provenRun = combine(m_provenRun, RunState::Unknown);
    return startAfresh(now, ResultCode::BackEndLost, Millis {0});
}

Actions GenerationMachine::handle(Millis now, const engine::Refused &event)
{
    if (m_state == State::AwaitingHead)
        return startAfresh(now, ResultCode::BackEndRefused, event.retryAfter);
    return resume(now, event.retryAfter);
}

Actions GenerationMachine::handle(Millis now, const engine::StreamNotFound &)
{
    if (m_state == State::AwaitingHead)
        return startAfresh(now, ResultCode::BackEndProtocol, Millis {0});
    return resumeImpossible(now);
}

Actions GenerationMachine::resume(Millis now, Millis atLeast)
{
    if (m_resumesWithoutProgress >= m_limits.resumesWithoutProgress)
        return resumeImpossible(now);
    const Millis delay = std::max(atLeast, m_backoff.next(m_uniform));
    if (!m_deadline.allows(now, delay))
        return failFinal(ResultCode::BackEndTimeout, m_limits.retryAfter);
    ++m_resumesWithoutProgress;
    m_state = State::AwaitingResume;
    const ExchangeNumber exchange = nextExchange();
    return {
        generation::Resume {exchange, m_sequencer->generation(), m_sequencer->nextIndex(), delay}};
}

Actions GenerationMachine::startAfresh(Millis now, ResultCode code, Millis retryAfter)
{
    const Millis callerDelay = std::max(retryAfter, m_limits.retryAfter);
    m_state = State::Idle;
    if (m_freshStarts >= m_limits.freshStarts)
        return failFinal(code, callerDelay);
    const Millis delay = m_backoff.next(m_uniform);
    if (!m_deadline.allows(now, delay))
        return failFinal(code, callerDelay);
    if (m_budget == nullptr)
        return failFinal(code, callerDelay);
    if (!m_budget->tryTake(now))
        return failFinal(ResultCode::RetryBudgetSpent, callerDelay);
    ++m_freshStarts;
    m_sequencer.reset();
    m_resumesWithoutProgress = 0;
    nextExchange();
    return {generation::StartAfresh {delay, m_endpoint}};
}

Actions GenerationMachine::resumeImpossible(Millis now)
{
    if (mayStartAfresh())
        return startAfresh(now, ResultCode::GenerationLost, Millis {0});
    return failFinal(ResultCode::GenerationLost, Millis {0});
}

Actions GenerationMachine::onCallerEnd(CallerEnd end)
{
    if (m_state == State::Ended)
        return {};
    // Without a token the caller has no event id to resume from.
    const bool mayResume = end == CallerEnd::Disconnected && deliveredTokens() > 0;
    const bool streaming = m_state == State::Streaming;
    m_state = State::Ended;
    if (mayResume || !streaming)
        return {generation::Detach {}};
    return {generation::CancelAtEngine {m_sequencer->generation()}};
}

Actions GenerationMachine::onNoEndpoint(ResultCode code, Millis retryAfter)
{
    if (m_state != State::Idle)
        return {};
    return failFinal(code, retryAfter);
}

Actions GenerationMachine::onTick(Millis now)
{
    if (m_state == State::Ended || !m_deadline.hasPassed(now))
        return {};
    const bool notRun = runState() == RunState::NotRun;
    return cancelAndFail(notRun ? ResultCode::DeadlineUnreachable : ResultCode::BackEndTimeout,
                         m_limits.retryAfter);
}

Actions GenerationMachine::finish()
{
    m_state = State::Ended;
    return {generation::Finish {deliveredTokens()}};
}

Actions GenerationMachine::failFinal(ResultCode code, Millis retryAfter)
{
    const RunState known = runState();
    m_state = State::Ended;
    return {generation::FailFinal {code, known, deliveredTokens(), retryAfter}};
}

// Cancels only on an exchange whose head has proved that the endpoint still runs this generation.
// Elsewhere its stream number may by now belong to another request.
Actions GenerationMachine::cancelAndFail(ResultCode code, Millis retryAfter)
{
    if (m_state != State::Streaming)
        return failFinal(code, retryAfter);
    Actions actions {generation::CancelAtEngine {m_sequencer->generation()}};
    for (const generation::Action &action : failFinal(code, retryAfter))
        actions.push_back(action);
    return actions;
}

bool GenerationMachine::mayStartAfresh() const noexcept
{
    return !m_fromEventId && deliveredTokens() == 0;
}

ExchangeNumber GenerationMachine::nextExchange() noexcept
{
    ++m_exchange.value;
    return m_exchange;
}

std::uint64_t GenerationMachine::deliveredTokens() const noexcept
{
    return m_sequencer ? m_sequencer->nextIndex() : 0;
}

RunState GenerationMachine::runState() const noexcept
{
    // Until the head arrives, the request may or may not have reached the engine.
    if (m_state == State::AwaitingHead)
        return combine(m_provenRun, RunState::Unknown);
    return m_provenRun;
}

std::optional<GenerationId> GenerationMachine::boundGeneration() const
{
    if (!m_sequencer)
        return std::nullopt;
    return m_sequencer->generation();
}

} // namespace fescue
