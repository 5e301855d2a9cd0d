#pragma once

#include "fescue/observe/log.h"

namespace fescue::serving {

// Pause before a move is considered again: the generation is expected to end in time, no engine has
// room, or another copy is under way.
inline constexpr Millis moveAgainPause = 40_ms;
// A copy that takes longer than this has met a link or an engine that does not answer.
inline constexpr Millis moveCallTimeout = 2500_ms;
// Pause while the fiber that passes a stream on changes to the backup.
inline constexpr Millis handOverPoll = 10_ms;
// Departures are forgotten this long after the engine's end.
inline constexpr Millis forgetDeparture = 60_s;
// Pause before a generation without a copy is looked at again.
inline constexpr Millis copyAheadPause = 200_ms;
// A copy that waits for its use is renewed in this time, well within its lifetime at the engine.
inline constexpr Millis copyRenewInterval = 2500_ms;
// Shorter generations end before a copy pays.
inline constexpr std::uint64_t fewestTokensForCopy = 200;
inline constexpr Millis reportTimeout = 500_ms;
// How often an engine is asked for its state, by all processes together, while the store is silent:
// several times within the shortest notice.
inline constexpr Millis askInterval = 250_ms;
// A generation that is expected to have begun by then is not asked about sooner.
inline constexpr Millis notBegunPause = 30_ms;

template <PlatformProtocol P>
void GenerationMover<P>::evacuate(const EndpointName &engine, std::optional<Millis> leavesIn)
{
    replaceCopies(engine);
    const std::vector<GenerationRunPtr> runs = m_state->runs.runsAt(engine);
    const EndpointView *view = m_state->endpoints.find(engine);
    if (runs.empty() || view == nullptr)
        return;
    const EndpointRecord record = view->record;
    std::erase_if(m_ends, [](const std::pair<const EndpointName, Millis> &entry) {
        return ServingState::now() - entry.second > forgetDeparture;
    });
    m_ends[engine] = leavesIn ? ServingState::now() + *leavesIn : expectedEnd(view->leavingSince);
    m_state->pool.spawn(net::currentWorker(), [this, record] { askEnd(record); });
    for (const GenerationRunPtr &run : runs)
        check(run);
}

template <PlatformProtocol P>
Result<EngineReport> GenerationMover<P>::askReport(const EndpointRecord &engine)
{
    const Result<net::HttpResponse> response =
        callEndpoint<P>(*m_state, engine, P::encodeReportCall(), reportTimeout);
    return response ? P::decodeReport(response->body) : tl::unexpected(response.error());
}

template <PlatformProtocol P>
void GenerationMover<P>::askEnd(const EndpointRecord &engine)
{
    const Result<EngineReport> report = askReport(engine);
    const bool known = report && report->leavesIn;
    if (known)
        m_ends[engine.name] = ServingState::now() + *report->leavesIn;
    observe::logChange(
        "engine-leaves",
        {{"endpoint", engine.name.text()},
         {"leaves_ms", known ? report->leavesIn->count : -1},
         {"running", report ? report->running : 0},
         {"detail", report ? std::string_view() : std::string_view(report.error().message)}});
}

template <PlatformProtocol P>
void GenerationMover<P>::watchEngines()
{
    while (!net::stopRequested()) {
        net::sleepFor(askInterval);
        if (!m_state->isStoreSilent())
            continue;
        const Millis now = ServingState::now();
        for (const EndpointRecord &engine : m_state->runs.engines()) {
            const EndpointView *view = m_state->endpoints.find(engine.name);
            if (view == nullptr || view->leaving() || !m_state->mayCall(engine))
                continue;
            // All processes with generations there ask about once.
            const std::size_t holders = m_state->ledger.holders(now, engine.name);
            if (m_state->uniform() * static_cast<double>(holders) >= 1)
                continue;
            m_state->pool.spawn(net::currentWorker(), [this, engine] { ask(engine); });
        }
    }
}

template <PlatformProtocol P>
void GenerationMover<P>::ask(const EndpointRecord &engine)
{
    const Result<EngineReport> report = askReport(engine);
    if (!report && outcomeOf(report.error()) == SendOutcome::Refused)
        m_state->recordRefusedConnection(engine);
    // One that drains without a time serves on until the store has taken its word and told us.
    if (!report || !report->leavesIn)
        return;
    EngineAnswerHead word;
    word.leaving = true;
    word.leavesIn = report->leavesIn;
    m_state->handleAnswerHead(engine, word);
}

template <PlatformProtocol P>
Millis GenerationMover<P>::endOf(const EndpointView &engine)
{
    const auto it = m_ends.find(engine.record.name);
    return it != m_ends.end() ? it->second : expectedEnd(engine.leavingSince);
}

template <PlatformProtocol P>
void GenerationMover<P>::check(const GenerationRunPtr &run)
{
    const EndpointView *source = m_state->endpoints.find(run->engine.name);
    const bool leaves = source != nullptr && source->leaving();
    if (!leaves || run->hasMover || run->finished)
        return;
    run->hasMover = true;
    m_state->pool.spawn(net::currentWorker(), [this, run] {
        move(run);
        run->hasMover = false;
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
        if (source == nullptr || !source->leaving())
            return;
        const EndpointView view = *source;
        if (moveOnce(run, view, demand) == NextStep::Done)
            return;
        net::sleepFor(run->events == 0 ? notBegunPause : moveAgainPause);
    }
}

template <PlatformProtocol P>
bool GenerationMover<P>::isUsable(const std::optional<EndpointRecord> &engine) const
{
    const EndpointView *view = engine ? m_state->endpoints.find(engine->name) : nullptr;
    return view != nullptr && !view->leaving() && m_state->mayCall(view->record)
        && !m_state->endpoints.zonesOut().contains(view->record.zone);
}

template <PlatformProtocol P>
void GenerationMover<P>::replaceCopies(const EndpointName &engine)
{
    for (const GenerationRunPtr &run : m_state->runs.runsKeptAt(engine)) {
        run->backup.reset();
        run->forgetCopy();
        guard(run);
    }
}

template <PlatformProtocol P>
void GenerationMover<P>::guard(const GenerationRunPtr &run)
{
    if (run->hasGuard || run->finished || run->backup
        || run->remainingTokens() < fewestTokensForCopy)
        return;
    run->hasGuard = true;
    m_state->pool.spawn(net::currentWorker(), [this, run] {
        keepCopy(run);
        if (run->finished && !run->copyHandle.empty())
            freeCopy(run->engine, run->copyHandle);
        run->forgetCopy();
        run->hasGuard = false;
    });
}

template <PlatformProtocol P>
void GenerationMover<P>::keepCopy(const GenerationRunPtr &run)
{
    while (!run->finished && !run->backup) {
        const EndpointView *source = m_state->endpoints.find(run->engine.name);
        if (source == nullptr)
            return;
        const EndpointView view = *source;
        const bool still = run->phase == MovePhase::Running && !view.leaving();
        Millis pause = still ? copyAhead(run, view) : copyAheadPause;
        while (pause > Millis {0} && !run->finished) {
            // A copy that is lost is replaced at once.
            if (still && !run->copyAhead && pause < copyRenewInterval)
                break;
            net::sleepFor(std::min(pause, copyAheadPause));
            pause -= copyAheadPause;
        }
    }
}

template <PlatformProtocol P>
void GenerationMover<P>::freeCopy(const EndpointRecord &source, const std::string &handle)
{
    const Result<net::HttpResponse> response =
        callEndpoint<P>(*m_state, source, P::encodeFreeCopy(handle), reportTimeout);
    // A copy that stays lapses at the engine by itself.
    if (!response)
        m_state->metrics.counter("fescue_copies_not_freed_total").Increment();
}

template <PlatformProtocol P>
Millis GenerationMover<P>::copyAhead(const GenerationRunPtr &run, const EndpointView &source)
{
    const EngineModel *model = modelOf(*run);
    if (model == nullptr || !model->canMove || run->events == 0)
        return copyAheadPause;
    if (!isUsable(run->copyAhead)) {
        const std::vector<const EndpointView *> candidates = m_state->candidates(run->service);
        const EndpointView *destination =
            chooseBackup(source, run->reservedTokens(), candidates, *model,
                         m_state->placementView(run->service));
        if (destination == nullptr)
            return copyRenewInterval;
        run->copyAhead = destination->record;
        run->copyLoad = std::make_unique<LoadShare>(m_state->ledger, destination->record.name,
                                                    EndpointLoad {1, run->reservedTokens(), 0});
        m_state->notifyPeers();
    }
    const EndpointRecord destination = *run->copyAhead;
    const MoveAnswer answer = call(run, source.record, destination, false);
    if (answer.outcome == MoveOutcome::Copied)
        run->copyHandle = answer.handle;
    else
        run->forgetCopy();
    // The generation may have ended or gone on elsewhere while the copy was made.
    const bool needless = run->finished || run->engine.name != source.record.name;
    if (needless && answer.outcome == MoveOutcome::Copied)
        freeCopy(source.record, answer.handle);
    return copyRenewInterval;
}

template <PlatformProtocol P>
MoveDecision
GenerationMover<P>::chooseDestination(const GenerationRun &run, const EndpointView &source,
                                      const EngineModel &model, const PlacementDemand &demand)
{
    const MovingRun moving = run.movingRun(endOf(source));
    const std::vector<const EndpointView *> candidates = m_state->candidates(run.service);
    MoveDecision decision =
        planMove(source, moving, candidates, model, m_state->placementView(run.service), demand,
                 m_state->links, m_state->uniform());
    const bool hasCopy = isUsable(run.copyAhead) && !demand.excluded.contains(run.copyAhead->name);
    const bool moves =
        decision.verdict == MoveVerdict::Move || decision.verdict == MoveVerdict::NoDestination;
    if (hasCopy && moves)
        decision = {MoveVerdict::Move, m_state->endpoints.find(run.copyAhead->name)};
    return decision;
}

template <PlatformProtocol P>
bool GenerationMover<P>::fitsIntoNotice(const GenerationRun &run, const EndpointView &source,
                                        const EngineModel &model)
{
    const Millis now = ServingState::now();
    const std::uint32_t requests = m_state->ledger.total(now, source.record.name).requests;
    return copyFits(run.requestId, endOf(source) - now, requests,
                    copyTime(model, run.memoryTokens(), true));
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep GenerationMover<P>::moveOnce(const GenerationRunPtr &run,
                                                                   const EndpointView &source,
                                                                   PlacementDemand &demand)
{
    // A generation that has not begun has nothing to copy.
    if (run->events == 0)
        return NextStep::TryAgain;
    const EngineModel *model = modelOf(*run);
    if (model == nullptr)
        return NextStep::Done;
    const MovingRun moving = run->movingRun(endOf(source));
    if (isUsable(run->backup)) {
        observe::logChange("hand-over",
                           {{"id", run->requestId},
                            {"from", source.record.name.text()},
                            {"to", run->backup->name.text()},
                            {"events", run->events}});
        run->phase = MovePhase::HandingOver;
        while (!run->finished && run->phase == MovePhase::HandingOver)
            net::sleepFor(handOverPoll);
        return NextStep::TryAgain;
    }
    if (!isUsable(run->copyAhead) && !fitsIntoNotice(*run, source, *model))
        return NextStep::TryAgain;
    const MoveDecision decision = chooseDestination(*run, source, *model, demand);
    if (decision.verdict == MoveVerdict::EndsInTime)
        return NextStep::TryAgain;
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
        // Endpoints that were full may have room by now.
        demand.excluded.clear();
        return NextStep::TryAgain;
    }
    const EndpointRecord destination = decision.destination->record;
    m_state->links.begin(
        destination.name, ServingState::now(),
        copyTime(*model, moving.memoryTokens, destination.zone == source.record.zone));
    const LoadShare load(m_state->ledger, destination.name, {1, moving.reservedTokens, 0});
    m_state->notifyPeers();
    return copy(run, source.record, destination, demand);
}

template <PlatformProtocol P>
MoveAnswer GenerationMover<P>::call(const GenerationRunPtr &run, const EndpointRecord &source,
                                    const EndpointRecord &destination, bool stop)
{
    if (!m_state->mayCall(source))
        return {MoveOutcome::NotSent, {}, 0};
    const Millis begun = ServingState::now();
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
         {"took_ms", (ServingState::now() - begun).count},
         {"detail", response ? std::string_view() : std::string_view(response.error().message)}});
    return answer;
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep
GenerationMover<P>::copy(const GenerationRunPtr &run, const EndpointRecord &source,
                         const EndpointRecord &destination, PlacementDemand &demand)
{
    while (true) {
        run->phase = MovePhase::Copying;
        const Millis begun = ServingState::now();
        const MoveAnswer answer = call(run, source, destination, false);
        if (run->finished || run->phase != MovePhase::Copying)
            return NextStep::Done;
        run->phase = MovePhase::Running;
        if (answer.outcome == MoveOutcome::NoRoom)
            demand.excluded.insert(destination.name);
        if (answer.outcome != MoveOutcome::Copied)
            return NextStep::TryAgain;
        const Millis now = ServingState::now();
        const EndpointView *view = m_state->endpoints.find(source.name);
        const CopySchedule schedule(view == nullptr ? now : endOf(*view));
        if (schedule.after(now, now - begun) == CopyStep::Stop)
            break;
    }
    if (!m_state->takeRepeatForResume(*run))
        return NextStep::TryAgain;
    return stop(run, source, destination);
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep GenerationMover<P>::stop(const GenerationRunPtr &run,
                                                               const EndpointRecord &source,
                                                               const EndpointRecord &destination)
{
    run->phase = MovePhase::Stopping;
    const MoveAnswer answer = call(run, source, destination, true);
    if (run->finished)
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
    const bool runsOn = answer.outcome == MoveOutcome::NoSuchRun
        || answer.outcome == MoveOutcome::Busy || answer.outcome == MoveOutcome::NoRoom
        || answer.outcome == MoveOutcome::NotSent;
    run->phase = runsOn ? MovePhase::Running : MovePhase::Broken;
    return runsOn ? NextStep::TryAgain : NextStep::Done;
}

} // namespace fescue::serving
