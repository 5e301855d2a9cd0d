#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/refuse.h"
#include "fescue/serving/requestcontext.h"

namespace fescue::serving {

// Serves requests to plain services: each answer is read whole before any of it is passed on, so
// that one that breaks off never looks complete.
template <PlatformProtocol P>
class PlainForwarder
{
public:
    explicit PlainForwarder(ServingState &state) noexcept : m_state(&state) { }

    void serve(RequestContext &context);

private:
    struct Attempt
    {
        SendOutcome outcome = SendOutcome::NotSent;
        net::HttpResponse answer;
    };

    [[nodiscard]] const EndpointView *choose(const RequestContext &context,
                                             const PlacementDemand &demand);
    [[nodiscard]] Attempt attempt(RequestContext &context, const EndpointRecord &endpoint,
                                  bool isLast, ByteReservation &memory);
    void finish(RequestContext &context, AttemptVerdict verdict, Attempt &attempt);

    ServingState *m_state;
};

} // namespace fescue::serving

#include "fescue/serving/plainforwarder.inl"
