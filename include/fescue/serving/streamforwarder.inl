#pragma once

#include "fescue/observe/log.h"

#include <algorithm>
#include <array>

namespace fescue::serving {

// Read size of a stream in bytes; holds several events.
inline constexpr std::size_t streamReadBytes = std::size_t {4} * 1024;
// Maximum size of an engine's answer that is not a stream.
inline constexpr std::size_t maxFailureBytes = std::size_t {1024} * 1024;
// Time after which the stream of a stopped generation must have ended; a connection that is still
// open then is treated as silent.
inline constexpr Millis stoppedStreamGrace = 150_ms;
// Poll interval while a stream that has ended waits for the end of its move.
inline constexpr Millis resumePollInterval = 3_ms;
// Maximum wait for the end of a move after its stream has ended.
inline constexpr Millis maxResumeWait = 2500_ms;
// Time for which a stopped generation asks engines with its memory again after they rejected it,
// and the pause before. Callers abandon streams after a gap of two seconds or more.
inline constexpr Millis maxRejectedResumeTime = 1200_ms;
inline constexpr Millis rejectedResumePause = 150_ms;
// Maximum pause of an engine for which a resuming stream waits; callers abandon streams after a gap
// of two seconds or more.
inline constexpr Millis maxPauseWait = 1800_ms;
// Timeout for the first byte of a stream that resumes on another engine.
inline constexpr Millis resumeTimeout = 3_s;
// Interval at which a held generation is considered again, with a random part so that processes
// that wait for the same engine do not all send at the same moment.
inline constexpr Millis turnCheckInterval = 20_ms;
inline constexpr Millis turnCheckSpread = 20_ms;
// Number of events after which a prompt is considered sound: an engine may still send the first
// event of a prompt that crashes it.
inline constexpr std::uint64_t eventsOfSoundPrompt = 2;
// Smallest status by which an engine reports a fault of its own.
inline constexpr int firstServerFault = 500;

template <PlatformProtocol P>
const EndpointView *StreamForwarder<P>::prefer(const std::vector<const EndpointView *> &candidates,
                                               const RequestContext &context,
                                               const PlacementDemand &demand) const
{
    const PlacementView view = m_state->placementView(context.service);
    const EngineModel *model = context.routes->findEngineModel(context.service);
    return model != nullptr ? chooseEngine(candidates, *model, view, demand, m_state->uniform())
                            : choosePlain(candidates, view, demand, m_state->uniform());
}

template <PlatformProtocol P>
const EndpointView *StreamForwarder<P>::findEngine(const RequestContext &context,
                                                   const PlacementDemand &demand) const
{
    return prefer(m_state->candidates(context.service), context, demand);
}

template <PlatformProtocol P>
const EndpointView *StreamForwarder<P>::choose(const RequestContext &context,
                                               const PlacementDemand &demand)
{
    return m_state->chooseByVersion(
        context.service, context.attempts > 0,
        [&](const std::vector<const EndpointView *> &candidates) -> const EndpointView * {
            const EndpointView *endpoint = prefer(candidates, context, demand);
            return endpoint != nullptr && m_state->tryTakeColdShare(*endpoint) ? endpoint : nullptr;
        });
}

template <PlatformProtocol P>
std::function<bool()> StreamForwarder<P>::abandonCheck(const ForwardedStream &forwarded) const
{
    net::ResponseWriter &writer = forwarded.context.writer;
    const GenerationRunPtr run = forwarded.run;
    return [&writer, run] {
        const bool silent = run->phase == MovePhase::Stopped
            && ServingState::now() - run->stoppedAt > stoppedStreamGrace;
        return silent || writer.callerGone();
    };
}

template <PlatformProtocol P>
void StreamForwarder<P>::serve(RequestContext &context)
{
    ForwardedStream forwarded {.context = context,
                               .run = std::make_shared<GenerationRun>(),
                               .resumption = ResumptionPlan(*context.route, context.position)};
    if (context.route->isResumable)
        forwarded.events.beginAfter(context.position);
    GenerationRun &run = *forwarded.run;
    run.eventsBefore = context.position.value_or(0);
    run.requestId = context.caller.requestId;
    run.service = context.service;
    const EngineModel *model = context.routes->findEngineModel(context.service);
    if (model != nullptr)
        run.tokensPerEvent = model->tokensPerEvent;
    if (context.caller.generation) {
        const GenerationSize &size = *context.caller.generation;
        run.promptTokens = size.promptTokens;
        run.expectedOutputTokens = m_state->expectedOutput(*context.route, size);
    }
    if (!begin(forwarded)) {
        releaseLoad(forwarded);
        return;
    }
    m_state->runs.add(forwarded.run);
    forward(forwarded);
    recordRoom(forwarded);
    releaseLoad(forwarded);
    run.finished = true;
    m_state->runs.remove(forwarded.run);
}

template <PlatformProtocol P>
void StreamForwarder<P>::releaseLoad(ForwardedStream &forwarded)
{
    if (forwarded.load == nullptr)
        return;
    const EndpointName engine = forwarded.load->endpoint();
    const EndpointLoad load = forwarded.load->load();
    forwarded.load.reset();
    const RequestContext &context = forwarded.context;
    if (!context.routes->hasPriorities(context.service))
        return;
    m_state->reportLoadChange(engine, false, load);
}

template <PlatformProtocol P>
void StreamForwarder<P>::recordRoom(const ForwardedStream &forwarded)
{
    const RequestContext &context = forwarded.context;
    if (forwarded.load == nullptr || !context.routes->hasPriorities(context.service))
        return;
    const EndpointView *view = m_state->endpoints.find(forwarded.load->endpoint());
    if (view != nullptr && !m_state->isEnding(*view))
        m_state->recordRoom(context.service);
}

template <PlatformProtocol P>
std::optional<ExchangeResult> StreamForwarder<P>::attempt(ForwardedStream &forwarded,
                                                          AttemptVerdict &verdict)
{
    RequestContext &context = forwarded.context;
    const PlacementDemand &demand = forwarded.demand;
    const EndpointView *endpoint = choose(context, demand);
    if (endpoint == nullptr) {
        const EngineModel *model = context.routes->findEngineModel(context.service);
        if (model != nullptr) {
            context.detail = describeShortage(m_state->candidates(context.service), *model,
                                              m_state->placementView(context.service), demand);
        }
        return std::nullopt;
    }
    noteEndpoint(*m_state, context, *endpoint);
    notePrefix(*m_state, context, *endpoint, demand.promptParts);
    forwarded.run->engine = endpoint->record;
    const EndpointRecord &record = forwarded.run->engine;
    releaseLoad(forwarded);
    forwarded.load = std::make_unique<ScopedLoad>(
        m_state->ledger, record.name, EndpointLoad {1, demand.memoryTokens, demand.prefillTokens});
    m_state->notifyPeers();
    if (context.routes->hasPriorities(context.service)) {
        m_state->reportLoadChange(record.name, true,
                                  {1, demand.memoryTokens, demand.prefillTokens});
    }
    forwarded.prefilling = true;
    EngineSend send = makeGenerationSend(context, record);
    send.lastEventId = forwarded.events.lastId();
    addBackup(forwarded, *endpoint, send);
    ExchangeResult result = exchange<P>(*m_state, context, record, send, context.timeLeft(),
                                        silenceCheck(forwarded, record, abandonCheck(forwarded)));
    if (result.outcome == SendOutcome::CallerGone && forwarded.foundSilent()) {
        result.outcome = SendOutcome::TimedOut;
        result.detail = "the engine is silent and does not answer for itself";
    }
    noteAttempt(*m_state, context, record, result.outcome, result.detail);
    if (result.outcome == SendOutcome::Lost)
        m_guard->recordLoss(context, record);
    AttemptPolicy &policy = forwarded.resumption.policy();
    const std::uint32_t sentBefore = policy.sent();
    // Another engine would find the same fault in the request.
    const bool faultsRequest =
        result.outcome == SendOutcome::Failed && result.head.status < firstServerFault;
    verdict = policy.verdictAfter(
        result.outcome, context.timeLeft(), [this, &context, faultsRequest](RetryPurpose purpose) {
            return !faultsRequest && m_state->tryTakeRetry(context.service, purpose);
        });
    if (policy.sent() > sentBefore)
        forwarded.resumption.recordEngine({record.name, record.incarnation});
    return result;
}

template <PlatformProtocol P>
std::optional<ExchangeResult> StreamForwarder<P>::attemptUntilAnswered(ForwardedStream &forwarded,
                                                                       AttemptVerdict &verdict)
{
    const AttemptPolicy &policy = forwarded.resumption.policy();
    std::optional<ExchangeResult> last;
    verdict = AttemptVerdict::RefuseNotRun;
    do {
        std::optional<ExchangeResult> result = attempt(forwarded, verdict);
        if (!result)
            break;
        last = std::move(result);
        forwarded.demand.excluded.insert(forwarded.run->engine.name);
        // A run that follows another one must end before the process as well.
        if (policy.sent() > 0 && !m_state->stop.mayTake(forwarded.context.deadline))
            break;
    } while (verdict == AttemptVerdict::TryAnother);
    if (verdict == AttemptVerdict::TryAnother) {
        const bool hasAnswer = last && last->outcome == SendOutcome::Failed;
        verdict = hasAnswer       ? AttemptVerdict::ForwardAnswer
            : policy.mayHaveRun() ? AttemptVerdict::FailUnknown
                                  : AttemptVerdict::RefuseNotRun;
    }
    return last;
}

template <PlatformProtocol P>
void StreamForwarder<P>::updateDemand(ForwardedStream &forwarded) const
{
    forwarded.demand.memoryTokens = forwarded.run->reservedTokens();
    forwarded.demand.prefillTokens = forwarded.run->memoryTokens();
    forwarded.demand.mostUrgent = priorityInForce(forwarded.context) == 0;
    if (forwarded.context.route->sharesPrefixes)
        forwarded.demand.promptParts = forwarded.context.caller.promptParts;
}

template <PlatformProtocol P>
bool StreamForwarder<P>::hasOtherEngine(const ForwardedStream &forwarded,
                                        const EndpointName &engine) const
{
    PlacementDemand demand = forwarded.demand;
    demand.excluded.insert(engine);
    return findEngine(forwarded.context, demand) != nullptr;
}

template <PlatformProtocol P>
std::function<bool()> StreamForwarder<P>::silenceCheck(ForwardedStream &forwarded,
                                                       const EndpointRecord &engine,
                                                       std::function<bool()> abandoned)
{
    const std::optional<Millis> limit = forwarded.resumption.silenceLimit();
    if (!limit)
        return abandoned;
    forwarded.silence = std::make_shared<SilenceWatch>();
    const std::shared_ptr<SilenceWatch> watch = forwarded.silence;
    watch->heardAt = ServingState::now();
    return [this, &forwarded, watch, engine, limit = *limit, abandoned = std::move(abandoned)] {
        if (abandoned())
            return true;
        const Millis now = ServingState::now();
        const bool mayLeave = now - std::max(watch->heardAt, watch->askedAt) > limit
            && hasOtherEngine(forwarded, engine.name);
        if (mayLeave) {
            watch->askedAt = now;
            m_state->pool.spawn(net::currentWorker(), [this, watch, engine] {
                const bool responsive = isResponsive(engine);
                watch->isUnresponsive = !responsive && watch->heardAt < watch->askedAt;
            });
        }
        return watch->isUnresponsive;
    };
}

template <PlatformProtocol P>
bool StreamForwarder<P>::isResponsive(const EndpointRecord &engine)
{
    const Result<net::HttpResponse> answer =
        callEndpoint<P>(*m_state, engine, P::encodeReportCall(), reportTimeout);
    if (!answer && outcomeOf(answer.error()) == SendOutcome::Refused)
        m_state->recordRefusedConnection(engine);
    // Nothing is sent to an engine that asked for a pause.
    return answer || answer.error().code == ResultCode::BackEndRefused;
}

template <PlatformProtocol P>
void StreamForwarder<P>::addBackup(ForwardedStream &forwarded, const EndpointView &engine,
                                   EngineSend &send)
{
    GenerationRun &run = *forwarded.run;
    run.backup.reset();
    forwarded.backupLoad.reset();
    const EngineModel *model = forwarded.context.routes->findEngineModel(run.service);
    const std::uint64_t reserved = run.reservedTokens();
    if (model == nullptr || run.remainingTokens() < minTokensForCopy)
        return;
    const std::vector<const EndpointView *> candidates = m_state->candidates(run.service);
    const EndpointView *backup =
        chooseBackup(engine, reserved, candidates, *model, m_state->placementView(run.service));
    if (backup == nullptr)
        return;
    run.backup = backup->record;
    send.backup = backup->record.address;
    forwarded.backupLoad = std::make_unique<ScopedLoad>(m_state->ledger, backup->record.name,
                                                        EndpointLoad {0, reserved, 0});
}

template <PlatformProtocol P>
typename StreamForwarder<P>::TurnEnd StreamForwarder<P>::waitForTurn(const RequestContext &context,
                                                                     const PlacementDemand &demand)
{
    const EngineModel *model = context.routes->findEngineModel(context.service);
    if (model == nullptr || !context.routes->hasPriorities(context.service))
        return TurnEnd::Start;
    const Millis begun = ServingState::now();
    TurnRequest request;
    request.mostUrgent = demand.mostUrgent;
    request.targetLatency = context.route->targetLatency;
    request.overShare = context.account != nullptr
        && isOverShare(m_state->accountUse.shareRatio(begun, context.account->name));
    const Millis before = context.waitedBefore();
    request.hasReturned = before >= minReturnDelay;
    while (true) {
        const Millis now = ServingState::now();
        request.held = now - begun;
        request.waited = now - context.arrivedAt + before;
        const PlacementView view = m_state->placementView(context.service);
        const EndpointView *engine = chooseEngine(m_state->candidates(context.service), *model,
                                                  view, demand, m_state->uniform());
        request.offer = engine == nullptr
            ? std::nullopt
            : std::optional<StartOffer>(startOffer(*engine, view, demand));
        const TurnStep step = decideTurn(request);
        if (step == TurnStep::Start && context.account != nullptr)
            m_state->accountUse.record(now, context.account->name, demand.prefillTokens);
        // Half of the caller's time is left for the answer.
        const bool isShort = context.timeLeft() <= request.held;
        if (step != TurnStep::Wait || isShort) {
            noteHeld(*m_state, context, request, step);
            return TurnEnd::Start;
        }
        net::sleepFor(
            turnCheckInterval
            + Millis {static_cast<std::int64_t>(turnCheckSpread.count * m_state->uniform())});
        const bool isStopping = !m_state->stop.mayTake(context.deadline);
        if (isStopping || context.writer.callerGone()) {
            noteHeld(*m_state, context, request, step);
            return isStopping ? TurnEnd::Stopping : TurnEnd::CallerGone;
        }
    }
}

template <PlatformProtocol P>
bool StreamForwarder<P>::begin(ForwardedStream &forwarded)
{
    RequestContext &context = forwarded.context;
    updateDemand(forwarded);
    const TurnEnd turn = waitForTurn(context, forwarded.demand);
    if (turn == TurnEnd::CallerGone) {
        context.writer.abort();
        noteOutcome(*m_state, context, ResultCode::Cancelled, 0);
        return false;
    }
    if (turn == TurnEnd::Stopping) {
        refuse<P>(*m_state, context,
                  notRunProblem(*m_state, context, ResultCode::ShuttingDown,
                                "this entry is shutting down"));
        return false;
    }
    AttemptVerdict verdict = AttemptVerdict::RefuseNotRun;
    std::optional<ExchangeResult> result = attemptUntilAnswered(forwarded, verdict);
    if (result && result->outcome == SendOutcome::Succeeded) {
        forwarded.upstream = std::move(result->stream);
        forwarded.headers = P::answerHeaders(forwarded.upstream.headers());
        return true;
    }
    if (verdict == AttemptVerdict::ForwardAnswer) {
        forwardFailure(context, *result);
    } else if (verdict == AttemptVerdict::Abandon) {
        context.writer.abort();
        noteOutcome(*m_state, context, ResultCode::Cancelled, 0);
    } else if (forwarded.resumption.policy().mayHaveRun()) {
        const SendOutcome outcome = result ? result->outcome : SendOutcome::Lost;
        refuse<P>(*m_state, context, unknownProblem(outcome, "the engine gave no answer"));
    } else if (const std::optional<net::Problem> problem = m_guard->refusal(context)) {
        refuse<P>(*m_state, context, *problem);
    } else {
        const ResultCode code =
            context.attempts == 0 ? ResultCode::NoCapacity : ResultCode::BackEndRefused;
        refuse<P>(*m_state, context, notRunProblem(*m_state, context, code, "no engine has room"));
    }
    return false;
}

template <PlatformProtocol P>
void StreamForwarder<P>::forwardFailure(RequestContext &context, ExchangeResult &result)
{
    net::ByteReservation memory(*m_state->bodyBudget);
    Result<std::string> body =
        result.stream.readAll(maxFailureBytes, context.timeLeft(),
                              [&memory](std::size_t n) { return memory.reserve(n); });
    if (!body) {
        context.detail = body.error().message;
        refuse<P>(*m_state, context,
                  unknownProblem(outcomeOf(body.error()), "the engine's answer broke off"));
        return;
    }
    const net::HttpResponse answer {result.head.status, P::answerHeaders(result.stream.headers()),
                                    std::move(*body)};
    const Result<void> sent = context.writer.send(answer);
    noteOutcome(*m_state, context, sent ? ResultCode::BackEndRefused : sent.error().code,
                result.head.status);
}

template <PlatformProtocol P>
void StreamForwarder<P>::forward(ForwardedStream &forwarded)
{
    RequestContext &context = forwarded.context;
    while (true) {
        StreamEnd end = forwardUntilBreak(forwarded);
        if (end == StreamEnd::Complete)
            end = judgeEnd(forwarded);
        const bool mayBeCrash =
            end == StreamEnd::EngineLost && forwarded.run->phase == MovePhase::Running;
        if (mayBeCrash && !context.promptStarted)
            m_guard->recordLoss(context, forwarded.run->engine);
        const EndpointRecord broken = forwarded.run->engine;
        forwarded.brokenWait.reset();
        const bool resumed = forwarded.resumption.isBreak(end) && resume(forwarded);
        if (!resumed) {
            if (forwarded.resumption.isResumable() && context.writer.callerGone())
                end = StreamEnd::CallerGone;
            finish(forwarded, end, broken);
            return;
        }
        if (mayBeCrash)
            noteBreak(forwarded, broken);
    }
}

template <PlatformProtocol P>
void StreamForwarder<P>::noteBreak(ForwardedStream &forwarded, const EndpointRecord &broken)
{
    if (forwarded.brokenWait)
        noteEarlierStreamFailure(*m_state, forwarded.context, broken, *forwarded.brokenWait);
    else
        noteStreamFailure(*m_state, forwarded.context, broken);
}

template <PlatformProtocol P>
StreamEnd StreamForwarder<P>::forwardUntilBreak(ForwardedStream &forwarded)
{
    RequestContext &context = forwarded.context;
    std::array<char, streamReadBytes> buf {};
    while (true) {
        const Millis left = context.timeLeft();
        if (left <= Millis {0})
            return StreamEnd::DeadlinePassed;
        const Result<std::size_t> n = forwarded.upstream.read(buf, left);
        if (!n) {
            context.detail = n.error().message;
            if (n.error().code == ResultCode::LinkSilent)
                return StreamEnd::DeadlinePassed;
            if (n.error().code == ResultCode::Cancelled && forwarded.foundSilent())
                return StreamEnd::EngineSilent;
            const bool callerGone = n.error().code == ResultCode::Cancelled
                && forwarded.run->phase != MovePhase::Stopped;
            return callerGone ? StreamEnd::CallerGone : StreamEnd::EngineLost;
        }
        if (*n == 0)
            return StreamEnd::Complete;
        if (forwarded.silence)
            forwarded.silence->heardAt = ServingState::now();
        const bool isSound = forwarded.events.feed(std::string_view(buf.data(), *n));
        if (!isSound && !forwarded.resumption.isResumable())
            return StreamEnd::Malformed;
        if (!forwardReady(forwarded))
            return StreamEnd::CallerGone;
        if (!isSound)
            return StreamEnd::Malformed;
        if (forwarded.run->phase == MovePhase::FailingOver)
            failOver(forwarded);
    }
}

template <PlatformProtocol P>
StreamEnd StreamForwarder<P>::judgeEnd(ForwardedStream &forwarded)
{
    const GenerationRun &run = *forwarded.run;
    const bool endsWithConnection = forwarded.upstream.bodyEndsWithConnection();
    const StreamEnd end = forwarded.resumption.endOfPart(forwarded.events, endsWithConnection);
    if (end != StreamEnd::Complete || !endsWithConnection)
        return end;
    // An engine that stops a generation for a move closes its connection as well. It answers that
    // it runs no such generation if the stream had ended by itself before.
    waitForStopAnswer(run);
    const bool mayBeStopped = run.phase == MovePhase::Stopping || run.phase == MovePhase::Stopped
        || run.phase == MovePhase::Broken;
    if (!mayBeStopped)
        return StreamEnd::Complete;
    observe::logChange("stream-stopped",
                       {{"id", run.requestId},
                        {"endpoint", run.engine.name.text()},
                        {"resumable", run.phase == MovePhase::Stopped ? "yes" : "no"},
                        {"events", forwarded.events.events()}});
    return StreamEnd::EngineLost;
}

template <PlatformProtocol P>
void StreamForwarder<P>::waitForStopAnswer(const GenerationRun &run)
{
    const Millis until = ServingState::now() + maxResumeWait;
    while (run.phase == MovePhase::Stopping && ServingState::now() < until)
        net::sleepFor(resumePollInterval);
}

template <PlatformProtocol P>
void StreamForwarder<P>::failOver(ForwardedStream &forwarded)
{
    GenerationRun &run = *forwarded.run;
    net::ClientStream source = std::move(forwarded.upstream);
    // The check of the source's stream goes on with its own watch.
    const std::shared_ptr<SilenceWatch> silence = forwarded.silence;
    // The stream goes on at the source, so it does not wait for an engine that is paused.
    const auto mayCall = [this](const std::optional<EndpointRecord> &engine) {
        return engine && m_state->mayCall(*engine);
    };
    const bool isResumed = (mayCall(run.backup) && resumeFromBackup(forwarded))
        || (mayCall(run.standbyEngine) && resumeFromStandbyCopy(forwarded));
    if (isResumed) {
        // The engine may keep generating for a moment; closing the connection stops it.
        source.close();
        return;
    }
    forwarded.upstream = std::move(source);
    forwarded.silence = silence;
    run.phase = MovePhase::Running;
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resumeFromBackup(ForwardedStream &forwarded)
{
    GenerationRun &run = *forwarded.run;
    if (!run.backup)
        return false;
    const EndpointRecord backup = *run.backup;
    run.backup.reset();
    forwarded.backupLoad.reset();
    if (m_state->endpoints.isZoneOut(backup.zone) || !m_state->tryTakeRetryForResume(run))
        return false;
    run.resume = ResumePoint {backup.address, run.requestId, forwarded.events.lastId()};
    return resumeAt(forwarded, backup);
}

template <PlatformProtocol P>
bool StreamForwarder<P>::forwardReady(ForwardedStream &forwarded)
{
    const std::string_view ready = forwarded.events.ready();
    if (ready.empty())
        return true;
    RequestContext &context = forwarded.context;
    if (!forwarded.started) {
        forwarded.started = true;
        context.firstByteAt = ServingState::now();
        const Result<void> begun =
            context.writer.startStream(forwarded.upstream.status(), forwarded.headers);
        if (!begun)
            return false;
    }
    if (std::exchange(forwarded.prefilling, false)) {
        const std::uint64_t prefillTokens = forwarded.load->load().prefillTokens;
        forwarded.load->prefillDone();
        if (forwarded.context.routes->hasPriorities(forwarded.context.service)) {
            m_state->reportLoadChange(forwarded.load->endpoint(), false, {0, 0, prefillTokens});
        }
    }
    // Several first events may arrive together.
    const bool isFirst = forwarded.run->events == 0 && forwarded.events.events() > 0;
    forwarded.run->events = forwarded.events.events();
    context.events = forwarded.run->events;
    const Result<void> written = context.writer.write(ready);
    forwarded.events.clearReady();
    if (context.events >= eventsOfSoundPrompt)
        m_guard->recordStart(context);
    if (isFirst) {
        noteStreamStart(*m_state, context, forwarded.run->engine);
        m_mover->moveIfLeaving(forwarded.run);
        m_mover->startStandbyCopy(forwarded.run);
    }
    return written.has_value();
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resume(ForwardedStream &forwarded)
{
    GenerationRun &run = *forwarded.run;
    forwarded.upstream = {};
    waitForStopAnswer(run);
    if (run.phase == MovePhase::Stopped && resumeAfterMove(forwarded))
        return true;
    return resumeFromBackup(forwarded) || resumeFromStandbyCopy(forwarded) || runAgain(forwarded);
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resumeAfterMove(ForwardedStream &forwarded)
{
    GenerationRun &run = *forwarded.run;
    run.resume->lastEventId = forwarded.events.lastId();
    std::vector<EndpointRecord> holders {run.destination};
    // The engine that stopped the generation also retains its memory.
    if (run.destination.name != run.engine.name)
        holders.push_back(run.engine);
    const Millis until = ServingState::now() + maxRejectedResumeTime;
    while (true) {
        std::vector<EndpointRecord> rejecting;
        for (const EndpointRecord &holder : holders) {
            if (resumeAt(forwarded, holder))
                return true;
            if (forwarded.resumeOutcome == SendOutcome::NotRun)
                rejecting.push_back(holder);
        }
        holders = std::move(rejecting);
        const bool isInTime = ServingState::now() + rejectedResumePause < until;
        if (holders.empty() || !isInTime || forwarded.context.writer.callerGone()
            || !m_state->tryTakeRetryForResume(run))
            return false;
        net::sleepFor(rejectedResumePause);
    }
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resumeFromStandbyCopy(ForwardedStream &forwarded)
{
    GenerationRun &run = *forwarded.run;
    if (!run.standbyEngine || run.standbyHandle.empty())
        return false;
    const EndpointRecord standby = *run.standbyEngine;
    if (m_state->endpoints.isZoneOut(standby.zone) || !m_state->tryTakeRetryForResume(run))
        return false;
    run.resume = ResumePoint {run.engine.address, run.standbyHandle, forwarded.events.lastId()};
    const bool isResumed = resumeAt(forwarded, standby);
    // A copy for which nothing was sent may be used later, and is freed in the end.
    if (!isResumed && forwarded.resumeOutcome != SendOutcome::NotSent)
        run.clearStandbyCopy();
    return isResumed;
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resumeAt(ForwardedStream &forwarded, const EndpointRecord &engine)
{
    RequestContext &context = forwarded.context;
    GenerationRun &run = *forwarded.run;
    const Millis begun = ServingState::now();
    forwarded.resumeOutcome = SendOutcome::NotSent;
    if (!waitForPauseEnd(context, engine))
        return false;
    EngineSend send = makeGenerationSend(context, engine);
    send.resume = run.resume;
    const EndpointView *view = m_state->endpoints.find(engine.name);
    if (view != nullptr)
        addBackup(forwarded, *view, send);
    net::ResponseWriter &writer = context.writer;
    ExchangeResult result =
        exchange<P>(*m_state, context, engine, send, std::min(resumeTimeout, context.timeLeft()),
                    silenceCheck(forwarded, engine, [&writer] { return writer.callerGone(); }));
    forwarded.resumeOutcome = result.outcome;
    observe::logChange("resume",
                       {{"id", run.requestId},
                        {"endpoint", engine.name.text()},
                        {"outcome", serving::toString(result.outcome)},
                        {"from", run.resume->engine.toString()},
                        {"last_event", forwarded.events.lastId().value_or(0)},
                        {"events", forwarded.events.events()},
                        {"took_ms", (ServingState::now() - begun).count},
                        {"detail", result.detail}});
    const bool mayHaveRun = result.outcome == SendOutcome::Lost
        || result.outcome == SendOutcome::TimedOut || result.outcome == SendOutcome::Foreign
        || result.outcome == SendOutcome::Failed;
    if (mayHaveRun || result.outcome == SendOutcome::Succeeded) {
        forwarded.resumption.policy().countResumed();
        forwarded.resumption.recordEngine({engine.name, engine.incarnation});
    }
    if (result.outcome != SendOutcome::Succeeded) {
        forwarded.demand.excluded.insert(engine.name);
        run.backup.reset();
        forwarded.backupLoad.reset();
        return false;
    }
    forwarded.load = std::make_unique<ScopedLoad>(m_state->ledger, engine.name,
                                                  EndpointLoad {1, run.reservedTokens(), 0});
    m_state->notifyPeers();
    run.engine = engine;
    forwarded.prefilling = false;
    adopt(forwarded, std::move(result.stream));
    return true;
}

template <PlatformProtocol P>
void StreamForwarder<P>::adopt(ForwardedStream &forwarded, net::ClientStream &&stream)
{
    GenerationRun &run = *forwarded.run;
    forwarded.upstream = std::move(stream);
    forwarded.events.resume();
    run.phase = MovePhase::Running;
    run.resume.reset();
    // The caller has had its first event, so nothing more is waited for.
    if (run.events > 0)
        forwarded.context.wait.end();
    ++forwarded.context.moves;
    run.clearStandbyCopy();
    m_mover->moveIfLeaving(forwarded.run);
    m_mover->startStandbyCopy(forwarded.run);
}

template <PlatformProtocol P>
bool StreamForwarder<P>::canRunAgain(ForwardedStream &forwarded)
{
    const RequestContext &context = forwarded.context;
    return m_state->stop.mayTake(context.deadline) && !context.writer.callerGone()
        && forwarded.resumption.mayRunAgain(
            context.timeLeft(), [this](const EndpointIncarnation &engine) {
                const EndpointView *view = m_state->endpoints.find(engine.endpoint);
                return view == nullptr || view->record.incarnation != engine.incarnation
                    || m_state->refusingEndpoints.isPaused(ServingState::now(), engine.endpoint,
                                                           engine.incarnation);
            });
}

template <PlatformProtocol P>
bool StreamForwarder<P>::runAgain(ForwardedStream &forwarded)
{
    RequestContext &context = forwarded.context;
    GenerationRun &run = *forwarded.run;
    if (!forwarded.resumption.isResumable())
        return false;
    const Millis begun = ServingState::now();
    const EndpointName failed = run.engine.name;
    m_state->health.record(begun, failed, false);
    const bool mayRun = canRunAgain(forwarded) && m_state->tryTakeRetryForResume(run);
    std::optional<ExchangeResult> result;
    if (mayRun) {
        // The engine that failed the generation, and a move away from it, have no part in it now.
        run.phase = MovePhase::RunningAgain;
        run.resume.reset();
        forwarded.demand.excluded.insert(failed);
        updateDemand(forwarded);
        // An attempt begins a wait of its own.
        forwarded.brokenWait = endVersionWait(context);
        AttemptVerdict verdict = AttemptVerdict::RefuseNotRun;
        result = attemptUntilAnswered(forwarded, verdict);
    }
    const bool succeeded = result && result->outcome == SendOutcome::Succeeded;
    const std::string_view outcome = !mayRun ? std::string_view("not-allowed")
        : !result                            ? std::string_view("no-engine")
                                             : serving::toString(result->outcome);
    observe::logChange("run-again",
                       {{"id", run.requestId},
                        {"from", failed.text()},
                        {"endpoint", result ? run.engine.name.text() : std::string_view()},
                        {"outcome", outcome},
                        {"last_event", forwarded.events.lastId().value_or(0)},
                        {"events", forwarded.events.events()},
                        {"took_ms", (ServingState::now() - begun).count},
                        {"left_ms", context.timeLeft().count},
                        {"detail", context.detail}});
    m_state->metrics.counter("fescue_streams_run_again_total", {{"outcome", std::string(outcome)}})
        .Increment();
    if (!succeeded)
        return false;
    // Without an event the caller has seen nothing of the first engine.
    if (!forwarded.started)
        forwarded.headers = P::answerHeaders(result->stream.headers());
    adopt(forwarded, std::move(result->stream));
    return true;
}

template <PlatformProtocol P>
bool StreamForwarder<P>::waitForPauseEnd(const RequestContext &context,
                                         const EndpointRecord &engine)
{
    const Millis pause =
        m_state->pauses.remaining(ServingState::now(), engine.name, engine.incarnation);
    if (pause == Millis {0})
        return true;
    const bool waits = pause <= std::min(maxPauseWait, context.timeLeft());
    observe::logChange("resume-pause",
                       {{"id", context.caller.requestId},
                        {"endpoint", engine.name.text()},
                        {"pause_ms", pause.count},
                        {"waits", waits ? "yes" : "no"}});
    if (!waits)
        return false;
    net::sleepFor(pause);
    return !context.writer.callerGone() && m_state->mayCall(engine);
}

template <PlatformProtocol P>
void StreamForwarder<P>::finish(ForwardedStream &forwarded, StreamEnd end,
                                const EndpointRecord &broken)
{
    RequestContext &context = forwarded.context;
    const int status = forwarded.started ? forwarded.upstream.status() : 0;
    if (end == StreamEnd::Complete) {
        m_guard->recordStart(context);
        if (!forwarded.started)
            static_cast<void>(
                context.writer.startStream(forwarded.upstream.status(), forwarded.headers));
        const Result<void> ended = context.writer.finish();
        m_state->observeOutput(*context.route,
                               static_cast<std::uint32_t>(forwarded.run->producedTokens()));
        noteOutcome(*m_state, context, ended ? ResultCode::Ok : ended.error().code, status);
        return;
    }
    if (end == StreamEnd::CallerGone) {
        noteCallerLeft(*m_state, context, broken);
        forwarded.upstream.close();
        context.writer.abort();
        noteOutcome(*m_state, context, ResultCode::Cancelled, status);
        return;
    }
    const bool late = end == StreamEnd::DeadlinePassed || end == StreamEnd::EngineSilent;
    const ResultCode code = late       ? ResultCode::BackEndTimeout
        : end == StreamEnd::EngineLost ? ResultCode::GenerationLost
                                       : ResultCode::BackEndProtocol;
    m_state->health.record(ServingState::now(), broken.name, false);
    noteBreak(forwarded, broken);
    forwarded.upstream.close();
    if (forwarded.started) {
        context.writer.abort();
        noteOutcome(*m_state, context, code, status);
        return;
    }
    const SendOutcome outcome = late ? SendOutcome::TimedOut : SendOutcome::Lost;
    refuse<P>(*m_state, context,
              unknownProblem(outcome, "the engine's stream broke off before its first event"));
}

} // namespace fescue::serving
