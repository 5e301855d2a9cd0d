#include "fescue/serving/requestcontext.h"

#include "fescue/observe/log.h"
#include "fescue/serving/enginesend.h"
#include "fescue/serving/refusal.h"

#include <span>
#include <vector>

namespace fescue::serving {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusBadGateway = 502;
constexpr int statusGatewayTimeout = 504;

std::string_view toString(RouteKind kind) noexcept
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::NonIdempotent:
        return "non-idempotent";
    case RouteKind::Streaming:
        return "streaming";
    }
    return "unknown";
}

// Records an answer for the comparison of software versions. Cold endpoints are slow whatever their
// version.
void recordVersionAnswer(ServingState &state, RequestContext &context,
                         const EndpointRecord &endpoint, bool succeeded)
{
    const Millis waited = endVersionWait(context);
    if (context.route == nullptr || (succeeded && context.wasCold))
        return;
    const Millis time = succeeded ? ServingState::now() - context.chosenAt : waited;
    state.rollouts.recordAnswer(endpoint.service, endpoint.softwareVersion, context.route->name,
                                succeeded, time);
}

// Returns the ids of the first parts of a prompt.
std::string describePrompt(std::span<const PromptPart> prompt)
{
    std::vector<PartId> parts;
    parts.reserve(prompt.size());
    for (const PromptPart &part : prompt)
        parts.push_back(part.id);
    return partsSummary(parts);
}

// Logs whether a refused caller was given a place in the order of those who come back.
void noteReturn(const RequestContext &context, std::optional<Millis> place)
{
    const std::string_view account =
        context.account == nullptr ? std::string_view() : context.account->name.text();
    observe::logChange("return",
                       {{"id", context.caller.requestId},
                        {"service", context.service.text()},
                        {"account", account},
                        {"priority", priorityInForce(context)},
                        {"in_order", place ? "yes" : "no"},
                        {"after_ms", place ? place->count : -1},
                        {"waited_before_ms", context.waitedBefore().count}});
}

} // namespace

EngineSend makeSend(const RequestContext &context, const EndpointRecord &endpoint)
{
    EngineSend send;
    send.endpoint = endpoint.name;
    send.timeLeft = context.timeLeft();
    send.removeKey = context.routes->requiresKey();
    if (context.account != nullptr)
        send.account = context.account->name;
    return send;
}

Millis RequestContext::waitedBefore() const noexcept
{
    const bool isKnown = caller.patience && route != nullptr && route->timeout > Millis {0};
    return isKnown ? std::max(route->timeout - *caller.patience, Millis {0}) : Millis {0};
}

int priorityInForce(const RequestContext &context) noexcept
{
    const bool fromAccount = context.account != nullptr && context.account->priority;
    return fromAccount ? *context.account->priority : context.route->priority;
}

EngineSend makeGenerationSend(const RequestContext &context, const EndpointRecord &endpoint)
{
    EngineSend send = makeSend(context, endpoint);
    send.priority = priorityInForce(context);
    return send;
}

void noteEndpoint(ServingState &state, RequestContext &context, const EndpointView &endpoint)
{
    context.endpointLoad = state.ledger.total(ServingState::now(), endpoint.record.name);
    context.endpoint = endpoint.record.name.text();
    context.endpointAge = ServingState::now() - endpoint.firstListedAt;
    ++context.attempts;
    context.chosenAt = ServingState::now();
    context.wasCold = endpoint.isCold(context.chosenAt);
    context.wait.end();
    if (context.route != nullptr && !context.wasCold) {
        context.wait.begin(state.rollouts,
                           {endpoint.record.service, endpoint.record.softwareVersion,
                            context.route->name, context.chosenAt});
    }
}

Millis endVersionWait(RequestContext &context)
{
    return context.wait.end() ? ServingState::now() - context.chosenAt : Millis {0};
}

void noteStreamStart(ServingState &state, RequestContext &context, const EndpointRecord &endpoint)
{
    recordVersionAnswer(state, context, endpoint, true);
}

