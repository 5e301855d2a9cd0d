#pragma once

#include "fescue/core/parsenumber.h"

namespace fescue::serving {

// Maximum size of a plain service's answer; equals the maximum size of a caller's request.
inline constexpr std::size_t maxPlainAnswerBytes = std::size_t {8} * 1024 * 1024;
// An attempt that another one can follow is abandoned after this multiple of the target latency.
inline constexpr std::int64_t attemptTimeoutInTargets = 3;
inline constexpr Millis minAttemptTimeout {250};
// Interval at which an answer that has no memory tries again to get it.
inline constexpr Millis answerMemoryPollInterval {20};

template <PlatformProtocol P>
const EndpointView *PlainForwarder<P>::choose(const RequestContext &context,
                                              const PlacementDemand &demand)
{
    const double uniform = m_state->uniform();
    return m_state->chooseByVersion(
        context.service, context.attempts > 0,
        [&](const std::vector<const EndpointView *> &candidates) -> const EndpointView * {
            const EndpointView *endpoint =
                choosePlain(candidates, m_state->placementView(context.service), demand, uniform);
            return endpoint != nullptr && m_state->tryTakeColdShare(*endpoint) ? endpoint : nullptr;
        });
}

template <PlatformProtocol P>
typename PlainForwarder<P>::Attempt
PlainForwarder<P>::attempt(RequestContext &context, const EndpointRecord &endpoint, bool isLast,
                           net::ByteReservation &memory)
{
    const ScopedLoad load(m_state->ledger, endpoint.name, {1, 0, 0});
    Millis timeout = context.timeLeft();
    if (!isLast) {
        const Millis attemptTimeout = context.route->targetLatency * attemptTimeoutInTargets;
        timeout = std::min(timeout, std::max(attemptTimeout, minAttemptTimeout));
    }
    const Millis until = ServingState::now() + timeout;
    net::ResponseWriter &writer = context.writer;
    ExchangeResult result = exchange<P>(*m_state, context, endpoint, makeSend(context, endpoint),
                                        timeout, [&writer] { return writer.callerGone(); });
    Attempt done;
    done.outcome = result.outcome;
    const bool hasAnswer =
        result.outcome == SendOutcome::Succeeded || result.outcome == SendOutcome::Failed;
    if (hasAnswer) {
        Result<std::string> body = readAnswer(result.stream, context, memory, until);
        if (body) {
            done.answer = {result.head.status, P::answerHeaders(result.stream.headers()),
                           std::move(*body)};
        } else {
            done.outcome = outcomeOf(body.error());
            result.detail = body.error().message;
        }
    }
    noteAttempt(*m_state, context, endpoint, done.outcome, result.detail);
    if (done.outcome == SendOutcome::Succeeded)
        m_guard->recordStart(context);
    else if (done.outcome == SendOutcome::Lost)
        m_guard->recordLoss(context, endpoint);
    return done;
}

template <PlatformProtocol P>
Result<std::string> PlainForwarder<P>::readAnswer(net::ClientStream &stream,
                                                  const RequestContext &context,
                                                  net::ByteReservation &memory, Millis until)
{
    const std::size_t announced =
        parseNumber<std::size_t>(stream.header("Content-Length")).value_or(0);
    if (announced > maxPlainAnswerBytes)
        return fail(ResultCode::BackEndProtocol, "the answer is too long");
    while (!memory.reserveUpTo(announced)) {
        if (context.timeLeft() <= Millis {0})
            return fail(ResultCode::BackEndTimeout, "no memory was left for the answer in time");
        if (context.writer.callerGone())
            return fail(ResultCode::Cancelled, "the caller no longer waits");
        net::sleepFor(answerMemoryPollInterval);
        // Another attempt would need the same memory.
        until = std::min(until + answerMemoryPollInterval, context.deadline);
    }
    std::size_t received = 0;
    return stream.readAll(maxPlainAnswerBytes, until - ServingState::now(),
                          [&memory, &received](std::size_t n) {
                              received += n;
                              return memory.reserveUpTo(received);
                          });
}

template <PlatformProtocol P>
void PlainForwarder<P>::serve(RequestContext &context)
{
    const Route &route = *context.route;
    const bool mayRetry = route.kind == RouteKind::Idempotent;
    AttemptPolicy policy(route.kind, route.maxAttempts);
    PlacementDemand demand;
    net::ByteReservation memory(*m_state->bodyBudget);
    Attempt last;
    AttemptVerdict verdict = AttemptVerdict::RefuseNotRun;
    while (true) {
        // Another attempt must end before the process as well.
        if (policy.sent() > 0 && !m_state->stop.mayTake(context.deadline))
            break;
        const EndpointView *endpoint = choose(context, demand);
        if (endpoint == nullptr)
            break;
        noteEndpoint(*m_state, context, *endpoint);
        const EndpointRecord record = endpoint->record;
        demand.excluded.insert(record.name);
        const bool isLast = !mayRetry || policy.sent() + 1 >= route.maxAttempts;
        last = {};
        memory.release();
        last = attempt(context, record, isLast, memory);
        verdict = policy.verdictAfter(last.outcome, context.timeLeft(),
                                      [this, &context](RetryPurpose purpose) {
                                          return m_state->tryTakeRetry(context.service, purpose);
                                      });
        if (verdict != AttemptVerdict::TryAnother)
            break;
    }
    if (verdict == AttemptVerdict::TryAnother) {
        // No other endpoint is left for a retry.
        const bool hasAnswer = last.outcome == SendOutcome::Failed;
        verdict = hasAnswer       ? AttemptVerdict::ForwardAnswer
            : policy.mayHaveRun() ? AttemptVerdict::FailUnknown
                                  : AttemptVerdict::RefuseNotRun;
    }
    finish(context, verdict, last);
}

template <PlatformProtocol P>
void PlainForwarder<P>::finish(RequestContext &context, AttemptVerdict verdict, Attempt &attempt)
{
    switch (verdict) {
    case AttemptVerdict::ForwardAnswer: {
        const bool succeeded = attempt.outcome == SendOutcome::Succeeded;
        context.firstByteAt = ServingState::now();
        const Result<void> sent = context.writer.send(attempt.answer);
        const ResultCode code = !sent ? sent.error().code
            : succeeded               ? ResultCode::Ok
                                      : ResultCode::BackEndRefused;
        noteOutcome(*m_state, context, code, attempt.answer.status);
        break;
    }
    case AttemptVerdict::Abandon:
        context.writer.abort();
        noteOutcome(*m_state, context, ResultCode::Cancelled, 0);
        break;
    case AttemptVerdict::FailUnknown:
        refuse<P>(*m_state, context,
                  unknownProblem(attempt.outcome, "the endpoint gave no whole answer"));
        break;
    default:
        if (const std::optional<net::Problem> problem = m_guard->refusal(context)) {
            refuse<P>(*m_state, context, *problem);
            break;
        }
        refuse<P>(*m_state, context,
                  notRunProblem(*m_state, context,
                                context.attempts == 0 ? ResultCode::NoEndpoint
                                                      : ResultCode::BackEndRefused,
                                "no endpoint of the service took the request"));
        break;
    }
}

} // namespace fescue::serving
