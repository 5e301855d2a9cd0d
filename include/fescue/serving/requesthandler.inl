#pragma once

#include "fescue/net/opensockets.h"

namespace fescue::serving {

// Time limit of a request that states none, unless its route has a shorter timeout.
inline constexpr Millis defaultRequestTimeout = 30_s;

template <PlatformProtocol P>
void RequestHandler<P>::handle(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    RequestContext context(request, writer);
    context.routes = m_state->routes;
    context.arrivedAt = ServingState::now();
    ++m_state->open;
    try {
        serve(context);
    } catch (...) {
        --m_state->open;
        throw;
    }
    --m_state->open;
}

template <PlatformProtocol P>
void RequestHandler<P>::serve(RequestContext &context)
{
    std::optional<net::Problem> problem = resolve(context);
    if (!problem)
        problem = m_guard.admit(context);
    if (problem)
        refuse(context, *problem);
    else
        dispatch(context);
}

template <PlatformProtocol P>
void RequestHandler<P>::dispatch(RequestContext &context)
{
    m_state->retryBudgetOf(context.service).recordRequest(context.arrivedAt);
    if (context.route->kind == RouteKind::Streaming)
        m_streams.serve(context);
    else
        m_plain.serve(context);
}

template <PlatformProtocol P>
std::optional<net::Problem> RequestHandler<P>::resolve(RequestContext &context)
{
    context.deadline = context.arrivedAt + defaultRequestTimeout;
    Result<CallerRequest> caller = P::decodeCaller(context.request);
    if (!caller) {
        return net::Problem {400, caller.error().code, RunState::NotRun, caller.error().message,
                             std::nullopt};
    }
    context.caller = std::move(*caller);
    if (!context.routes)
        return notRunProblem(*m_state, context, ResultCode::NotReady, "no configuration yet");
    context.route = context.routes->findRoute(context.caller.host, context.request.target);
    if (context.route == nullptr) {
        return net::Problem {404, ResultCode::NoSuchRoute, RunState::NotRun,
                             "no route for this host and path", std::nullopt};
    }
    if (context.routes->requiresKey()) {
        context.account = context.routes->findAccount(context.caller.accountKey);
        if (context.account == nullptr && !context.route->anonymous) {
            return net::Problem {401, ResultCode::UnknownAccount, RunState::NotRun,
                                 "no account has this key", std::nullopt};
        }
    }
    const Route &route = *context.route;
    const Result<std::optional<std::uint64_t>> position = requestedPosition(route, context.caller);
    if (!position) {
        return net::Problem {400, position.error().code, RunState::NotRun, position.error().message,
                             std::nullopt};
    }
    context.position = *position;
    context.service = RouteTable::pickService(route, m_state->uniform());
    Millis patience = context.caller.patience.value_or(defaultRequestTimeout);
    if (route.timeout > Millis {0})
        patience = std::min(patience, route.timeout);
    context.deadline = context.arrivedAt + patience;
    if (patience <= Millis {0}) {
        return notRunProblem(*m_state, context, ResultCode::DeadlineUnreachable,
                             "the deadline has passed");
    }
    if (!m_state->stop.mayTake(context.deadline)) {
        return notRunProblem(*m_state, context, ResultCode::ShuttingDown,
                             "this entry is shutting down");
    }
    if (net::openSockets() >= m_state->socketLimits.all) {
        return notRunProblem(*m_state, context, ResultCode::NoCapacity,
                             "no descriptor is left for a connection to an endpoint");
    }
    return std::nullopt;
}

template <PlatformProtocol P>
void RequestHandler<P>::refuse(const RequestContext &context, const net::Problem &problem)
{
    const Result<void> sent = context.writer.send(P::encodeRefusal(problem));
    noteOutcome(*m_state, context, sent ? problem.code : sent.error().code, problem.status);
}

} // namespace fescue::serving
