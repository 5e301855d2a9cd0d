#pragma once

#include "fescue/observe/log.h"
#include "fescue/serving/periodictask.h"

#include <algorithm>

namespace fescue::serving {

// Pause before a move is planned again because the generation is expected to end in time, no engine
// has room, or another copy is in progress.
inline constexpr Millis moveRetryInterval = 40_ms;
// Timeout of a move call. A copy that takes longer is blocked by a link or an engine that does not
// respond.
inline constexpr Millis moveCallTimeout = 2500_ms;
// Poll interval while the fiber that forwards a stream fails over to the backup.
inline constexpr Millis failoverPollInterval = 10_ms;
// Departure times are deleted this long after the engine's expected end.
inline constexpr Millis departureRetention = 60_s;
// Interval at which a generation without a standby copy is checked again.
inline constexpr Millis standbyCheckInterval = 200_ms;
// Renewal interval of a standby copy, well within its lifetime at the engine.
inline constexpr Millis standbyRenewInterval = 2500_ms;
// Interval at which a generation is handed over again where no request was sent for its copy: the
// retry budget is spent or the destination is paused.
inline constexpr Millis heldBackRetryInterval = 100_ms;
// Generations with fewer remaining tokens end before a copy is worth its cost.
inline constexpr std::uint64_t minTokensForCopy = 200;
inline constexpr Millis reportTimeout = 500_ms;
// Interval at which all processes together poll an engine for its state while the store is silent;
// several polls fit into the shortest notice.
inline constexpr Millis enginePollInterval = 250_ms;
// Pause before a move is planned again for a generation that has no events yet.
inline constexpr Millis unstartedRetryInterval = 30_ms;

template <PlatformProtocol P>
void GenerationMover<P>::evacuate(const EndpointName &engine, std::optional<Millis> leavesIn)
{
    replaceCopies(engine);
    const std::vector<GenerationRunPtr> runs = m_state->runs.runsAt(engine);
    const EndpointView *view = m_state->endpoints.find(engine);
    if (runs.empty() || view == nullptr)
        return;
    const EndpointRecord record = view->record;
    std::erase_if(m_expectedEnds, [](const std::pair<const EndpointName, Millis> &entry) {
        return ServingState::now() - entry.second > departureRetention;
    });
    m_expectedEnds[engine] =
        leavesIn ? ServingState::now() + *leavesIn : expectedEnd(view->leavingSince);
    m_state->pool.spawn(net::currentWorker(), [this, record] { fetchExpectedEnd(record); });
    for (const GenerationRunPtr &run : runs)
        moveIfLeaving(run);
}

template <PlatformProtocol P>
Result<EngineReport> GenerationMover<P>::fetchReport(const EndpointRecord &engine)
{
    const Result<net::HttpResponse> response =
        callEndpoint<P>(*m_state, engine, P::encodeReportCall(), reportTimeout);
    return response ? P::decodeReport(response->body) : tl::unexpected(response.error());
}

template <PlatformProtocol P>
void GenerationMover<P>::fetchExpectedEnd(const EndpointRecord &engine)
{
    const Result<EngineReport> report = fetchReport(engine);
    const bool endKnown = report && report->leavesIn;
    if (endKnown)
        m_expectedEnds[engine.name] = ServingState::now() + *report->leavesIn;
    observe::logChange(
        "engine-leaves",
        {{"endpoint", engine.name.text()},
         {"leaves_ms", endKnown ? report->leavesIn->count : -1},
         {"running", report ? report->running : 0},
         {"detail", report ? std::string_view() : std::string_view(report.error().message)}});
}

template <PlatformProtocol P>
void GenerationMover<P>::pollEngines()
{
    repeatUntilStopped(m_state->metrics, "poll-engines", [this] {
        net::sleepFor(enginePollInterval);
        if (!m_state->isStoreSilent())
            return;
        const Millis now = ServingState::now();
        for (const EndpointRecord &engine : m_state->runs.engines()) {
            const EndpointView *view = m_state->endpoints.find(engine.name);
            if (view == nullptr || view->leaving() || !m_state->mayCall(engine))
                continue;
            // Together, all processes with generations there send about one call per interval.
            const std::size_t requestingProcesses =
                m_state->ledger.requestingProcesses(now, engine.name);
            if (m_state->uniform() * static_cast<double>(requestingProcesses) >= 1)
                continue;
            m_state->pool.spawn(net::currentWorker(), [this, engine] { pollEngine(engine); });
        }
    });
}

template <PlatformProtocol P>
void GenerationMover<P>::pollEngine(const EndpointRecord &engine)
{
    const Result<EngineReport> report = fetchReport(engine);
    if (!report && outcomeOf(report.error()) == SendOutcome::Refused)
        m_state->recordRefusedConnection(engine);
    // An engine that drains without a known end keeps serving until the store reports its
    // departure.
    if (!report || !report->leavesIn)
        return;
    EngineAnswerHead announcement;
    announcement.leaving = true;
    announcement.leavesIn = report->leavesIn;
    m_state->handleAnswerHead(engine, announcement);
}

template <PlatformProtocol P>
Millis GenerationMover<P>::expectedEndOf(const EndpointView &engine)
{
    const auto it = m_expectedEnds.find(engine.record.name);
    return it != m_expectedEnds.end() ? it->second : expectedEnd(engine.leavingSince);
}

template <PlatformProtocol P>
void GenerationMover<P>::moveIfLeaving(const GenerationRunPtr &run)
{
    const EndpointView *source = m_state->endpoints.find(run->engine.name);
    const bool leaves = source != nullptr && m_state->isEnding(*source);
    if (!leaves || run->hasMoveFiber || run->finished)
        return;
    run->hasMoveFiber = true;
    m_state->pool.spawn(net::currentWorker(), [this, run] {
        EndpointName source;
        do {
            source = run->engine.name;
            move(run);
            // The generation may run at another engine by now, which leaves as well.
        } while (!run->finished && run->engine.name != source);
        run->hasMoveFiber = false;
        // The fiber that maintains a standby copy frees it itself.
        if (run->finished && !run->hasStandbyFiber && !run->standbyHandle.empty()) {
            freeCopy(run->engine, run->standbyHandle);
            run->clearStandbyCopy();
        }
    });
}

template <PlatformProtocol P>
const EngineModel *GenerationMover<P>::modelOf(const GenerationRun &run) const
{
    return m_state->routes ? m_state->routes->findEngineModel(run.service) : nullptr;
}

template <PlatformProtocol P>
void GenerationMover<P>::move(const GenerationRunPtr &run)
{
    const EndpointName engine = run->engine.name;
    PlacementDemand demand;
    while (!run->finished && run->engine.name == engine && run->phase == MovePhase::Running) {
        const EndpointView *source = m_state->endpoints.find(engine);
        if (source == nullptr || !m_state->isEnding(*source))
            return;
        const EndpointView view = *source;
        if (moveOnce(run, view, demand) == NextStep::Done)
            return;
        net::sleepFor(run->events == 0 ? unstartedRetryInterval : moveRetryInterval);
    }
}

template <PlatformProtocol P>
bool GenerationMover<P>::isUsable(const std::optional<EndpointRecord> &engine) const
{
    const EndpointView *view = engine ? m_state->endpoints.find(engine->name) : nullptr;
    return view != nullptr && !m_state->isEnding(*view) && m_state->mayCall(view->record)
        && !m_state->endpoints.isZoneOut(view->record.zone);
}

template <PlatformProtocol P>
void GenerationMover<P>::replaceCopies(const EndpointName &engine)
{
    for (const GenerationRunPtr &run : m_state->runs.runsWithCopyAt(engine)) {
        run->backup.reset();
        run->clearStandbyCopy();
        startStandbyCopy(run);
    }
}

template <PlatformProtocol P>
void GenerationMover<P>::replaceCopiesIn(const ZoneName &zone)
{
    for (const EndpointName &engine : m_state->runs.enginesWithCopiesIn(zone))
        replaceCopies(engine);
}

template <PlatformProtocol P>
void GenerationMover<P>::startStandbyCopy(const GenerationRunPtr &run)
{
    if (run->hasStandbyFiber || run->finished || run->backup
        || run->remainingTokens() < minTokensForCopy)
        return;
    run->hasStandbyFiber = true;
    m_state->pool.spawn(net::currentWorker(), [this, run] {
        maintainStandbyCopy(run);
        if (run->finished && !run->standbyHandle.empty())
            freeCopy(run->engine, run->standbyHandle);
        run->clearStandbyCopy();
        run->hasStandbyFiber = false;
    });
}

template <PlatformProtocol P>
void GenerationMover<P>::maintainStandbyCopy(const GenerationRunPtr &run)
{
    while (!run->finished && !run->backup) {
        const EndpointView *source = m_state->endpoints.find(run->engine.name);
        if (source == nullptr)
            return;
        const EndpointView view = *source;
        const bool mayCopy = run->phase == MovePhase::Running && !m_state->isEnding(view);
        Millis pause = mayCopy ? renewStandbyCopy(run, view) : standbyCheckInterval;
        while (pause > Millis {0} && !run->finished) {
            net::sleepFor(std::min(pause, standbyCheckInterval));
            pause -= standbyCheckInterval;
            // A lost copy is replaced without waiting for the next renewal.
            if (mayCopy && !run->standbyEngine)
                break;
        }
    }
}

template <PlatformProtocol P>
void GenerationMover<P>::freeCopy(const EndpointRecord &source, const std::string &handle)
{
    const Result<net::HttpResponse> response =
        callEndpoint<P>(*m_state, source, P::encodeFreeCopy(handle), reportTimeout);
    // A copy that is not freed expires at the engine.
    if (!response)
        m_state->metrics.counter("fescue_copies_not_freed_total").Increment();
}

template <PlatformProtocol P>
Millis GenerationMover<P>::renewStandbyCopy(const GenerationRunPtr &run, const EndpointView &source)
{
    const EngineModel *model = modelOf(*run);
    if (model == nullptr || !model->canMove || run->events == 0)
        return standbyCheckInterval;
    if (!isUsable(run->standbyEngine)) {
        const std::vector<const EndpointView *> candidates = m_state->candidates(run->service);
        const EndpointView *destination =
            chooseBackup(source, run->reservedTokens(), candidates, *model,
                         m_state->placementView(run->service));
        if (destination == nullptr)
            return standbyRenewInterval;
        run->standbyEngine = destination->record;
        run->standbyLoad = std::make_unique<ScopedLoad>(m_state->ledger, destination->record.name,
                                                        EndpointLoad {1, run->reservedTokens(), 0});
        m_state->notifyPeers();
    }
    const EndpointRecord destination = *run->standbyEngine;
    const MoveAnswer answer = call(run, source.record, destination, false);
    // While the copy was made, the generation may have ended or resumed on another engine, or a
    // move may have begun, which makes a copy of its own.
    const bool isCurrent = !run->finished && run->engine.name == source.record.name
        && run->phase == MovePhase::Running && run->standbyEngine
        && run->standbyEngine->name == destination.name;
    if (!isCurrent) {
        if (answer.outcome == MoveOutcome::Copied && answer.handle != run->standbyHandle)
            freeCopy(source.record, answer.handle);
    } else if (answer.outcome == MoveOutcome::Copied) {
        run->standbyHandle = answer.handle;
    } else {
        run->clearStandbyCopy();
    }
    return standbyRenewInterval;
}

template <PlatformProtocol P>
MoveDecision
GenerationMover<P>::chooseDestination(const GenerationRun &run, const EndpointView &source,
                                      const EngineModel &model, const PlacementDemand &demand)
{
    const MovingRun moving = run.movingRun(expectedEndOf(source));
    const std::vector<const EndpointView *> candidates = m_state->candidates(run.service);
    MoveDecision decision =
        planMove(source, moving, candidates, model, m_state->placementView(run.service), demand,
                 m_state->links, m_state->uniform());
    const bool hasCopy =
        isUsable(run.standbyEngine) && !demand.excluded.contains(run.standbyEngine->name);
    const bool moves =
        decision.verdict == MoveVerdict::Move || decision.verdict == MoveVerdict::NoDestination;
    if (hasCopy && moves)
        decision = {MoveVerdict::Move, m_state->endpoints.find(run.standbyEngine->name)};
    return decision;
}

template <PlatformProtocol P>
bool GenerationMover<P>::copyFitsBeforeEnd(const GenerationRun &run, const EndpointView &source,
                                           const EngineModel &model)
{
    const Millis now = ServingState::now();
    const std::uint64_t held = m_state->ledger.total(now, source.record.name).memoryTokens;
    const std::uint64_t all = std::max(std::min(held, model.memoryTokens), run.memoryTokens());
    return copyFits(run.requestId, expectedEndOf(source) - now, copyTime(model, all, true),
                    copyTime(model, run.memoryTokens(), true));
}

template <PlatformProtocol P>
void GenerationMover<P>::noteNotMoved(GenerationRun &run, const EndpointView &source,
                                      std::string_view reason)
{
    if (run.notMovedBecause == reason)
        return;
    run.notMovedBecause = reason;
    observe::logChange(
        "not-moved",
        {{"id", run.requestId},
         {"reason", reason},
         {"from", source.record.name.text()},
         {"requests", m_state->ledger.total(ServingState::now(), source.record.name).requests},
         {"ends_in_ms", (expectedEndOf(source) - ServingState::now()).count},
         {"memory_tokens", run.memoryTokens()},
         {"remaining_tokens", run.remainingTokens()}});
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep GenerationMover<P>::moveOnce(const GenerationRunPtr &run,
                                                                   const EndpointView &source,
                                                                   PlacementDemand &demand)
{
    // A generation without events has nothing to copy.
    if (run->events == 0)
        return NextStep::TryAgain;
    const EngineModel *model = modelOf(*run);
    if (model == nullptr)
        return NextStep::Done;
    const MovingRun moving = run->movingRun(expectedEndOf(source));
    if (isUsable(run->backup))
        return handOver(run, source.record, *run->backup);
    if (!isUsable(run->standbyEngine) && !copyFitsBeforeEnd(*run, source, *model)) {
        noteNotMoved(*run, source, "links-busy");
        return NextStep::TryAgain;
    }
    const MoveDecision decision = chooseDestination(*run, source, *model, demand);
    if (decision.verdict == MoveVerdict::EndsInTime) {
        noteNotMoved(*run, source, toString(decision.verdict));
        return NextStep::TryAgain;
    }
    observe::logChange(
        "move",
        {{"id", run->requestId},
         {"verdict", toString(decision.verdict)},
         {"from", source.record.name.text()},
         {"to",
          decision.destination == nullptr ? std::string_view()
                                          : decision.destination->record.name.text()},
         {"notice_age_ms", (ServingState::now() - source.leavingSince).count},
         {"ends_in_ms", (moving.engineEndsAt - ServingState::now()).count},
         {"memory_tokens", moving.memoryTokens},
         {"remaining_tokens", moving.remainingTokens},
         {"to_memory",
          decision.destination == nullptr
              ? 0
              : m_state->ledger.total(ServingState::now(), decision.destination->record.name)
                    .memoryTokens}});
    if (decision.verdict == MoveVerdict::NotSupported)
        return NextStep::Done;
    if (decision.verdict == MoveVerdict::NoDestination) {
        // Endpoints that were full may have room now.
        demand.excluded.clear();
        return NextStep::TryAgain;
    }
    const EndpointRecord destination = decision.destination->record;
    m_state->links.addCopy(
        destination.name, ServingState::now(),
        copyTime(*model, moving.memoryTokens, destination.zone == source.record.zone));
    // The place at the destination is reserved before the copy begins.
    const EndpointLoad reserved {1, moving.reservedTokens, 0};
    const ScopedLoad load(m_state->ledger, destination.name, reserved);
    m_state->notifyPeers();
    const bool reports = m_state->routes && m_state->routes->hasPriorities(run->service);
    if (reports)
        m_state->reportLoadChange(destination.name, true, reserved);
    const NextStep step = copy(run, source.record, destination, demand);
    const bool goesThere = run->phase == MovePhase::Stopped
        ? run->destination.name == destination.name
        : run->engine.name == destination.name;
    if (reports && !goesThere)
        m_state->reportLoadChange(destination.name, false, reserved);
    return step;
}

template <PlatformProtocol P>
MoveAnswer GenerationMover<P>::call(const GenerationRunPtr &run, const EndpointRecord &source,
                                    const EndpointRecord &destination, bool stop)
{
    if (!m_state->mayCall(source))
        return {MoveOutcome::NotSent, {}, 0};
    const Millis startedAt = ServingState::now();
    const net::HttpRequest request = P::encodeMove({run->requestId, destination.address, stop});
    const Result<net::HttpResponse> response =
        callEndpoint<P>(*m_state, source, request, moveCallTimeout);
    MoveAnswer answer;
    if (response)
        answer = P::decodeMoveAnswer(response->status, response->body);
    observe::logChange(
        "move-call",
        {{"id", run->requestId},
         {"from", source.name.text()},
         {"to", destination.name.text()},
         {"stop", stop ? "yes" : "no"},
         {"outcome", toString(answer.outcome)},
         {"status", response ? response->status : 0},
         {"events", answer.events},
         {"took_ms", (ServingState::now() - startedAt).count},
         {"detail", response ? std::string_view() : std::string_view(response.error().message)}});
    return answer;
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep
GenerationMover<P>::copy(const GenerationRunPtr &run, const EndpointRecord &source,
                         const EndpointRecord &destination, PlacementDemand &demand)
{
    run->phase = MovePhase::Copying;
    const Millis startedAt = ServingState::now();
    const MoveAnswer answer = call(run, source, destination, false);
    if (answer.outcome == MoveOutcome::Copied && run->engine.name == source.name) {
        // If the engine is lost from now on, the generation resumes from the copy.
        run->standbyEngine = destination;
        run->standbyHandle = answer.handle;
    }
    if (run->finished || run->phase != MovePhase::Copying)
        return NextStep::Done;
    run->phase = MovePhase::Running;
    if (answer.outcome == MoveOutcome::NoRoom)
        demand.excluded.insert(destination.name);
    if (answer.outcome != MoveOutcome::Copied)
        return NextStep::TryAgain;
    if (stepAfterCopy(ServingState::now() - startedAt) == CopyStep::HandOver) {
        const auto isHeldBack = [&run, &source, &destination] {
            return !run->finished && run->phase == MovePhase::Running
                && run->engine.name == source.name && run->standbyEngine
                && run->standbyEngine->name == destination.name;
        };
        const Millis until = ServingState::now() + standbyRenewInterval;
        NextStep step = handOver(run, source, destination);
        while (isHeldBack() && ServingState::now() < until) {
            net::sleepFor(heldBackRetryInterval);
            if (isHeldBack())
                step = handOver(run, source, destination);
        }
        // The destination failed a resume; the copy is forgotten with it.
        if (run->engine.name == source.name && !run->standbyEngine)
            demand.excluded.insert(destination.name);
        return step;
    }
    if (!m_state->tryTakeRetryForResume(*run))
        return NextStep::TryAgain;
    return stop(run, source, destination);
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep
GenerationMover<P>::handOver(const GenerationRunPtr &run, const EndpointRecord &source,
                             const EndpointRecord &destination)
{
    observe::logChange("hand-over",
                       {{"id", run->requestId},
                        {"from", source.name.text()},
                        {"to", destination.name.text()},
                        {"events", run->events}});
    run->phase = MovePhase::FailingOver;
    while (!run->finished && run->phase == MovePhase::FailingOver)
        net::sleepFor(failoverPollInterval);
    return NextStep::TryAgain;
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep GenerationMover<P>::stop(const GenerationRunPtr &run,
                                                               const EndpointRecord &source,
                                                               const EndpointRecord &destination)
{
    run->phase = MovePhase::Stopping;
    const MoveAnswer answer = call(run, source, destination, true);
    // An answer that came too late is about a run that another engine has replaced or will replace.
    if (run->finished || run->phase != MovePhase::Stopping || run->engine.name != source.name)
        return NextStep::Done;
    const bool copied = answer.outcome == MoveOutcome::Copied;
    const bool keptAtSource = answer.outcome == MoveOutcome::NoRoom && !answer.handle.empty();
    if (copied || keptAtSource) {
        run->resume = ResumePoint {source.address, answer.handle, std::nullopt};
        run->destination = copied ? destination : source;
        run->stoppedAt = ServingState::now();
        run->phase = MovePhase::Stopped;
        return NextStep::Done;
    }
    const bool keepsRunning = answer.outcome == MoveOutcome::NoSuchRun
        || answer.outcome == MoveOutcome::Busy || answer.outcome == MoveOutcome::NoRoom
        || answer.outcome == MoveOutcome::NotSent;
    run->phase = keepsRunning ? MovePhase::Running : MovePhase::Broken;
    return keepsRunning ? NextStep::TryAgain : NextStep::Done;
}

} // namespace fescue::serving
