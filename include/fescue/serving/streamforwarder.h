#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/eventsplitter.h"
#include "fescue/serving/generationmover.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/promptguard.h"
#include "fescue/serving/refuse.h"
#include "fescue/serving/requestcontext.h"

#include <memory>

namespace fescue::serving {

// Serves generations: forwards their events to the caller as they arrive, only complete events, and
// resumes the stream from another engine when the generation has been moved there.
template <PlatformProtocol P>
class StreamForwarder
{
public:
    StreamForwarder(ServingState &state, GenerationMover<P> &mover, PromptGuard<P> &guard) noexcept
        : m_state(&state), m_mover(&mover), m_guard(&guard)
    { }

    void serve(RequestContext &context);

private:
    // Reason why the forwarding of a stream ended.
    enum class StreamEnd : std::uint8_t
    {
        Complete,
        CallerGone,
        // The engine's stream was interrupted.
        EngineLost,
        DeadlinePassed,
        // An event is too long, or the event ids are not consecutive after the stream was resumed.
        Malformed,
    };

    // A generation while its stream is forwarded.
    struct ForwardedStream
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
    // Holds a generation that competes with others until it may start. Returns false if its caller
    // has disconnected.
    [[nodiscard]] bool waitForTurn(const RequestContext &context, const PlacementDemand &demand);
    // Removes the generation's load from its engine and reports that.
    void releaseLoad(ForwardedStream &forwarded);
    // Sends the request to engines until one answers. Sends the failure to the caller and returns
    // false if none does.
    [[nodiscard]] bool begin(ForwardedStream &forwarded);
    // Requests a backup of the generation's memory if the generation is long enough and an engine
    // has room for it.
    void addBackup(ForwardedStream &forwarded, const EndpointView &engine, EngineSend &send);
    [[nodiscard]] std::optional<ExchangeResult> attempt(ForwardedStream &forwarded,
                                                        const PlacementDemand &demand,
                                                        AttemptPolicy &policy,
                                                        AttemptVerdict &verdict);
    void forwardFailure(RequestContext &context, ExchangeResult &result);
    [[nodiscard]] std::function<bool()> abandonCheck(const ForwardedStream &forwarded) const;

    void forward(ForwardedStream &forwarded);
    [[nodiscard]] StreamEnd forwardUntilBreak(ForwardedStream &forwarded);
    // Returns how a stream has ended whose engine sent all that the framing announced.
    [[nodiscard]] StreamEnd judgeEnd(ForwardedStream &forwarded);
    // Waits until the engine has answered a call to stop the generation, if there is one.
    void waitForStopAnswer(const GenerationRun &run);
    [[nodiscard]] bool forwardReady(ForwardedStream &forwarded);
    // Fails over to the backup while the engine still runs the generation; keeps the stream of the
    // engine if that fails.
    void failOver(ForwardedStream &forwarded);
    [[nodiscard]] bool resumeFromBackup(ForwardedStream &forwarded);
    // Resumes at the engine that stores the standby copy after the engine that made the copy is
    // lost.
    [[nodiscard]] bool resumeFromStandbyCopy(ForwardedStream &forwarded);
    // Waits for the end of a move and resumes at its destination or, if that fails, at its source,
    // from the backup or from the standby copy. Returns false if none of these is possible.
    [[nodiscard]] bool resume(ForwardedStream &forwarded);
    // Waits for the end of a pause that an engine has asked for. Returns false if that takes too
    // long or the caller has disconnected.
    [[nodiscard]] bool waitForPauseEnd(const RequestContext &context, const EndpointRecord &engine);
    [[nodiscard]] bool resumeAt(ForwardedStream &forwarded, const EndpointRecord &engine);
    void finish(ForwardedStream &forwarded, StreamEnd end);

    ServingState *m_state;
    GenerationMover<P> *m_mover;
    PromptGuard<P> *m_guard;
};

} // namespace fescue::serving

#include "fescue/serving/streamforwarder.inl"
