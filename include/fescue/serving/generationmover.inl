#pragma once

#include "fescue/observe/log.h"

namespace fescue::serving {

// Pause before a move is considered again: the generation is expected to end in time, no engine has
// room, or another copy is under way.
inline constexpr Millis moveAgainPause = 40_ms;
// A copy that takes longer than this has met a link or an engine that does not answer.
inline constexpr Millis moveCallTimeout = 2500_ms;
// A generation that is expected to have begun by then is not asked about sooner.
inline constexpr Millis notBegunPause = 30_ms;

template <PlatformProtocol P>
void GenerationMover<P>::evacuate(const EndpointName &engine)
{
    for (const GenerationRunPtr &run : m_state->runs.runsAt(engine))
        check(run);
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
    const ServiceSpec *spec =
        m_state->routes ? m_state->routes->findService(run.service) : nullptr;
    return spec == nullptr || !spec->engine ? nullptr : &*spec->engine;
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
typename GenerationMover<P>::NextStep
GenerationMover<P>::moveOnce(const GenerationRunPtr &run, const EndpointView &source,
                             PlacementDemand &demand)
{
    // A generation that has not begun has nothing to copy.
    if (run->events == 0)
        return NextStep::TryAgain;
    const EngineModel *model = modelOf(*run);
    if (model == nullptr)
        return NextStep::Done;
    const MovingRun moving = run->movingRun(source.leavingSince);
    const std::vector<const EndpointView *> candidates = m_state->candidates(run->service);
    const MoveDecision decision =
        planMove(source, moving, candidates, *model, m_state->placementView(run->service), demand,
                 m_state->links);
    if (decision.verdict == MoveVerdict::EndsInTime)
        return NextStep::TryAgain;
    const bool allowed =
        decision.verdict != MoveVerdict::Move || m_state->takeRetry(run->service);
    observe::logChange(
        "move",
        {{"id", run->requestId},
         {"verdict", allowed ? toString(decision.verdict) : std::string_view("budget-spent")},
         {"from", source.record.name.text()},
         {"to", decision.destination == nullptr ? std::string_view()
                                                : decision.destination->record.name.text()},
         {"notice_age_ms", (ServingState::now() - source.leavingSince).count},
         {"memory_tokens", moving.memoryTokens},
         {"remaining_tokens", moving.remainingTokens}});
    if (decision.verdict == MoveVerdict::NotSupported)
        return NextStep::Done;
    if (decision.verdict == MoveVerdict::NoDestination || !allowed) {
        // Endpoints that were full may have room by now.
        demand.excluded.clear();
        return NextStep::TryAgain;
    }
    const EndpointRecord destination = decision.destination->record;
    m_state->links.begin(destination.name, ServingState::now(),
                         copyTime(*model, moving.memoryTokens,
                                  destination.zone == source.record.zone));
    const LoadShare load(m_state->ledger, destination.name, {1, moving.finalMemoryTokens, 0});
    return copy(run, source.record, destination, demand);
}

template <PlatformProtocol P>
MoveAnswer GenerationMover<P>::call(const GenerationRunPtr &run, const EndpointRecord &source,
                                    const EndpointRecord &destination, bool stop)
{
    const Millis begun = ServingState::now();
    const net::HttpRequest request = P::encodeMove({run->requestId, destination.address, stop});
    const Result<net::HttpResponse> response =
        m_state->engineClient.request(source.address, request, moveCallTimeout);
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
    run->phase = MovePhase::Copying;
    const MoveAnswer answer = call(run, source, destination, false);
    if (run->finished || run->phase != MovePhase::Copying)
        return NextStep::Done;
    run->phase = MovePhase::Running;
    switch (answer.outcome) {
    case MoveOutcome::Copied:
        return stop(run, source, destination);
    case MoveOutcome::NoRoom:
        demand.excluded.insert(destination.name);
        return NextStep::TryAgain;
    default:
        return NextStep::TryAgain;
    }
}

template <PlatformProtocol P>
typename GenerationMover<P>::NextStep
GenerationMover<P>::stop(const GenerationRunPtr &run, const EndpointRecord &source,
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
        || answer.outcome == MoveOutcome::Busy || answer.outcome == MoveOutcome::NoRoom;
    run->phase = runsOn ? MovePhase::Running : MovePhase::Broken;
    return runsOn ? NextStep::TryAgain : NextStep::Done;
}

} // namespace fescue::serving
