#include "fescue/core/claim.h"

#include <utility>

namespace fescue {

using claim::Actions;

namespace {

// Jitter is not needed between the writes of one outcome, since each writes a key of its own.
constexpr double middleOfJitter = 0.5;

} // namespace

ClaimMachine::ClaimMachine(std::string nonce, ClaimHolder holder, std::string requestDigest,
                           Deadline deadline, ClaimLimits limits)
    : m_nonce(std::move(nonce)), m_holder(std::move(holder)),
      m_requestDigest(std::move(requestDigest)), m_deadline(deadline), m_limits(limits),
      m_outcomeBackoff(limits.outcomeBackoff)
{ }

Actions ClaimMachine::start(Millis now)
{
    if (m_state != State::Idle)
        return {};
    if (m_deadline.hasPassed(now))
        return refuseUnclaimed(now, ResultCode::ClaimExpired, RunState::NotRun, Millis {0});
    return write(now, std::nullopt);
}

Actions ClaimMachine::onEvent(Millis now, const claim::Event &event)
{
    return std::visit([this, now](const auto &e) { return handle(now, e); }, event);
}

Actions ClaimMachine::onTick(Millis now)
{
    if (m_state == State::Searching && now >= m_nextOrphanRead)
        return readBack();
    if (m_answered || m_state == State::Idle || !m_deadline.hasPassed(now))
        return {};
    Actions actions;
    if (m_state == State::InFlight)
        refuse(actions, ResultCode::BackEndTimeout, RunState::Unknown, m_limits.retryAfter);
    else
        refuse(actions, ResultCode::StoreTimeout, RunState::NotRun, m_limits.retryAfter);
    return actions;
}

bool ClaimMachine::mayDispatch(Millis now) const noexcept
{
    return m_state == State::InFlight && !m_answered && !m_deadline.hasPassed(now);
}

Actions ClaimMachine::handle(Millis now, const claim::Written &event)
{
    if (m_state != State::Writing)
        return {};
    return holdClaim(now, event.revision);
}

Actions ClaimMachine::handle(Millis, const claim::WriteConflict &)
{
    if (m_state != State::Writing)
        return {};
    return readBack();
}

Actions ClaimMachine::handle(Millis, const claim::WriteAnswerLost &)
{
    if (m_state != State::Writing)
        return {};
    m_writeUncertain = true;
    return readBack();
}

Actions ClaimMachine::handle(Millis now, const claim::StoreUnreachable &)
{
    if (m_state != State::Writing && m_state != State::Reading)
        return {};
    return refuseUnclaimed(now, ResultCode::StoreUnavailable, RunState::NotRun,
                           m_limits.retryAfter);
}

Actions ClaimMachine::handle(Millis now, const claim::Read &event)
{
    if (m_state != State::Reading)
        return {};
    if (!event.record) {
        if (!m_answered)
            return write(now, std::nullopt);
        searchLater(now);
        return {};
    }
    const ClaimRecord &record = *event.record;
    if (record.nonce == m_nonce && record.state == ClaimState::Claimed)
        return holdClaim(now, event.revision);
    return showHeldClaim(now, record, event);
}

Actions ClaimMachine::handle(Millis now, const claim::NothingSent &)
{
    if (m_state != State::InFlight)
        return {};
    m_runState = RunState::NotRun;
    const bool inTime = !m_answered && !m_deadline.hasPassed(now);
    if (inTime && m_dispatches < m_limits.dispatchAttempts) {
        ++m_dispatches;
        m_runState = RunState::Unknown;
        return {claim::Dispatch {}};
    }
    const ResultCode code = inTime ? ResultCode::BackEndLost : ResultCode::ClaimExpired;
    Actions actions = keep(ClaimState::NotRun, {});
    refuse(actions, code, RunState::NotRun, inTime ? m_limits.retryAfter : Millis {0});
    return actions;
}

Actions ClaimMachine::handle(Millis, const claim::Answered &event)
{
    if (m_state != State::InFlight)
        return {};
    m_runState = RunState::Ran;
    Actions actions = keep(ClaimState::Done, event.answer);
    if (!m_answered)
        actions.emplace_back(claim::AnswerCaller {event.answer, false});
    m_answered = true;
    return actions;
}

Actions ClaimMachine::handle(Millis, const claim::AnswerLost &)
{
    if (m_state != State::InFlight)
        return {};
    Actions actions = keep(ClaimState::Unknown, {});
    refuse(actions, ResultCode::OutcomeUnknown, RunState::Unknown, Millis {0});
    return actions;
}

Actions ClaimMachine::handle(Millis, const claim::OutcomeKept &)
{
    if (m_state == State::Keeping)
        m_state = State::Ended;
    return {};
}

Actions ClaimMachine::handle(Millis, const claim::OutcomeWriteFailed &)
{
    if (m_state != State::Keeping)
        return {};
    if (m_outcomeBackoff.attempts() >= m_limits.outcomeAttempts) {
        m_state = State::Ended;
        return {};
    }
    const Millis delay = m_outcomeBackoff.next(middleOfJitter);
    return {claim::KeepOutcome {m_outcome, m_revision, delay}};
}

Actions ClaimMachine::write(Millis now, std::optional<StoreRevision> over)
{
    if (m_writes >= m_limits.writeAttempts || m_deadline.hasPassed(now)) {
        return refuseUnclaimed(now, ResultCode::StoreUnavailable, RunState::NotRun,
                               m_limits.retryAfter);
    }
    ++m_writes;
    m_state = State::Writing;
    if (over)
        return {claim::ReplaceClaim {ownRecord(now), *over}};
    return {claim::CreateClaim {ownRecord(now)}};
}

Actions ClaimMachine::readBack()
{
    m_state = State::Reading;
    return {claim::ReadClaim {}};
}

// Dispatches under a claim that is known to be in the store, unless it came too late.
Actions ClaimMachine::holdClaim(Millis now, StoreRevision revision)
{
    m_revision = revision;
    if (m_answered || m_deadline.hasPassed(now)) {
        Actions actions = keep(ClaimState::NotRun, {});
        refuse(actions, ResultCode::ClaimExpired, RunState::NotRun, Millis {0});
        return actions;
    }
    m_state = State::InFlight;
    m_runState = RunState::Unknown;
    m_dispatches = 1;
    return {claim::Dispatch {}};
}

// Answers the caller from a claim that another call wrote.
Actions ClaimMachine::showHeldClaim(Millis now, const ClaimRecord &record, const claim::Read &event)
{
    if (m_answered) {
        m_state = State::Ended;
        return {};
    }
    if (record.requestDigest != m_requestDigest) {
        return refuseUnclaimed(now, ResultCode::KeyReusedForOtherRequest, RunState::NotRun,
                               Millis {0});
    }
    switch (record.state) {
    case ClaimState::NotRun:
        return write(now, event.revision);
    case ClaimState::Done:
        if (record.bodyDropped)
            return refuseUnclaimed(now, ResultCode::ClaimOutcomeUnknown, RunState::Ran, Millis {0});
        m_state = State::Ended;
        m_answered = true;
        return {claim::AnswerCaller {record.answer, true}};
    case ClaimState::Claimed:
        if (event.holderLives) {
            return refuseUnclaimed(now, ResultCode::ClaimInProgress, RunState::Unknown,
                                   m_limits.retryAfter);
        }
        break;
    case ClaimState::Unknown:
        break;
    }
    return refuseUnclaimed(now, ResultCode::ClaimOutcomeUnknown, RunState::Unknown, Millis {0});
}

// Ends the call without having held the claim. A write that may still land is searched for, since
// the claim would otherwise seem to be in progress for as long as this process lives.
Actions ClaimMachine::refuseUnclaimed(Millis now, ResultCode code, RunState runState,
                                      Millis retryAfter)
{
    Actions actions;
    refuse(actions, code, runState, retryAfter);
    if (m_writeUncertain)
        searchLater(now);
    else
        m_state = State::Ended;
    return actions;
}

void ClaimMachine::searchLater(Millis now) noexcept
{
    if (m_orphanReads >= m_limits.orphanReads) {
        m_state = State::Ended;
        return;
    }
    ++m_orphanReads;
    m_state = State::Searching;
    m_nextOrphanRead = now + m_limits.orphanReadInterval;
}

Actions ClaimMachine::keep(ClaimState state, const ServiceAnswer &answer)
{
    m_state = State::Keeping;
    m_outcome = ClaimRecord {};
    m_outcome.nonce = m_nonce;
    m_outcome.requestDigest = m_requestDigest;
    m_outcome.state = state;
    m_outcome.holder = m_holder;
    m_outcome.answer = answer;
    if (answer.body.size() > ClaimRecord::maxKeptBody) {
        m_outcome.answer.body.clear();
        m_outcome.bodyDropped = true;
    }
    return {claim::KeepOutcome {m_outcome, m_revision}};
}

void ClaimMachine::refuse(Actions &actions, ResultCode code, RunState runState, Millis retryAfter)
{
    if (m_answered)
        return;
    m_answered = true;
    actions.emplace_back(claim::RefuseCaller {code, runState, retryAfter});
}

ClaimRecord ClaimMachine::ownRecord(Millis now) const
{
    ClaimRecord record;
    record.nonce = m_nonce;
    record.requestDigest = m_requestDigest;
    record.holder = m_holder;
    record.deadlineLeft = m_deadline.remaining(now);
    return record;
}

} // namespace fescue
