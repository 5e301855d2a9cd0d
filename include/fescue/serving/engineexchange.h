#pragma once

#include "fescue/net/httpclient.h"
#include "fescue/serving/attemptpolicy.h"
#include "fescue/serving/protocol.h"
#include "fescue/serving/requestcontext.h"
#include "fescue/serving/servingstate.h"

#include <functional>
#include <string>

namespace fescue::serving {

// Answer of an endpoint up to the end of its head, or the reason why there is none.
struct ExchangeResult
{
    SendOutcome outcome = SendOutcome::Lost;
    EngineAnswerHead head;
    net::ClientStream stream;
    // Description of the failure for the log.
    std::string detail;
};

// Returns the outcome of an attempt that failed with this error.
[[nodiscard]] SendOutcome outcomeOf(const Error &error) noexcept;

// Sends a caller's request to an endpoint on a separate connection and reads the head of the
// answer. Sends nothing if a part of its prompt is in quarantine or the endpoint's zone is out of
// service; all attempts, retries and resumes pass here. Skips answers to other requests that arrive
// first. Records what the answer reports about the endpoint in the state. `abandoned` returns true
// once the caller no longer waits.
template <PlatformProtocol P>
[[nodiscard]] ExchangeResult exchange(ServingState &state, RequestContext &context,
                                      const EndpointRecord &endpoint, const EngineSend &send,
                                      Millis timeout, const std::function<bool()> &abandoned);

// Sends a control call of this process to an endpoint and reads the complete answer. Fails with
// BackEndRefused, and sends nothing, while the endpoint has asked for a pause.
template <PlatformProtocol P>
[[nodiscard]] Result<net::HttpResponse>
callEndpoint(ServingState &state, const EndpointRecord &endpoint, const net::HttpRequest &request,
             Millis timeout);

} // namespace fescue::serving

#include "fescue/serving/engineexchange.inl"
