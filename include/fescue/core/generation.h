#pragma once

#include "fescue/core/backoff.h"
#include "fescue/core/deadline.h"
#include "fescue/core/eventid.h"
#include "fescue/core/generationid.h"
#include "fescue/core/resultcode.h"
#include "fescue/core/retrybudget.h"
#include "fescue/core/tokensequencer.h"

#include <boost/container/static_vector.hpp>
#include <cstdint>
#include <optional>
#include <variant>

namespace fescue {

// Numbers the exchanges with engines on behalf of one request. Each dispatch and each resume is a
// new exchange; whatever still arrives on an earlier one is ignored.
struct ExchangeNumber
{
    std::uint32_t value = 0;
    auto operator<=>(const ExchangeNumber &) const noexcept = default;
};

// How an exchange with an engine broke off.
enum class EngineLoss : std::uint8_t
{
    // No connection came about, so no byte of the request was sent.
    ConnectFailed,
    // The connection ended before the head of the answer.
    BeforeHead,
    // The connection ended between the head and the end of the answer.
    MidStream,
    // The connection is open, but neither tokens nor keep-alives arrive.
    Silent,
    // The engine sent something that its protocol does not allow.
    Malformed,
};

// What an exchange with an engine reports.
namespace engine {

// The head of an answer has arrived and names the generation.
struct HeadReceived
{
    GenerationId generation;
};
// The engine has sent its end mark.
struct Done
{ };
struct Lost
{
    EngineLoss kind = EngineLoss::MidStream;
};
// The engine refused the request and did not start it.
struct Refused
{
    Millis retryAfter {0};
};
// The engine does not know the stream that was to be resumed.
struct StreamNotFound
{ };

using Event = std::variant<HeadReceived, Done, Lost, Refused, StreamNotFound>;

} // namespace engine

// How a caller ended its request early.
enum class CallerEnd : std::uint8_t
{
    // The connection is gone; the caller may resume at any entry.
    Disconnected,
    // The caller asked to cancel.
    Cancelled,
};

// What an entry has to do next for one generation.
namespace generation {

struct ForwardToken
{
    std::uint64_t index = 0;
};
struct DropToken
{
    std::uint64_t index = 0;
};
// Ask the engine for the same stream from token `from` on, after a delay, as a new exchange.
struct Resume
{
    ExchangeNumber exchange;
    GenerationId generation;
    std::uint64_t from = 0;
    Millis delay {0};
};
// Choose an endpoint again, after a delay, and call dispatch(). Nothing has reached the caller.
struct StartAfresh
{
    Millis delay {0};
    // The endpoint that failed; another one is preferred.
    EndpointName avoid;
};
// The answer is whole: send the end mark to the caller.
struct Finish
{
    std::uint64_t deliveredTokens = 0;
};
// Tell the caller that the request has failed for good at this entry.
struct FailFinal
{
    ResultCode code = ResultCode::Internal;
    RunState runState = RunState::Unknown;
    std::uint64_t deliveredTokens = 0;
    // Zero where a later try does not help.
    Millis retryAfter {0};
};
// Cancel the stream at its engine and close the exchange.
struct CancelAtEngine
{
    GenerationId generation;
};
// Close the exchange without cancelling: the caller may resume at another entry.
struct Detach
{ };

using Action = std::variant<ForwardToken, DropToken, Resume, StartAfresh, Finish, FailFinal,
                            CancelAtEngine, Detach>;
using Actions = boost::container::static_vector<Action, 2>;

} // namespace generation

struct GenerationLimits
{
    // Resumes in a row that bring no new token.
    std::uint32_t resumesWithoutProgress = 5;
    // Times that a request is started again on another or the same endpoint.
    std::uint32_t freshStarts = 3;
    BackoffLimits backoff = {25_ms, 1_s};
    // Told to callers that may try again.
    Millis retryAfter = 1_s;
};

// Decides what becomes of one generation at one entry. It passes on each token of one generation
// once and in order. A request is started afresh only while nothing has reached the caller; after
// that the same generation is resumed, or the request fails and says how far it got.
//
// Resumes are not charged to the retry budget, since they repeat no work; fresh starts are.
class GenerationMachine
{
public:
    // A new request. Call dispatch() once an endpoint has been chosen.
    explicit GenerationMachine(Deadline deadline, GenerationLimits limits = {}) noexcept;

