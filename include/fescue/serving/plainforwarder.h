#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/plainattempt.h"
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
        // The attempt was ended in favour of another one, whose retry has been taken.
        bool retryTaken = false;
    };

    // Chooses an endpoint that has not been tried; with `mayRepeat` also one that has, if there is
    // no other. Returns null if none may be used.
    [[nodiscard]] const EndpointView *choose(const RequestContext &context,
                                             const PlacementDemand &demand, bool mayRepeat);
    // Returns the endpoint of a granted slot, or null if there is none that this process may use.
    [[nodiscard]] const EndpointView *granted(const RequestContext &context, const SlotGrant &slot);
    // Endpoints that have been tried are excluded unless `mayRepeat`, cold ones of which this
    // process has no share left in any case.
    [[nodiscard]] SlotWish wishOf(const RequestContext &context, const PlacementDemand &demand,
                                  bool mayRepeat);
    // Returns true if the request could be sent to an endpoint that has not been tried.
    [[nodiscard]] bool hasUntried(const RequestContext &context, const PlacementDemand &demand);
    [[nodiscard]] Millis settleTimeOf(const RequestContext &context, const EndpointRecord &endpoint,
                                      bool hasSlot) const;
    // `takeOther` is asked once the attempt has lasted longer than usual, and returns true if
    // another one takes its place; it has then taken the retry.
    [[nodiscard]] Attempt attempt(RequestContext &context, const EndpointRecord &endpoint,
                                  bool hasSlot, const std::function<bool()> &takeOther,
                                  net::ByteReservation &memory);
    // Reads the rest of an answer. Where its length is known, waits first until there is memory for
    // all of it, so that answers that are held in part do not block one another.
    [[nodiscard]] static Result<std::string> readAnswer(net::ClientStream &stream,
                                                        const RequestContext &context,
                                                        net::ByteReservation &memory, Millis until);
    // `isFull` tells that no slot of the service becomes free in time.
    void finish(RequestContext &context, AttemptVerdict verdict, Attempt &attempt, bool isFull);

    ServingState *m_state;
    PromptGuard<P> *m_guard;
};

} // namespace fescue::serving

#include "fescue/serving/plainforwarder.inl"
