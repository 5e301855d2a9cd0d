#include "fescue/serving/resumptionplan.h"

#include "fescue/core/parsenumber.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Callers abandon a stream after the longest of these gaps; from the platform's page.
constexpr Millis minAbandonGap = 2_s;
constexpr std::int64_t abandonGapInTargets = 4;
constexpr std::int64_t abandonGapInPauses = 8;
// A silent engine is left at this fraction of the gap, so that another one has the rest of it for
// reading the prompt.
constexpr std::int64_t silenceDivisor = 2;

Millis abandonGap(const Route &route) noexcept
{
    const Millis pause = route.targetEventGap.value_or(Millis {0});
    return std::max(
        {minAbandonGap, route.targetLatency * abandonGapInTargets, pause * abandonGapInPauses});
}

tl::unexpected<Error> badEventId(const char *reason)
{
    return fail(ResultCode::BadEventId, std::string("the last event id ") + reason);
}

} // namespace

Result<std::optional<std::uint64_t>> requestedPosition(const Route &route,
                                                       const CallerRequest &caller)
{
    if (caller.lastEventId.empty() || route.kind != RouteKind::Streaming)
        return std::optional<std::uint64_t>();
    // Without resumption, another run would be joined to events of the first one.
    if (!route.isResumable)
        return badEventId("is not supported: streams of this route cannot be resumed");
    const std::optional<std::uint64_t> id = parseNumber<std::uint64_t>(caller.lastEventId);
    if (!id)
        return badEventId("is not a number");
    // Each event has at least one token.
    if (caller.generation && *id > caller.generation->maxOutputTokens)
        return badEventId("is beyond the end of the stream");
    return id;
}

ResumptionPlan::ResumptionPlan(const Route &route, std::optional<std::uint64_t> position) noexcept
    : m_isResumable(route.isResumable), m_position(position),
      m_silenceLimit(abandonGap(route) / silenceDivisor),
      m_policy(route.kind, route.maxAttempts, route.isResumable)
{ }

StreamEnd ResumptionPlan::endOfPart(const EventSplitter &events,
                                    bool endsWithConnection) const noexcept
{
    if (events.midEvent())
        return StreamEnd::EngineLost;
    if (!m_isResumable)
        return events.events() > 0 ? StreamEnd::Complete : StreamEnd::EngineLost;
    if (events.eventsOfPart() > 0)
        return StreamEnd::Complete;
    // Nothing may follow the last event; an engine that terminates closes its connection as well.
    const bool mayBeAtEnd = m_position || events.events() > 0;
    return mayBeAtEnd && !endsWithConnection ? StreamEnd::Complete : StreamEnd::EngineLost;
}

bool ResumptionPlan::isBreak(StreamEnd end) const noexcept
{
    switch (end) {
    case StreamEnd::EngineLost:
        return true;
    case StreamEnd::EngineSilent:
    case StreamEnd::Malformed:
        return m_isResumable;
    case StreamEnd::Complete:
    case StreamEnd::CallerGone:
    case StreamEnd::DeadlinePassed:
        break;
    }
    return false;
}

std::optional<Millis> ResumptionPlan::silenceLimit() const noexcept
{
    return m_isResumable ? std::optional<Millis>(m_silenceLimit) : std::nullopt;
}

} // namespace fescue::serving
