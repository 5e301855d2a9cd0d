#pragma once

#include "fescue/core/backoff.h"
#include "fescue/core/claimrecord.h"
#include "fescue/core/deadline.h"
#include "fescue/core/resultcode.h"

#include <boost/container/static_vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fescue {

// What the store and the plain service report to a ClaimMachine.
namespace claim {

// The store has confirmed the write of the claim.
struct Written
{
    StoreRevision revision;
};
// The store has refused the write: the key exists, or its revision has changed.
struct WriteConflict
{ };
// The write of the claim may or may not have taken effect.
struct WriteAnswerLost
{ };
// The store could not be reached: a write was not sent, or a read brought no answer.
struct StoreUnreachable
{ };
// The answer to ReadClaim. The record is empty where the key does not exist.
struct Read
{
    std::optional<ClaimRecord> record;
    StoreRevision revision;
    // False where the member that holds the claim is known to be gone.
    bool holderLives = true;
};
// No byte of the call was sent.
struct NothingSent
{ };
// The service has answered this call in whole.
struct Answered
{
    ServiceAnswer answer;
};
// The call was sent, at least in part, and no whole answer came back.
struct AnswerLost
{ };
// The outcome is in the store, or the key has another revision because an earlier write of it was.
struct OutcomeKept
{ };
// The write of the outcome was not sent, or its answer was lost.
struct OutcomeWriteFailed
{ };

using Event = std::variant<Written, WriteConflict, WriteAnswerLost, StoreUnreachable, Read,
                           NothingSent, Answered, AnswerLost, OutcomeKept, OutcomeWriteFailed>;

// What an entry has to do next for one call.

// Write the record if the key does not exist.
struct CreateClaim
{
    ClaimRecord record;
};
// Write the record if the key still has this revision.
struct ReplaceClaim
{
    ClaimRecord record;
    StoreRevision revision;
};
struct ReadClaim
{ };
// Send the call to the service. Ask mayDispatch() directly before the first byte.
struct Dispatch
{ };
// Write the outcome over the claim if it still has this revision, after a delay. The outcome NotRun
// lets the next caller with the same key take the claim over.
struct KeepOutcome
{
    ClaimRecord record;
    StoreRevision revision;
    Millis delay {0};
};
struct AnswerCaller
{
    ServiceAnswer answer;
    // True where the answer is one that was kept from an earlier call.
    bool replayed = false;
};
struct RefuseCaller
{
    ResultCode code = ResultCode::Internal;
    RunState runState = RunState::Unknown;
    // Zero where a later try does not help.
    Millis retryAfter {0};
};

using Action = std::variant<CreateClaim, ReplaceClaim, ReadClaim, Dispatch, KeepOutcome,
                            AnswerCaller, RefuseCaller>;

// Actions of one list do not depend on each other and may be carried out at the same time.
using Actions = boost::container::static_vector<Action, 2>;

} // namespace claim

struct ClaimLimits
{
    // Writes of the claim, counting those whose answer was lost.
    std::uint32_t writeAttempts = 3;
    // Writes of the outcome.
    std::uint32_t outcomeAttempts = 64;
    BackoffLimits outcomeBackoff = {100_ms, 5_s};
    // Times that the store is searched for a claim whose write may have landed after the caller was
    // refused, and the time between two searches.
    std::uint32_t orphanReads = 10;
    Millis orphanReadInterval = 1_s;
    // Times that the call is sent while no byte of it has gone out.
    std::uint32_t dispatchAttempts = 2;
    // Told to callers that may try again.
    Millis retryAfter = 1_s;
};

// Runs one call that may not be repeated, at one entry.
//
// The claim in the store comes before the first byte to the service, and only the writer of a
// claim dispatches. A claim is never taken over because time has passed or its holder is gone: its
// holder may have dispatched. So the call runs at most once however long a holder is paused. A
// refusal says NotRun only where nothing was sent. It speaks of this call alone: while the store is
// out, nothing is known about earlier calls with the same key.
class ClaimMachine
{
public:
    // `nonce` must be unique for this call at this entry, and `holder` names this entry.
    ClaimMachine(std::string nonce, ClaimHolder holder, std::string requestDigest,
                 Deadline deadline, ClaimLimits limits = {});

    // Returns the first action.
    [[nodiscard]] claim::Actions start(Millis now);

    [[nodiscard]] claim::Actions onEvent(Millis now, const claim::Event &event);

    // Answers the caller once the deadline has passed, and repeats reads that are due. Call it
    // every now and then until ended(). An exchange with the service may outlast the deadline, so
    // that a late answer is kept; it must end with claim::Answered or claim::AnswerLost at some
    // time.
    [[nodiscard]] claim::Actions onTick(Millis now);

    // True where the call may be sent now. A process may have been paused since the claim was
    // written, so ask directly before the first byte; where false, report claim::NothingSent.
    [[nodiscard]] bool mayDispatch(Millis now) const noexcept;

    // True once the caller has its answer.
    [[nodiscard]] bool answered() const noexcept { return m_answered; }
    // True once nothing is left to do for this call.
    [[nodiscard]] bool ended() const noexcept { return m_answered && m_state == State::Ended; }
    // What is known about whether the service has run the call on behalf of this entry.
    [[nodiscard]] RunState runState() const noexcept { return m_runState; }

private:
    enum class State : std::uint8_t
    {
        Idle,
        Writing,
        Reading,
        InFlight,
        Keeping,
        // The caller is refused, but a write of the claim may still land.
        Searching,
        Ended,
    };

    [[nodiscard]] claim::Actions handle(Millis now, const claim::Written &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::WriteConflict &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::WriteAnswerLost &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::StoreUnreachable &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::Read &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::NothingSent &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::Answered &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::AnswerLost &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::OutcomeKept &event);
    [[nodiscard]] claim::Actions handle(Millis now, const claim::OutcomeWriteFailed &event);

    [[nodiscard]] claim::Actions write(Millis now, std::optional<StoreRevision> over);
    [[nodiscard]] claim::Actions readBack();
    [[nodiscard]] claim::Actions holdClaim(Millis now, StoreRevision revision);
    [[nodiscard]] claim::Actions showHeldClaim(Millis now, const ClaimRecord &record,
                                               const claim::Read &event);
    [[nodiscard]] claim::Actions refuseUnclaimed(Millis now, ResultCode code, RunState runState,
                                                 Millis retryAfter);
    [[nodiscard]] claim::Actions keep(ClaimState state, const ServiceAnswer &answer);
    void refuse(claim::Actions &actions, ResultCode code, RunState runState, Millis retryAfter);
    void searchLater(Millis now) noexcept;
    [[nodiscard]] ClaimRecord ownRecord(Millis now) const;

    std::string m_nonce;
    ClaimHolder m_holder;
    std::string m_requestDigest;
    Deadline m_deadline;
    ClaimLimits m_limits;
    State m_state = State::Idle;
    RunState m_runState = RunState::NotRun;
    bool m_answered = false;
    // True where a write of the claim may yet take effect without this process hearing of it.
    bool m_writeUncertain = false;
    std::uint32_t m_writes = 0;
    std::uint32_t m_dispatches = 0;
    std::uint32_t m_orphanReads = 0;
    Millis m_nextOrphanRead {0};
    Backoff m_outcomeBackoff;
    StoreRevision m_revision;
    ClaimRecord m_outcome;
};

} // namespace fescue