    // A request that resumes after the token that `last` names. Such a request is never started
    // afresh. Call resumeAtStart() first.
    GenerationMachine(const EventId &last, Deadline deadline, GenerationLimits limits = {});

    // Records that the request is about to be sent to an endpoint, and numbers the exchange. Call
    // it before the first byte is sent. Empty where nothing may be sent: the request has ended, its
    // deadline has passed, or a generation is already bound.
    [[nodiscard]] std::optional<ExchangeNumber> dispatch(Millis now, const EndpointName &endpoint);

    // Returns the first action of a request that resumes.
    [[nodiscard]] generation::Actions resumeAtStart(Millis now);

    // Handles a token that arrived on an exchange.
    [[nodiscard]] generation::Actions onToken(Millis now, ExchangeNumber exchange,
                                              std::uint64_t index);

    // Handles any other event of an exchange. `budget` belongs to the endpoint of the exchange;
    // `uniform` is a random number in [0, 1).
    [[nodiscard]] generation::Actions onEngine(Millis now, ExchangeNumber exchange,
                                               const engine::Event &event, RetryBudget &budget,
                                               double uniform);

    [[nodiscard]] generation::Actions onCallerEnd(CallerEnd end);

    // Ends the request without having found an endpoint for it.
    [[nodiscard]] generation::Actions onNoEndpoint(ResultCode code, Millis retryAfter);

    // Ends the request where its deadline has passed. Call it when the deadline comes.
    [[nodiscard]] generation::Actions onTick(Millis now);

    [[nodiscard]] bool ended() const noexcept { return m_state == State::Ended; }
    [[nodiscard]] std::uint64_t deliveredTokens() const noexcept;
    // What is known about whether any engine has worked on the request.
    [[nodiscard]] RunState runState() const noexcept;
    // The bound generation; empty until the head of an answer has arrived.
    [[nodiscard]] std::optional<GenerationId> boundGeneration() const;
    [[nodiscard]] Deadline deadline() const noexcept { return m_deadline; }

private:
    enum class State : std::uint8_t
    {
        Idle,
        AwaitingHead,
        AwaitingResume,
        Streaming,
        Ended,
    };

    [[nodiscard]] generation::Actions handle(Millis now, const engine::HeadReceived &event);
    [[nodiscard]] generation::Actions handle(Millis now, const engine::Done &event);
    [[nodiscard]] generation::Actions handle(Millis now, const engine::Lost &event);
    [[nodiscard]] generation::Actions handle(Millis now, const engine::Refused &event);
    [[nodiscard]] generation::Actions handle(Millis now, const engine::StreamNotFound &event);

    [[nodiscard]] generation::Actions resume(Millis now, Millis atLeast);
    [[nodiscard]] generation::Actions startAfresh(Millis now, ResultCode code, Millis retryAfter);
    [[nodiscard]] generation::Actions resumeImpossible(Millis now);
    [[nodiscard]] generation::Actions finish();
    [[nodiscard]] generation::Actions failFinal(ResultCode code, Millis retryAfter);
    [[nodiscard]] generation::Actions cancelAndFail(ResultCode code, Millis retryAfter);
    [[nodiscard]] bool mayStartAfresh() const noexcept;
    ExchangeNumber nextExchange() noexcept;

    Deadline m_deadline;
    GenerationLimits m_limits;
    State m_state = State::Idle;
    // What earlier exchanges have proved; the current one may add to it.
    RunState m_provenRun = RunState::NotRun;
    ExchangeNumber m_exchange;
    EndpointName m_endpoint;
    std::optional<TokenSequencer> m_sequencer;
    bool m_fromEventId = false;
    std::uint32_t m_resumesWithoutProgress = 0;
    std::uint32_t m_freshStarts = 0;
    Backoff m_backoff;
    // Valid only while onEngine() runs.
    RetryBudget *m_budget = nullptr;
    double m_uniform = 0.5;
};

} // namespace fescue
