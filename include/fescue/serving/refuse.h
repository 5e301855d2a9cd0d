#pragma once

#include "fescue/serving/protocol.h"
#include "fescue/serving/requestcontext.h"

namespace fescue::serving {

// Answers a request with an error of the serving system itself, and logs its outcome.
template <PlatformProtocol P>
void refuse(ServingState &state, RequestContext &context, const net::Problem &problem)
{
    const Result<void> sent = context.writer.send(P::encodeRefusal(problem));
    if (!sent)
        context.detail = sent.error().message;
    noteOutcome(state, context, problem.code, problem.status);
}

} // namespace fescue::serving
