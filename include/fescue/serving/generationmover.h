#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/servingstate.h"

#include <optional>

namespace fescue::serving {

// Moves generations from engines that leave: copies the memory while they run on, then stops them
// and copies the rest. Their streams go on through the StreamForwarder that passes them on.
template <PlatformProtocol P>
class GenerationMover
{
public:
    explicit GenerationMover(ServingState &state) noexcept : m_state(&state) { }

    // Starts to move all generations of this process from an engine that has begun to leave, and is
    // gone after `leavesIn` where that is known.
    void evacuate(const EndpointName &engine, std::optional<Millis> leavesIn = std::nullopt);
    // Asks the engines of this process' generations whether they leave while the store, which tells
    // so otherwise, is silent. Returns at the end of the process.
    void watchEngines();
    // Starts to move one generation where its engine leaves.
    void check(const GenerationRunPtr &run);

    // Keeps a copy of a generation's memory at another engine while it has no backup, so that
    // little is left to copy when its own engine leaves.
    void guard(const GenerationRunPtr &run);

private:
    // What follows an attempt to move a generation.
    enum class NextStep : std::uint8_t
    {
        Done,
        TryAgain,
    };

    [[nodiscard]] Result<EngineReport> askReport(const EndpointRecord &engine);
    // Asks an engine that has begun to leave when it will be gone.
    void askEnd(const EndpointRecord &engine);
    // Asks one engine for its state and records what it says.
    void ask(const EndpointRecord &engine);
    void keepCopy(const GenerationRunPtr &run);
    // Makes or renews the copy. Returns the time until it has to be renewed.
    [[nodiscard]] Millis copyAhead(const GenerationRunPtr &run, const EndpointView &source);
    // Frees a copy at the engine that made it, and with it the memory at the other one.
    void freeCopy(const EndpointRecord &source, const std::string &handle);
    // Stops relying on an engine that leaves for backups and copies.
    void replaceCopies(const EndpointName &engine);
    // The engine that a generation is moved to: the one that holds a copy, where it can be used.
    [[nodiscard]] MoveDecision chooseDestination(const GenerationRun &run,
                                                 const EndpointView &source,
                                                 const EngineModel &model,
                                                 const PlacementDemand &demand);
    [[nodiscard]] bool isUsable(const std::optional<EndpointRecord> &engine) const;
    [[nodiscard]] Millis endOf(const EndpointView &engine);
    // False where the engine's link carries too few copies until its end for this one to be begun.
    [[nodiscard]] bool fitsIntoNotice(const GenerationRun &run, const EndpointView &source,
                                      const EngineModel &model);
    void move(const GenerationRunPtr &run);
    [[nodiscard]] NextStep moveOnce(const GenerationRunPtr &run, const EndpointView &source,
                                    PlacementDemand &demand);
    // Copies the generation until it can be stopped, and stops it.
    [[nodiscard]] NextStep copy(const GenerationRunPtr &run, const EndpointRecord &source,
                                const EndpointRecord &destination, PlacementDemand &demand);
    [[nodiscard]] NextStep stop(const GenerationRunPtr &run, const EndpointRecord &source,
                                const EndpointRecord &destination);
    [[nodiscard]] MoveAnswer call(const GenerationRunPtr &run, const EndpointRecord &source,
                                  const EndpointRecord &destination, bool stop);
    [[nodiscard]] const EngineModel *modelOf(const GenerationRun &run) const;

    ServingState *m_state;
    // When engines that leave are expected to be gone.
    std::map<EndpointName, Millis> m_ends;
};

} // namespace fescue::serving

#include "fescue/serving/generationmover.inl"
