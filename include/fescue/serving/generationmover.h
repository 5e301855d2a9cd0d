#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/servingstate.h"

namespace fescue::serving {

// Moves generations from engines that leave: copies the memory while they run on, then stops them
// and copies the rest. Their streams go on through the StreamForwarder that passes them on.
template <PlatformProtocol P>
class GenerationMover
{
public:
    explicit GenerationMover(ServingState &state) noexcept : m_state(&state) { }

    // Starts to move all generations of this process from an engine that has begun to leave.
    void evacuate(const EndpointName &engine);
    // Starts to move one generation where its engine leaves.
    void check(const GenerationRunPtr &run);

private:
    // An engine that leaves, as far as its generations are concerned.
    struct Departure
    {
        // When it is expected to be gone.
        Millis endsAt {0};
    };

    // What follows an attempt to move a generation.
    enum class NextStep : std::uint8_t
    {
        Done,
        TryAgain,
    };

    // Asks an engine that has begun to leave when it will be gone.
    void askEnd(const EndpointRecord &engine);
    [[nodiscard]] Millis endOf(const EndpointView &engine);
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
    // True where the generation can go on from its backup.
    [[nodiscard]] bool backupIsUsable(const GenerationRun &run) const;
    [[nodiscard]] const EngineModel *modelOf(const GenerationRun &run) const;

    ServingState *m_state;
    std::map<EndpointName, Departure> m_departures;
};

} // namespace fescue::serving

#include "fescue/serving/generationmover.inl"
