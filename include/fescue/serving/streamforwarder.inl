#pragma once

#include "fescue/observe/log.h"

#include <algorithm>
#include <array>

namespace fescue::serving {

// Bytes that are read from a stream at once; several events.
inline constexpr std::size_t streamReadBytes = std::size_t {4} * 1024;
// Longest answer of an engine that is not a stream.
inline constexpr std::size_t maxFailureBytes = std::size_t {1024} * 1024;
// A stream whose engine has been asked to stop it ends within this time; after it the connection
// counts as silent.
inline constexpr Millis stoppedStreamGrace = 150_ms;
// Pause while a stream that has ended waits for the end of its move.
inline constexpr Millis resumePoll = 3_ms;
// Longest wait for the end of a move after its stream has ended.
inline constexpr Millis resumeWait = 2500_ms;
// An engine that is to go on with a stream is waited for until its pause ends, if that is within
// this time; callers abandon streams after a gap of two seconds or more.
inline constexpr Millis longestPauseWait = 1800_ms;
// Time for the first byte of a stream that goes on elsewhere.
inline constexpr Millis resumeTimeout = 3_s;

template <PlatformProtocol P>
const EndpointView *StreamForwarder<P>::choose(const RequestContext &context,
                                               const PlacementDemand &demand)
{
    const std::vector<const EndpointView *> candidates = m_state->candidates(context.service);
    const PlacementView view = m_state->placementView(context.service);
    const EngineModel *model = context.routes->findEngineModel(context.service);
    const EndpointView *endpoint = model != nullptr
        ? chooseEngine(candidates, *model, view, demand, m_state->uniform())
        : choosePlain(candidates, view, demand, m_state->uniform());
    return endpoint != nullptr && m_state->takeColdShare(*endpoint) ? endpoint : nullptr;
}

template <PlatformProtocol P>
std::function<bool()> StreamForwarder<P>::abandonCheck(const Passing &passing) const
{
    net::ResponseWriter &writer = passing.context.writer;
    const GenerationRunPtr run = passing.run;
    return [&writer, run] {
        const bool silent = run->phase == MovePhase::Stopped
            && ServingState::now() - run->stoppedAt > stoppedStreamGrace;
        return silent || writer.callerGone();
    };
}

template <PlatformProtocol P>
void StreamForwarder<P>::serve(RequestContext &context)
{
    Passing passing {context, std::make_shared<GenerationRun>(), {}, {}, {}, {}, {}, false};
    GenerationRun &run = *passing.run;
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
    if (!begin(passing))
        return;
    m_state->runs.add(passing.run);
    pass(passing);
    run.finished = true;
    m_state->runs.remove(passing.run);
}

template <PlatformProtocol P>
std::optional<ExchangeResult>
StreamForwarder<P>::attempt(Passing &passing, const PlacementDemand &demand, AttemptPolicy &policy,
                            AttemptVerdict &verdict)
{
    RequestContext &context = passing.context;
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
    passing.run->engine = endpoint->record;
    const EndpointRecord &record = passing.run->engine;
    passing.load = std::make_unique<LoadShare>(
        m_state->ledger, record.name, EndpointLoad {1, demand.memoryTokens, demand.prefillTokens});
    m_state->notifyPeers();
    EngineSend send = makeGenerationSend(context, record);
    addBackup(passing, *endpoint, send);
    ExchangeResult result =
        exchange<P>(*m_state, record, context.request, send, context.caller.requestId,
                    context.timeLeft(), abandonCheck(passing));
    noteAttempt(*m_state, context, record, result.outcome, result.detail);
    verdict = policy.after(result.outcome, context.timeLeft(), [this, &context](RepeatUse use) {
        return m_state->takeRepeat(context.service, use);
    });
    return result;
}

template <PlatformProtocol P>
void StreamForwarder<P>::addBackup(Passing &passing, const EndpointView &engine, EngineSend &send)
{
    GenerationRun &run = *passing.run;
    run.backup.reset();
    passing.backupLoad.reset();
    const EngineModel *model = passing.context.routes->findEngineModel(run.service);
    const std::uint64_t reserved = run.reservedTokens();
    if (model == nullptr || run.remainingTokens() < fewestTokensForCopy)
        return;
    const std::vector<const EndpointView *> candidates = m_state->candidates(run.service);
    const EndpointView *backup =
        chooseBackup(engine, reserved, candidates, *model, m_state->placementView(run.service));
    if (backup == nullptr)
        return;
    run.backup = backup->record;
    send.backup = backup->record.address;
    passing.backupLoad = std::make_unique<LoadShare>(m_state->ledger, backup->record.name,
                                                     EndpointLoad {0, reserved, 0});
}

template <PlatformProtocol P>
bool StreamForwarder<P>::begin(Passing &passing)
{
    RequestContext &context = passing.context;
    AttemptPolicy policy(RouteKind::Streaming, context.route->maxAttempts);
    PlacementDemand demand;
    demand.memoryTokens = passing.run->reservedTokens();
    demand.prefillTokens = passing.run->promptTokens;
    demand.mostUrgent = context.route->priority == 0;
    AttemptVerdict verdict = AttemptVerdict::RefuseNotRun;
    std::optional<ExchangeResult> result;
    do {
        result = attempt(passing, demand, policy, verdict);
        demand.excluded.insert(passing.run->engine.name);
    } while (result && verdict == AttemptVerdict::TryAnother);
    if (result && result->outcome == SendOutcome::Succeeded) {
        passing.upstream = std::move(result->stream);
        passing.headers = P::answerHeaders(passing.upstream.headers());
        return true;
    }
    if (verdict == AttemptVerdict::PassOn) {
        passOnFailure(context, *result);
    } else if (verdict == AttemptVerdict::Abandon) {
        context.writer.abort();
        noteOutcome(*m_state, context, ResultCode::Cancelled, 0);
    } else if (policy.mayHaveRun()) {
        const SendOutcome outcome = result ? result->outcome : SendOutcome::Lost;
        refuse<P>(*m_state, context, unknownProblem(outcome, "the engine gave no answer"));
    } else {
        const ResultCode code =
            context.attempts == 0 ? ResultCode::NoCapacity : ResultCode::BackEndRefused;
        refuse<P>(*m_state, context, notRunProblem(*m_state, context, code, "no engine has room"));
    }
    return false;
}

template <PlatformProtocol P>
void StreamForwarder<P>::passOnFailure(RequestContext &context, ExchangeResult &result)
{
    ByteShare memory(m_state->answerMemory);
    Result<std::string> body = result.stream.readAll(
        maxFailureBytes, context.timeLeft(), [&memory](std::size_t n) { return memory.take(n); });
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
void StreamForwarder<P>::pass(Passing &passing)
{
    while (true) {
        const StreamEnd end = passUntilBreak(passing);
        const bool goesOn = end == StreamEnd::EngineLost && resume(passing);
        if (!goesOn) {
            finish(passing, end);
            return;
        }
    }
}

template <PlatformProtocol P>
typename StreamForwarder<P>::StreamEnd StreamForwarder<P>::passUntilBreak(Passing &passing)
{
    RequestContext &context = passing.context;
    std::array<char, streamReadBytes> buf {};
    while (true) {
        const Millis left = context.timeLeft();
        if (left <= Millis {0})
            return StreamEnd::DeadlinePassed;
        const Result<std::size_t> n = passing.upstream.read(buf, left);
        if (!n) {
            context.detail = n.error().message;
            if (n.error().code == ResultCode::LinkSilent)
                return StreamEnd::DeadlinePassed;
            const bool callerGone =
                n.error().code == ResultCode::Cancelled && passing.run->phase != MovePhase::Stopped;
            return callerGone ? StreamEnd::CallerGone : StreamEnd::EngineLost;
        }
        if (*n == 0)
            return StreamEnd::Complete;
        if (!passing.events.feed(std::string_view(buf.data(), *n)))
            return StreamEnd::Malformed;
        if (!forwardReady(passing))
            return StreamEnd::CallerGone;
        if (passing.run->phase == MovePhase::HandingOver)
            handOver(passing);
    }
}

template <PlatformProtocol P>
void StreamForwarder<P>::handOver(Passing &passing)
{
    GenerationRun &run = *passing.run;
    net::ClientStream source = std::move(passing.upstream);
    if (resumeFromBackup(passing)) {
        // The engine may work on for a moment; closing the connection ends that.
        source.close();
        return;
    }
    passing.upstream = std::move(source);
    run.phase = MovePhase::Running;
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resumeFromBackup(Passing &passing)
{
    GenerationRun &run = *passing.run;
    if (!run.backup)
        return false;
    const EndpointRecord backup = *run.backup;
    run.backup.reset();
    passing.backupLoad.reset();
    if (!m_state->takeRepeatForResume(run))
        return false;
    run.resume = ResumePoint {backup.address, run.requestId, passing.events.lastId()};
    return resumeAt(passing, backup);
}

template <PlatformProtocol P>
bool StreamForwarder<P>::forwardReady(Passing &passing)
{
    const std::string_view ready = passing.events.ready();
    if (ready.empty())
        return true;
    RequestContext &context = passing.context;
    if (!passing.started) {
        passing.started = true;
        context.firstByteAt = ServingState::now();
        passing.load->prefillDone();
        const Result<void> begun =
            context.writer.startStream(passing.upstream.status(), passing.headers);
        if (!begun)
            return false;
    }
    // The first events may arrive together.
    const bool isFirst = passing.run->events == 0;
    passing.run->events = passing.events.events();
    const Result<void> written = context.writer.write(ready);
    passing.events.clearReady();
    if (isFirst) {
        m_mover->check(passing.run);
        m_mover->guard(passing.run);
    }
    return written.has_value();
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resume(Passing &passing)
{
    GenerationRun &run = *passing.run;
    passing.upstream = {};
    const Millis until = ServingState::now() + resumeWait;
    while (run.phase == MovePhase::Stopping && ServingState::now() < until)
        net::sleepFor(resumePoll);
    if (run.phase == MovePhase::Stopped) {
        run.resume->lastEventId = passing.events.lastId();
        const EndpointRecord source = run.engine;
        if (resumeAt(passing, run.destination))
            return true;
        // The engine that stopped the generation keeps its memory as well.
        if (run.destination.name != source.name && resumeAt(passing, source))
            return true;
    }
    return resumeFromBackup(passing) || resumeFromCopy(passing);
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resumeFromCopy(Passing &passing)
{
    GenerationRun &run = *passing.run;
    if (!run.copyAhead || run.copyHandle.empty())
        return false;
    const EndpointRecord keeper = *run.copyAhead;
    const std::string handle = run.copyHandle;
    run.forgetCopy();
    if (!m_state->takeRepeatForResume(run))
        return false;
    run.resume = ResumePoint {run.engine.address, handle, passing.events.lastId()};
    return resumeAt(passing, keeper);
}

template <PlatformProtocol P>
bool StreamForwarder<P>::resumeAt(Passing &passing, const EndpointRecord &engine)
{
    RequestContext &context = passing.context;
    GenerationRun &run = *passing.run;
    const Millis begun = ServingState::now();
    if (!waitForPause(context, engine))
        return false;
    EngineSend send = makeGenerationSend(context, engine);
    send.resume = run.resume;
    const EndpointView *view = m_state->endpoints.find(engine.name);
    if (view != nullptr)
        addBackup(passing, *view, send);
    net::ResponseWriter &writer = context.writer;
    ExchangeResult result = exchange<P>(*m_state, engine, context.request, send, run.requestId,
                                        std::min(resumeTimeout, context.timeLeft()),
                                        [&writer] { return writer.callerGone(); });
    observe::logChange("resume",
                       {{"id", run.requestId},
                        {"endpoint", engine.name.text()},
                        {"outcome", serving::toString(result.outcome)},
                        {"from", run.resume->engine.toString()},
                        {"last_event", passing.events.lastId().value_or(0)},
                        {"events", passing.events.events()},
                        {"took_ms", (ServingState::now() - begun).count},
                        {"detail", result.detail}});
    if (result.outcome != SendOutcome::Succeeded) {
        run.backup.reset();
        passing.backupLoad.reset();
        return false;
    }
    passing.upstream = std::move(result.stream);
    passing.events.resume();
    passing.load = std::make_unique<LoadShare>(m_state->ledger, engine.name,
                                               EndpointLoad {1, run.reservedTokens(), 0});
    m_state->notifyPeers();
    run.engine = engine;
    run.phase = MovePhase::Running;
    run.resume.reset();
    ++context.moves;
    run.forgetCopy();
    m_mover->check(passing.run);
    m_mover->guard(passing.run);
    return true;
}

template <PlatformProtocol P>
bool StreamForwarder<P>::waitForPause(const RequestContext &context, const EndpointRecord &engine)
{
    const Millis pause =
        m_state->pauses.remaining(ServingState::now(), engine.name, engine.incarnation);
    if (pause == Millis {0})
        return true;
    const bool waits = pause <= std::min(longestPauseWait, context.timeLeft());
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
void StreamForwarder<P>::finish(Passing &passing, StreamEnd end)
{
    RequestContext &context = passing.context;
    const int status = passing.started ? passing.upstream.status() : 0;
    if (end == StreamEnd::Complete && !passing.events.midEvent()) {
        if (!passing.started)
            static_cast<void>(
                context.writer.startStream(passing.upstream.status(), passing.headers));
        const Result<void> ended = context.writer.finish();
        m_state->observeOutput(*context.route,
                               static_cast<std::uint32_t>(passing.run->events)
                                   * passing.run->tokensPerEvent);
        noteOutcome(*m_state, context, ended ? ResultCode::Ok : ended.error().code, status);
        return;
    }
    if (end == StreamEnd::CallerGone) {
        passing.upstream.close();
        context.writer.abort();
        noteOutcome(*m_state, context, ResultCode::Cancelled, status);
        return;
    }
    const ResultCode code = end == StreamEnd::DeadlinePassed ? ResultCode::BackEndTimeout
        : end == StreamEnd::EngineLost                       ? ResultCode::GenerationLost
                                                             : ResultCode::BackEndProtocol;
    m_state->health.record(ServingState::now(), passing.run->engine.name, false);
    passing.upstream.close();
    if (passing.started) {
        context.writer.abort();
        noteOutcome(*m_state, context, code, status);
        return;
    }
    const SendOutcome outcome =
        end == StreamEnd::DeadlinePassed ? SendOutcome::TimedOut : SendOutcome::Lost;
    refuse<P>(*m_state, context,
              unknownProblem(outcome, "the engine's stream broke off before its first event"));
}

} // namespace fescue::serving