void noteStreamFailure(ServingState &state, RequestContext &context, const EndpointRecord &endpoint)
{
    recordVersionAnswer(state, context, endpoint, false);
}

void noteEarlierStreamFailure(ServingState &state, const RequestContext &context,
                              const EndpointRecord &endpoint, Millis waited)
{
    if (context.route == nullptr)
        return;
    state.rollouts.recordAnswer(endpoint.service, endpoint.softwareVersion, context.route->name,
                                false, waited);
}

void noteCallerLeft(ServingState &state, RequestContext &context, const EndpointRecord &endpoint)
{
    if (!context.wait.end() || context.route == nullptr)
        return;
    state.rollouts.recordAbandoned(endpoint.service, endpoint.softwareVersion, context.route->name,
                                   ServingState::now() - context.chosenAt);
}

void notePrefix(ServingState &state, RequestContext &context, const EndpointView &endpoint,
                std::span<const PromptPart> parts)
{
    const Millis now = ServingState::now();
    const EndpointIncarnation engine {endpoint.record.name, endpoint.record.incarnation};
    context.heldTokens = state.prefixes.heldTokens(now, engine, parts);
    state.prefixes.recordRead(now, engine, parts);
    state.metrics.counter("fescue_prefix_tokens_held_total")
        .Increment(static_cast<double>(context.heldTokens));
}

void noteAttempt(ServingState &state, RequestContext &context, const EndpointRecord &endpoint,
                 SendOutcome outcome, std::string_view detail)
{
    // Neither says anything about the endpoint.
    const bool withheld = outcome == SendOutcome::Quarantined || outcome == SendOutcome::ZoneOut;
    if (outcome == SendOutcome::CallerGone)
        noteCallerLeft(state, context, endpoint);
    if (outcome == SendOutcome::CallerGone || withheld) {
        context.wait.end();
        return;
    }
    const Millis now = ServingState::now();
    const bool unreachable = outcome == SendOutcome::NotSent || outcome == SendOutcome::Refused
        || outcome == SendOutcome::OtherEndpoint;
    if (unreachable)
        state.health.recordUnresponsive(now, endpoint.name);
    else
        state.health.record(now, endpoint.name, outcome == SendOutcome::Succeeded);
    const bool hasRun = !unreachable && outcome != SendOutcome::NotRun;
    const bool isStream = context.route != nullptr && context.route->kind == RouteKind::Streaming;
    // The success of a stream is its first event.
    if (hasRun && !(isStream && outcome == SendOutcome::Succeeded))
        recordVersionAnswer(state, context, endpoint, outcome == SendOutcome::Succeeded);
    else if (!hasRun)
        context.wait.end();
    if (outcome == SendOutcome::Refused)
        state.recordRefusedConnection(endpoint);
    if (outcome == SendOutcome::Succeeded)
        return;
    context.detail = detail;
    observe::logChange(
        "attempt",
        {{"id", context.caller.requestId},
         {"endpoint", endpoint.name.text()},
         {"outcome", serving::toString(outcome)},
         {"endpoint_age_ms", context.endpointAge.count},
         {"failure_pct", static_cast<int>(state.health.failureRate(now, endpoint.name) * 100)},
         {"left_ms", context.timeLeft().count},
         {"detail", detail}});
}

void noteHeld(ServingState &state, const RequestContext &context, const TurnRequest &request,
              TurnStep step)
{
    if (request.held == Millis {0} && step == TurnStep::Start)
        return;
    const std::string_view account =
        context.account == nullptr ? std::string_view() : context.account->name.text();
    observe::logChange("held",
                       {{"id", context.caller.requestId},
                        {"step", step == TurnStep::Wait ? "abandoned" : toString(step)},
                        {"service", context.service.text()},
                        {"route", context.route->name},
                        {"account", account},
                        {"priority", priorityInForce(context)},
                        {"over_share", request.overShare ? "yes" : "no"},
                        {"held_ms", request.held.count},
                        {"waited_ms", request.waited.count},
                        {"queue_ms", request.offer ? request.offer->queueDelay.count : -1}});
    state.metrics
        .histogram("fescue_generation_held_ms", observe::delayBucketsMillis(),
                   {{"service", context.service.text()},
                    {"priority", std::to_string(priorityInForce(context))}})
        .Observe(static_cast<double>(request.held.count));
}

