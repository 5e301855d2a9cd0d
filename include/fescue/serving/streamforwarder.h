#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/eventsplitter.h"
#include "fescue/serving/generationmover.h"
#include "fescue/serving/generationrun.h"
#include "fescue/serving/promptguard.h"
#include "fescue/serving/refusal.h"
#include "fescue/serving/refuse.h"
#include "fescue/serving/requestcontext.h"
#include "fescue/serving/resumptionplan.h"

#include <memory>
#include <optional>

namespace fescue::serving {

// Serves generations: forwards their events to the caller as they arrive, only complete events, and
// resumes the stream from another engine when the generation has been moved there, or when its
// engine is lost and the route's streams may be resumed.
template <PlatformProtocol P>
class StreamForwarder
{
public:
    StreamForwarder(ServingState &state, GenerationMover<P> &mover, PromptGuard<P> &guard) noexcept
        : m_state(&state), m_mover(&mover), m_guard(&guard)
    { }

    void serve(RequestContext &context);

private:
    // What is known of an engine that sends nothing.
    struct SilenceWatch
    {
        Millis heardAt {0};
        // When the engine was last asked for its state.
        Millis askedAt {0};
        bool isUnresponsive = false;
    };

    // A generation while its stream is forwarded.
    struct ForwardedStream
    {
        RequestContext &context;
        GenerationRunPtr run;
        ResumptionPlan resumption;
        // What the generation needs at an engine, and the engines that have failed it.
        PlacementDemand demand;
        EventSplitter events;
        net::ClientStream upstream;
        std::unique_ptr<ScopedLoad> load;
        std::unique_ptr<ScopedLoad> backupLoad;
        std::vector<net::Header> headers;
        bool started = false;
        // The engine that runs the generation still reads its prompt.
        bool prefilling = false;
        // How the last attempt to resume at an engine ended.
        SendOutcome resumeOutcome = SendOutcome::NotSent;
        // How long the attempt that broke off had waited for its first event, where the generation
        // was given to another engine to run again since.
        std::optional<Millis> brokenWait;
        // Of the engine that runs the generation; null for streams that may not be resumed.
        std::shared_ptr<SilenceWatch> silence;

        [[nodiscard]] bool foundSilent() const noexcept
        {
            return silence && silence->isUnresponsive && !context.writer.callerGone();
        }
    };

    // Returns the candidate that placement prefers, or null if none has room.
    [[nodiscard]] const EndpointView *prefer(const std::vector<const EndpointView *> &candidates,
                                             const RequestContext &context,
                                             const PlacementDemand &demand) const;
    // The same among all engines of the service.
    [[nodiscard]] const EndpointView *findEngine(const RequestContext &context,
                                                 const PlacementDemand &demand) const;
    // The same, and takes its share of a cold engine's limit. Returns null if that is used up.
    [[nodiscard]] const EndpointView *choose(const RequestContext &context,
                                             const PlacementDemand &demand);
    // How the hold of a generation before its start ends.
    enum class TurnEnd : std::uint8_t
    {
        Start,
        CallerGone,
        // The process stops, and the generation would not end before it.
        Stopping,
    };

    // Holds a generation that competes with others until it may start.
    [[nodiscard]] TurnEnd waitForTurn(const RequestContext &context, const PlacementDemand &demand);
    // Removes the generation's load from its engine and reports that.
    void releaseLoad(ForwardedStream &forwarded);
    // Records that a generation has run and leaves room for another one, unless its engine leaves.
    void recordRoom(const ForwardedStream &forwarded);
    // Sends the request to engines until one answers. Sends the failure to the caller and returns
    // false if none does.
    [[nodiscard]] bool begin(ForwardedStream &forwarded);
    // Requests a backup of the generation's memory if the generation is long enough and an engine
    // has room for it.
    void addBackup(ForwardedStream &forwarded, const EndpointView &engine, EngineSend &send);
    // Sends the request to the engine that placement chooses. Returns nullopt if there is none,
    // else the engine's answer, and in `verdict` what follows.
    [[nodiscard]] std::optional<ExchangeResult> attempt(ForwardedStream &forwarded,
                                                        AttemptVerdict &verdict);
    // Makes attempts until one succeeds or no other may follow. Returns the last answer, if any
    // engine was asked.
    [[nodiscard]] std::optional<ExchangeResult> attemptUntilAnswered(ForwardedStream &forwarded,
                                                                     AttemptVerdict &verdict);
    // Updates what the generation needs at an engine.
    void updateDemand(ForwardedStream &forwarded) const;
    // Returns true if some engine that has not failed the generation has room for it, besides
    // `engine`.
    [[nodiscard]] bool hasOtherEngine(const ForwardedStream &forwarded,
                                      const EndpointName &engine) const;
    // Returns a check that is true once `abandoned` is, or once an engine has sent nothing for the
    // time that the stream allows, does not answer for itself, and another one has room. Streams
    // that may not be resumed are not watched.
    [[nodiscard]] std::function<bool()> silenceCheck(ForwardedStream &forwarded,
                                                     const EndpointRecord &engine,
                                                     std::function<bool()> abandoned);
    // Asks an engine for its state. Returns false if it gives no answer.
    [[nodiscard]] bool isResponsive(const EndpointRecord &engine);
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
    // Resumes a generation that a move has stopped, at its destination or at its source. Asks again
    // for a while where these reject the request without running it.
    [[nodiscard]] bool resumeAfterMove(ForwardedStream &forwarded);
    // Waits for the end of a pause that an engine has asked for. Returns false if that takes too
    // long or the caller has disconnected.
    [[nodiscard]] bool waitForPauseEnd(const RequestContext &context, const EndpointRecord &engine);
    [[nodiscard]] bool resumeAt(ForwardedStream &forwarded, const EndpointRecord &engine);
    // Runs the request once more, at another engine and from the event after the last one, if the
    // route allows that.
    [[nodiscard]] bool runAgain(ForwardedStream &forwarded);
    // Returns true if the engines that ran the generation and the time left allow one more run,
    // apart from the retry budget.
    [[nodiscard]] bool canRunAgain(ForwardedStream &forwarded);
    // Continues with the stream of another engine, which runs the generation from now on.
    void adopt(ForwardedStream &forwarded, net::ClientStream &&stream);
    // Records for the comparison of software versions that a stream broke off at an engine.
    void noteBreak(ForwardedStream &forwarded, const EndpointRecord &broken);
    // Ends the answer to the caller. `broken` is the engine at which the stream ended; where it
    // could not go on, `run->engine` is the last one that was asked to.
    void finish(ForwardedStream &forwarded, StreamEnd end, const EndpointRecord &broken);

    ServingState *m_state;
    GenerationMover<P> *m_mover;
    PromptGuard<P> *m_guard;
};

} // namespace fescue::serving

#include "fescue/serving/streamforwarder.inl"
