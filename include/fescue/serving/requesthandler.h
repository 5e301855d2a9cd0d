#pragma once

#include "fescue/serving/plainforwarder.h"
#include "fescue/serving/streamforwarder.h"

namespace fescue::serving {

// Serves the requests of callers: finds the route and the account, and passes the request to the
// forwarder for the route's kind.
template <PlatformProtocol P>
class RequestHandler
{
public:
    RequestHandler(ServingState &state, GenerationMover<P> &mover) noexcept
        : m_state(&state), m_guard(state), m_plain(state, m_guard), m_streams(state, mover, m_guard)
    { }

    void handle(const net::HttpRequest &request, net::ResponseWriter &writer);
    [[nodiscard]] PromptGuard<P> &guard() noexcept { return m_guard; }

private:
    void serve(RequestContext &context);
    void dispatch(RequestContext &context);
    // Sets route, account, service and deadline. Returns the refusal if that fails.
    [[nodiscard]] std::optional<net::Problem> resolve(RequestContext &context);
    void refuse(const RequestContext &context, const net::Problem &problem);

    ServingState *m_state;
    PromptGuard<P> m_guard;
    PlainForwarder<P> m_plain;
    StreamForwarder<P> m_streams;
};

} // namespace fescue::serving

#include "fescue/serving/requesthandler.inl"
