#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/servingstate.h"

#include <optional>

namespace fescue::serving {

// Moves generations away from engines that are leaving: copies the memory while the generations
// keep running, then stops them and copies the rest. The StreamForwarder of each stream resumes it
// at the destination.
template <PlatformProtocol P>
class GenerationMover
{
public:
    explicit GenerationMover(ServingState &state) noexcept : m_state(&state) { }

    // Starts to move all generations of this process from an engine that has announced leaving. The
    // engine terminates after `leavesIn` if that is known.
    void evacuate(const EndpointName &engine, std::optional<Millis> leavesIn = std::nullopt);
    // Stops using the backups and standby copies at the engines of a zone that has gone out of
    // service, and starts standby copies elsewhere in their place.
    void replaceCopiesIn(const ZoneName &zone);
    // Polls the engines of this process's generations for whether they are leaving, but only while
    // the store, which otherwise reports this, is silent. Returns when the process stops.
    void pollEngines();
    // Starts to move one generation if its engine is leaving.
    void moveIfLeaving(const GenerationRunPtr &run);

    // Starts a fiber that maintains a standby copy of a generation's memory at another engine while
    // the generation has no backup, so that little is left to copy when its own engine leaves. Does
    // nothing if few tokens remain.
    void startStandbyCopy(const GenerationRunPtr &run);

private:
    // Whether an attempt to move a generation is retried.
    enum class NextStep : std::uint8_t
    {
        Done,
        TryAgain,
    };

    [[nodiscard]] Result<EngineReport> fetchReport(const EndpointRecord &engine);
    // Asks an engine that is leaving when it will terminate.
    void fetchExpectedEnd(const EndpointRecord &engine);
    // Asks one engine for its state and records an announced departure or a refused connection.
    void pollEngine(const EndpointRecord &engine);
    void maintainStandbyCopy(const GenerationRunPtr &run);
    // Makes or renews the standby copy. Returns the time until it has to be renewed.
    [[nodiscard]] Millis renewStandbyCopy(const GenerationRunPtr &run, const EndpointView &source);
    // Frees a copy at the engine that made it, which also frees the memory at the other engine.
    void freeCopy(const EndpointRecord &source, const std::string &handle);
    // Stops using the backups and standby copies at an engine that is leaving, and starts standby
    // copies in their place.
    void replaceCopies(const EndpointName &engine);
    // Decides whether a generation is moved, and to which engine: the one with the standby copy if
    // that engine is usable and not excluded, else the one chosen by planMove().
    [[nodiscard]] MoveDecision chooseDestination(const GenerationRun &run,
                                                 const EndpointView &source,
                                                 const EngineModel &model,
                                                 const PlacementDemand &demand);
    [[nodiscard]] bool isUsable(const std::optional<EndpointRecord> &engine) const;
    [[nodiscard]] Millis expectedEndOf(const EndpointView &engine);
    // Returns false if the engine's link cannot carry this copy, in addition to those of the other
    // generations, before the engine terminates.
    [[nodiscard]] bool copyFitsBeforeEnd(const GenerationRun &run, const EndpointView &source,
                                         const EngineModel &model);
    // Logs why a generation is not moved although its engine leaves, if the reason is new.
    void noteNotMoved(GenerationRun &run, const EndpointView &source, std::string_view reason);
    void move(const GenerationRunPtr &run);
    [[nodiscard]] NextStep moveOnce(const GenerationRunPtr &run, const EndpointView &source,
                                    PlacementDemand &demand);
    // Copies the generation while it runs, then hands it over or stops it.
    [[nodiscard]] NextStep copy(const GenerationRunPtr &run, const EndpointRecord &source,
                                const EndpointRecord &destination, PlacementDemand &demand);
    // Has the generation resume from its backup or copy; returns when that is done or has failed.
    [[nodiscard]] NextStep handOver(const GenerationRunPtr &run, const EndpointRecord &source,
                                    const EndpointRecord &destination);
    [[nodiscard]] NextStep stop(const GenerationRunPtr &run, const EndpointRecord &source,
                                const EndpointRecord &destination);
    [[nodiscard]] MoveAnswer call(const GenerationRunPtr &run, const EndpointRecord &source,
                                  const EndpointRecord &destination, bool stop);
    [[nodiscard]] const EngineModel *modelOf(const GenerationRun &run) const;

    ServingState *m_state;
    // Times at which engines that are leaving are expected to terminate.
    std::map<EndpointName, Millis> m_expectedEnds;
};

} // namespace fescue::serving

#include "fescue/serving/generationmover.inl"
