#pragma once

#include "fescue/net/httpclient.h"
#include "fescue/serving/attemptpolicy.h"
#include "fescue/serving/protocol.h"
#include "fescue/serving/servingstate.h"

#include <functional>
#include <string>

namespace fescue::serving {

// The answer of an endpoint up to the end of its head, or the reason why there is none.
struct ExchangeResult
{
    SendOutcome outcome = SendOutcome::Lost;
    EngineAnswerHead head;
    net::ClientStream stream;
    // What went wrong, for the log.
    std::string detail;
};

// Tells how a failed call of an endpoint counts.
[[nodiscard]] SendOutcome outcomeOf(const Error &error) noexcept;

// Sends a request to an endpoint on a connection of its own and reads the head of the answer.
// Answers to other requests that arrive first are skipped. What the endpoint says of itself is
// recorded with the state. `abandoned` returns true once the caller no longer waits.
template <PlatformProtocol P>
[[nodiscard]] ExchangeResult exchange(ServingState &state, const EndpointRecord &endpoint,
                                      const net::HttpRequest &request, const EngineSend &send,
                                      const std::string &requestId, Millis timeout,
                                      const std::function<bool()> &abandoned);

// Makes a control call of this process to an endpoint and reads the whole answer. Fails with
// BackEndRefused, and sends nothing, while the endpoint wants no requests.
template <PlatformProtocol P>
[[nodiscard]] Result<net::HttpResponse>
callEndpoint(ServingState &state, const EndpointRecord &endpoint, const net::HttpRequest &request,
             Millis timeout);

} // namespace fescue::serving

#include "fescue/serving/engineexchange.inl"
