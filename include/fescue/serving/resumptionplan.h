#pragma once

#include "fescue/core/result.h"
#include "fescue/serving/attemptpolicy.h"
#include "fescue/serving/callerrequest.h"
#include "fescue/serving/endpointincarnation.h"
#include "fescue/serving/eventsplitter.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescue::serving {

// Reason why an engine's part of a stream ended.
enum class StreamEnd : std::uint8_t
{
    Complete,
    CallerGone,
    // The engine's stream was interrupted.
    EngineLost,
    // The engine has sent nothing for the time that ResumptionPlan allows.
    EngineSilent,
    DeadlinePassed,
    // An event is too long, or the event ids are not consecutive.
    Malformed,
};

// Returns the id of the event after which the caller wants its stream to begin, or nullopt if it
// wants all of it. Fails with BadEventId if the id is not a number, if it is beyond the end of the
// longest stream that the request allows, or if streams of this route may not be resumed. Routes
// that do not stream ignore the id.
[[nodiscard]] Result<std::optional<std::uint64_t>> requestedPosition(const Route &route,
                                                                     const CallerRequest &caller);

// Decides how the stream of one request goes on after an engine's part of it has ended. The caller
// gets each event once and in order, or a stream that visibly broke off. Has no clock and no
// network of its own.
class ResumptionPlan
{
public:
    // `position` is the last event that the caller has from earlier requests.
    ResumptionPlan(const Route &route, std::optional<std::uint64_t> position) noexcept;

    // Returns the limits on attempts, which cover all engines to which this request is sent.
    [[nodiscard]] AttemptPolicy &policy() noexcept { return m_policy; }
    [[nodiscard]] bool isResumable() const noexcept { return m_isResumable; }

    // Records an engine that has run the request, or may have.
    void recordEngine(const EndpointIncarnation &engine) { m_engines.push_back(engine); }

    // Returns how a part has ended whose engine sent all that its framing announced.
    // `endsWithConnection` is true if the framing has no other end than that of the connection.
    [[nodiscard]] StreamEnd endOfPart(const EventSplitter &events,
                                      bool endsWithConnection) const noexcept;
    // Returns true if another engine may go on after this end of a part.
    [[nodiscard]] bool isBreak(StreamEnd end) const noexcept;
    // Returns the time for which an engine may send nothing before another one is preferred, or
    // nullopt if the stream may not be resumed.
    [[nodiscard]] std::optional<Millis> silenceLimit() const noexcept;

    // Returns true if another engine may run the rest of the stream. `hasEnded(engine)` tells
    // whether an engine has terminated; such engines do not count against the route's limit. The
    // retry budget is not part of this decision.
    template <typename HasEnded>
    [[nodiscard]] bool mayRunAgain(Millis timeLeft, HasEnded hasEnded)
    {
        if (!m_isResumable)
            return false;
        std::erase_if(m_engines, [this, &hasEnded](const EndpointIncarnation &engine) {
            const bool ended = hasEnded(engine);
            if (ended)
                m_policy.discountEnded();
            return ended;
        });
        return m_policy.mayRunAgain(timeLeft);
    }

private:
    bool m_isResumable;
    std::optional<std::uint64_t> m_position;
    Millis m_silenceLimit;
    AttemptPolicy m_policy;
    std::vector<EndpointIncarnation> m_engines;
};

} // namespace fescue::serving
