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
        : m_state(&state), m_plain(state), m_streams(state, mover)
    { }

    void handle(const net::HttpRequest &request, net::ResponseWriter &writer);

private:
    void serve(RequestContext &context);
    void dispatch(RequestContext &context);
    // Sets route, account, service and deadline. Returns the refusal if that fails.
    [[nodiscard]] std::optional<net::Problem> resolve(RequestContext &context);
    void refuse(const RequestContext &context, const net::Problem &problem);

    ServingState *m_state;
    PlainForwarder<P> m_plain;
    StreamForwarder<P> m_streams;
};

} // namespace fescue::serving

#include "fescue/serving/requesthandler.inl"
