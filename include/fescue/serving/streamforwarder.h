#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/eventsplitter.h"
#include "fescue/serving/generationmover.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/refuse.h"
#include "fescue/serving/requestcontext.h"

#include <memory>

namespace fescue::serving {

// Serves generations: passes their events on as they arrive, whole events only, and goes on with
// the stream from another engine when the generation has been moved there.
template <PlatformProtocol P>
class StreamForwarder
{
public:
    StreamForwarder(ServingState &state, GenerationMover<P> &mover) noexcept
        : m_state(&state), m_mover(&mover)
    { }

    void serve(RequestContext &context);

private:
    // How passing on a stream ended.
    enum class StreamEnd : std::uint8_t
    {
        Complete,
        CallerGone,
        // The engine's stream broke off.
        EngineLost,
        DeadlinePassed,
        // The events do not follow each other.
        Malformed,
    };

    // A generation while its stream is passed on.
    struct Passing
    {
        RequestContext &context;
        GenerationRunPtr run;
        EventSplitter events;
        net::ClientStream upstream;
        std::unique_ptr<ScopedLoad> load;
        std::unique_ptr<ScopedLoad> backupLoad;
        std::vector<net::Header> headers;
        bool started = false;
    };

    [[nodiscard]] const EndpointView *choose(const RequestContext &context,
                                             const PlacementDemand &demand);
    // Sends the request until an engine answers. Answers the caller itself where none does.
    [[nodiscard]] bool begin(Passing &passing);
    // Asks for a backup of the generation's memory where that is worth it.
    void addBackup(Passing &passing, const EndpointView &engine, EngineSend &send);
    [[nodiscard]] std::optional<ExchangeResult> attempt(Passing &passing,
                                                        const PlacementDemand &demand,
                                                        AttemptPolicy &policy,
                                                        AttemptVerdict &verdict);
    void passOnFailure(RequestContext &context, ExchangeResult &result);
    [[nodiscard]] std::function<bool()> abandonCheck(const Passing &passing) const;

    void pass(Passing &passing);
    [[nodiscard]] StreamEnd passUntilBreak(Passing &passing);
    [[nodiscard]] bool forwardReady(Passing &passing);
    // Changes to the backup while the engine still runs the generation; goes on with the engine
    // where that fails.
    void handOver(Passing &passing);
    [[nodiscard]] bool resumeFromBackup(Passing &passing);
    // Goes on at the engine that holds a copy made ahead, after the loss of the one that made it.
    [[nodiscard]] bool resumeFromCopy(Passing &passing);
    // Waits for the end of a move and goes on at its destination. False where that is not possible.
    [[nodiscard]] bool resume(Passing &passing);
    // Waits until an engine that wants no requests may be sent one; false where that takes too
    // long.
    [[nodiscard]] bool waitForPause(const RequestContext &context, const EndpointRecord &engine);
    [[nodiscard]] bool resumeAt(Passing &passing, const EndpointRecord &engine);
    void finish(Passing &passing, StreamEnd end);

    ServingState *m_state;
    GenerationMover<P> *m_mover;
};

} // namespace fescue::serving

#include "fescue/serving/streamforwarder.inl"
