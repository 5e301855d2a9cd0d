#pragma once

namespace fescue::serving {

// Maximum number of answers to other requests that are skipped on one connection, and maximum size
// of each.
inline constexpr int maxSkippedAnswers = 3;
inline constexpr std::size_t maxSkippedBytes = std::size_t {4} * 1024 * 1024;

template <PlatformProtocol P>
ExchangeResult exchange(ServingState &state, const EndpointRecord &endpoint,
                        const net::HttpRequest &request, const EngineSend &send,
                        const std::string &requestId, Millis timeout,
                        const std::function<bool()> &abandoned)
{
    const Millis deadline = SteadyClock {}.now() + timeout;
    ExchangeResult result;
    Result<net::ClientStream> stream = state.engineClient.openStream(
        endpoint.address, P::encodeSend(request, send), timeout, abandoned);
    if (!stream) {
        result.outcome = outcomeOf(stream.error());
        result.detail = stream.error().message;
        return result;
    }
    result.stream = std::move(*stream);
    for (int skipped = 0;; ++skipped) {
        result.head = P::decodeAnswerHead(result.stream.status(), result.stream.headers());
        if (!result.head.otherEndpoint)
            state.handleAnswerHead(endpoint, result.head);
        const bool isOurs = result.head.requestId.empty() || result.head.requestId == requestId;
        if (isOurs)
            break;
        const Millis left = deadline - SteadyClock {}.now();
        const Result<void> next = skipped < maxSkippedAnswers
            ? result.stream.nextAnswer(maxSkippedBytes, left)
            : fail(ResultCode::BackEndProtocol, "too many answers to other requests");
        if (!next) {
            result.outcome = outcomeOf(next.error());
            result.detail = next.error().message;
            return result;
        }
    }
    if (result.head.otherEndpoint)
        result.outcome = SendOutcome::OtherEndpoint;
    else if (result.head.notRun)
        result.outcome = SendOutcome::NotRun;
    else
        result.outcome = result.head.isSuccess() ? SendOutcome::Succeeded : SendOutcome::Failed;
    return result;
}

template <PlatformProtocol P>
Result<net::HttpResponse> callEndpoint(ServingState &state, const EndpointRecord &endpoint,
                                       const net::HttpRequest &request, Millis timeout)
{
    if (!state.mayCall(endpoint))
        return fail(ResultCode::BackEndRefused, "the endpoint wants no requests for now");
    Result<net::HttpResponse> response =
        state.engineClient.request(endpoint.address, request, timeout);
    if (response)
        state.handleAnswerHead(endpoint, P::decodeAnswerHead(response->status, response->headers));
    return response;
}

} // namespace fescue::serving
