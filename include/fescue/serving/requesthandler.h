#pragma once

#include "fescue/serving/plainforwarder.h"
#include "fescue/serving/streamforwarder.h"

namespace fescue::serving {

// Serves the requests of callers: finds route and account, and hands the request to the forwarder
// for its kind.
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
    // Fills in route, account, service and deadline. Returns the refusal where that fails.
    [[nodiscard]] std::optional<net::Problem> resolve(RequestContext &context);
    void refuse(const RequestContext &context, const net::Problem &problem);

    ServingState *m_state;
    PlainForwarder<P> m_plain;
    StreamForwarder<P> m_streams;
};

} // namespace fescue::serving

#include "fescue/serving/requesthandler.inl"