void noteOutcome(ServingState &state, const RequestContext &context, ResultCode code, int status)
{
    const Millis now = ServingState::now();
    const std::string kind(context.route == nullptr ? "none" : toString(context.route->kind));
    const Millis total = now - context.arrivedAt;
    const Millis first =
        context.firstByteAt > Millis {0} ? context.firstByteAt - context.arrivedAt : total;
    const std::uint64_t version = context.routes ? context.routes->version().value : 0;
    observe::logChange(
        "request",
        {{"id", context.caller.requestId},
         {"code", fescue::toString(code)},
         {"status", status},
         {"kind", kind},
         {"route", context.route == nullptr ? std::string_view() : context.route->name},
         {"account",
          context.account == nullptr ? std::string_view() : context.account->name.text()},
         {"config", version},
         {"endpoint", context.endpoint},
         {"endpoint_age_ms", context.endpointAge.count},
         {"load_requests", context.endpointLoad.requests},
         {"load_memory", context.endpointLoad.memoryTokens},
         {"load_prefill", context.endpointLoad.prefillTokens},
         {"prefix_held", context.heldTokens},
         {"attempts", context.attempts},
         {"moves", context.moves},
         {"events", context.events},
         {"after_event", context.position.value_or(0)},
         {"parts", describePrompt(context.caller.promptParts)},
         {"first_ms", first.count},
         {"total_ms", total.count},
         {"left_ms", context.timeLeft().count},
         {"detail", context.detail}});
    state.metrics
        .counter("fescue_requests_total",
                 {{"kind", kind}, {"code", std::string(fescue::toString(code))}})
        .Increment();
    state.metrics
        .histogram("fescue_request_first_byte_ms", observe::delayBucketsMillis(), {{"kind", kind}})
        .Observe(static_cast<double>(first.count));
}

net::Problem notRunProblem(ServingState &state, const RequestContext &context, ResultCode code,
                           std::string detail)
{
    const RefusalCause cause =
        code == ResultCode::NoCapacity ? RefusalCause::Full : RefusalCause::Transient;
    const bool isGeneration = context.route != nullptr && context.routes != nullptr
        && context.routes->findEngineModel(context.service) != nullptr;
    std::optional<Millis> place;
    if (cause == RefusalCause::Full && isGeneration) {
        place = state.reserveReturn(context.service, priorityInForce(context), context.timeLeft());
        noteReturn(context, place);
    }
    const Millis delay = place ? *place : retryDelay(cause, context.timeLeft(), state.uniform());
    // While all endpoints of the service have asked for a pause, callers are asked to retry only
    // after the first of these pauses has ended.
    return {statusUnavailable, code, RunState::NotRun, std::move(detail),
            std::max(delay, state.pauseOfAll(context.service))};
}

net::Problem quarantineProblem(RequestContext &context, const PromptDecision &decision)
{
    const QuarantineEntry &entry = decision.entry;
    const Millis age = ServingState::now() - entry.lastCrashAt;
    context.detail = "prompt part " + partsText(entry.parts)
        + " is in quarantine: " + std::to_string(entry.crashes) + " engine crashes, the last one "
        + std::to_string(age.count) + " ms ago, " + std::to_string(entry.trials) + " trials";
    return {statusUnavailable, ResultCode::PromptQuarantined, RunState::NotRun, context.detail,
            decision.retryAfter};
}

net::Problem unknownProblem(SendOutcome outcome, std::string detail)
{
    if (outcome == SendOutcome::TimedOut) {
        return {statusGatewayTimeout, ResultCode::BackEndTimeout, RunState::Unknown,
                std::move(detail), std::nullopt};
    }
    return {statusBadGateway, ResultCode::BackEndLost, RunState::Unknown, std::move(detail),
            std::nullopt};
}

} // namespace fescue::serving
