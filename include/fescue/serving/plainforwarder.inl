#pragma once

#include "fescue/core/parsenumber.h"

namespace fescue::serving {

// Maximum size of a plain service's answer; equals the maximum size of a caller's request.
inline constexpr std::size_t maxPlainAnswerBytes = std::size_t {8} * 1024 * 1024;
// Interval at which an answer that has no memory tries again to get it.
inline constexpr Millis answerMemoryPollInterval {20};

// An endpoint that rejected a request counts as under pressure for this time.
inline constexpr Millis pressureTime {2000};

template <PlatformProtocol P>
const EndpointView *PlainForwarder<P>::choose(const RequestContext &context,
                                              const PlacementDemand &demand, bool mayRepeat)
{
    const double uniform = m_state->uniform();
    return m_state->chooseByVersion(
        context.service, context.attempts > 0,
        [&](const std::vector<const EndpointView *> &candidates) -> const EndpointView * {
            const PlacementView view = m_state->placementView(context.service);
            const EndpointView *endpoint = choosePlain(candidates, view, demand, uniform);
            if (endpoint == nullptr && mayRepeat)
                endpoint = choosePlain(candidates, view, {}, uniform);
            return endpoint != nullptr && m_state->tryTakeColdShare(*endpoint) ? endpoint : nullptr;
        });
}

template <PlatformProtocol P>
const EndpointView *PlainForwarder<P>::granted(const RequestContext &context, const SlotGrant &slot)
{
    if (slot.outcome != SlotOutcome::Granted)
        return nullptr;
    for (const EndpointView *view : m_state->candidates(context.service)) {
        if (view->record.name == slot.endpoint)
            return m_state->tryTakeColdShare(*view) ? view : nullptr;
    }
    return nullptr;
}

template <PlatformProtocol P>
SlotWish PlainForwarder<P>::wishOf(const RequestContext &context, const PlacementDemand &demand,
                                   bool mayRepeat)
{
    const AccountSpec *account = context.account;
    std::set<EndpointName> excluded;
    if (!mayRepeat)
        excluded = demand.excluded;
    const PlacementView view = m_state->placementView(context.service);
    for (const EndpointView *endpoint : m_state->candidates(context.service)) {
        if (!view.hasColdShareLeft(*endpoint))
            excluded.insert(endpoint->record.name);
    }
    return {context.service,
            account != nullptr ? account->name : AccountName(),
            slotPriority(context.routes->config(), context.service, *context.route, account),
            context.deadline,
            context.route->targetLatency,
            demand.excluded,
            std::move(excluded),
            [&context] { return context.writer.callerGone(); }};
}

template <PlatformProtocol P>
bool PlainForwarder<P>::hasUntried(const RequestContext &context, const PlacementDemand &demand)
{
    return choosePlain(m_state->candidates(context.service),
                       m_state->placementView(context.service), demand, m_state->uniform())
        != nullptr;
}

template <PlatformProtocol P>
Millis PlainForwarder<P>::settleTimeOf(const RequestContext &context,
                                       const EndpointRecord &endpoint, bool hasSlot) const
{
    const Millis now = ServingState::now();
    const ServiceSpec *service = context.routes->findService(context.service);
    // The broker of shared slots counts the requests.
    const std::uint32_t requests = hasSlot ? 0 : m_state->ledger.total(now, endpoint.name).requests;
    return connectionSettleTime(
        {service == nullptr ? 0 : service->maxConnections, endpoint.slots, requests,
         m_state->pressedEndpoints.isPaused(now, endpoint.name, endpoint.incarnation)});
}

template <PlatformProtocol P>
typename PlainForwarder<P>::Attempt
PlainForwarder<P>::attempt(RequestContext &context, const EndpointRecord &endpoint, bool hasSlot,
                           const std::function<bool()> &takeOther, net::ByteReservation &memory)
{
    EngineSend send = makeSend(context, endpoint);
    send.settleTime = settleTimeOf(context, endpoint, hasSlot);
    const ScopedLoad load(m_state->ledger, endpoint.name, {1, 0, 0});
    const Millis patientUntil = ServingState::now() + attemptPatience(context.route->targetLatency);
    Attempt done;
    const std::function<bool()> abandoned = [&context, &takeOther, &done, patientUntil] {
        if (context.writer.callerGone())
            return true;
        if (!done.retryTaken && ServingState::now() >= patientUntil)
            done.retryTaken = takeOther();
        return done.retryTaken;
    };
    ExchangeResult result =
        exchange<P>(*m_state, context, endpoint, send, context.timeLeft(), abandoned);
    done.outcome = result.outcome;
    const bool hasAnswer =
        result.outcome == SendOutcome::Succeeded || result.outcome == SendOutcome::Failed;
    if (hasAnswer) {
        Result<std::string> body = readAnswer(result.stream, context, memory, context.deadline);
        if (body) {
            done.answer = {result.head.status, P::answerHeaders(result.stream.headers()),
                           std::move(*body)};
        } else {
            done.outcome = outcomeOf(body.error());
            result.detail = body.error().message;
        }
    }
    if (done.outcome == SendOutcome::CallerGone && done.retryTaken) {
        done.outcome = SendOutcome::TimedOut;
        result.detail = "ended in favour of another endpoint";
    }
    noteAttempt(*m_state, context, endpoint, done.outcome, result.detail);
    const bool rejected = done.outcome == SendOutcome::NotRun
        || done.outcome == SendOutcome::NotSent || done.outcome == SendOutcome::Lost;
    if (rejected) {
        m_state->pressedEndpoints.pause(ServingState::now(), endpoint.name, endpoint.incarnation,
                                        pressureTime);
    }
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
    AttemptPolicy policy(route.kind, route.maxAttempts);
    PlacementDemand demand;
    net::ByteReservation memory(*m_state->bodyBudget);
    Attempt last;
    AttemptVerdict verdict = AttemptVerdict::RefuseNotRun;
    bool mayRepeat = false;
    bool isFull = false;
    while (true) {
        // Another attempt must end before the process as well.
        if (policy.sent() > 0 && !m_state->stop.mayTake(context.deadline))
            break;
        SlotGrant slot = m_state->acquireSlot(wishOf(context, demand, mayRepeat));
        if (slot.outcome == SlotOutcome::CallerGone) {
            verdict = AttemptVerdict::Abandon;
            break;
        }
        // A request whose earlier attempt was ended in favour of this one is sent in any case.
        if (slot.outcome == SlotOutcome::Refused && !last.retryTaken) {
            context.detail = "no slot becomes free in time";
            isFull = true;
            break;
        }
        const EndpointView *endpoint = granted(context, slot);
        const bool hasSlot = endpoint != nullptr;
        if (endpoint == nullptr) {
            m_state->giveBackSlot(context.service, slot, SlotUse::Unused);
            slot = {};
            endpoint = choose(context, demand, mayRepeat);
        }
        if (endpoint == nullptr)
            break;
        noteEndpoint(*m_state, context, *endpoint);
        const EndpointRecord record = endpoint->record;
        demand.excluded.insert(record.name);
        const bool isLast = !route.mayRunAgain() || policy.sent() + 1 >= route.maxAttempts;
        const std::function<bool()> takeOther = [this, &context, &demand, isLast] {
            return !isLast && m_state->stop.mayTake(context.deadline) && hasUntried(context, demand)
                && m_state->tryTakeRetry(context.service);
        };
        last = {};
        memory.release();
        last = attempt(context, record, hasSlot, takeOther, memory);
        m_state->giveBackSlot(context.service, slot, slotUseOf(last.outcome));
        mayRepeat = (route.mayRunAgain() && mayRepeatAfter(last.outcome))
            || (hasSlot && last.outcome == SendOutcome::NotRun);
        const auto takeRetry = [this, &context, &demand, &last, mayRepeat](RetryPurpose purpose) {
            return last.retryTaken
                || ((mayRepeat || hasUntried(context, demand))
                    && m_state->tryTakeRetry(context.service, purpose));
        };
        verdict = policy.verdictAfter(last.outcome, context.timeLeft(), takeRetry);
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
    finish(context, verdict, last, isFull);
}

template <PlatformProtocol P>
void PlainForwarder<P>::finish(RequestContext &context, AttemptVerdict verdict, Attempt &attempt,
                               bool isFull)
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
                                isFull                      ? ResultCode::NoCapacity
                                    : context.attempts == 0 ? ResultCode::NoEndpoint
                                                            : ResultCode::BackEndRefused,
                                "no endpoint of the service took the request"));
        break;
    }
}

} // namespace fescue::serving
