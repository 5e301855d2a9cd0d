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

// Returns the ids of the first parts of a prompt.
std::string describePrompt(std::span<const PromptPart> prompt)
{
    std::vector<PartId> parts;
    parts.reserve(prompt.size());
    for (const PromptPart &part : prompt)
        parts.push_back(part.id);
    return partsSummary(parts);
}

} // namespace

EngineSend makeSend(const RequestContext &context, const EndpointRecord &endpoint)
{
    EngineSend send;
    send.endpoint = endpoint.name;
    send.timeLeft = context.timeLeft();
    send.removeKey = context.routes->hasAccounts();
    if (context.account != nullptr)
        send.account = context.account->name;
    return send;
}

EngineSend makeGenerationSend(const RequestContext &context, const EndpointRecord &endpoint)
{
    EngineSend send = makeSend(context, endpoint);
    const bool fromAccount = context.account != nullptr && context.account->priority;
    send.priority = fromAccount ? *context.account->priority : context.route->priority;
    return send;
}

void noteEndpoint(const ServingState &state, RequestContext &context, const EndpointView &endpoint)
{
    context.endpointLoad = state.ledger.total(ServingState::now(), endpoint.record.name);
    context.endpoint = endpoint.record.name.text();
    context.endpointAge = ServingState::now() - endpoint.firstListedAt;
    ++context.attempts;
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
    if (outcome == SendOutcome::CallerGone || withheld)
        return;
    const Millis now = ServingState::now();
    const bool unreachable = outcome == SendOutcome::NotSent || outcome == SendOutcome::Refused
        || outcome == SendOutcome::OtherEndpoint;
    if (unreachable)
        state.health.recordUnresponsive(now, endpoint.name);
    else
        state.health.record(now, endpoint.name, outcome == SendOutcome::Succeeded);
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
    const Millis delay = retryDelay(cause, context.timeLeft(), state.uniform());
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
