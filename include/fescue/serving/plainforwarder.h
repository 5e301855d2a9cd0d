#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/promptguard.h"
#include "fescue/serving/refuse.h"
#include "fescue/serving/requestcontext.h"

namespace fescue::serving {

// Serves requests to plain services. Reads each answer completely before forwarding any of it, so
// that a truncated answer never looks complete to the caller.
template <PlatformProtocol P>
class PlainForwarder
{
public:
    PlainForwarder(ServingState &state, PromptGuard<P> &guard) noexcept
        : m_state(&state), m_guard(&guard)
    { }

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
                                  bool isLast, net::ByteReservation &memory);
    // Reads the rest of an answer. Where its length is known, waits first until there is memory for
    // all of it, so that answers that are held in part do not block one another.
    [[nodiscard]] static Result<std::string> readAnswer(net::ClientStream &stream,
                                                        const RequestContext &context,
                                                        net::ByteReservation &memory, Millis until);
    void finish(RequestContext &context, AttemptVerdict verdict, Attempt &attempt);

    ServingState *m_state;
    PromptGuard<P> *m_guard;
};

} // namespace fescue::serving

#include "fescue/serving/plainforwarder.inl"
