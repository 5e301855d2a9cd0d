#pragma once

#include <utility>

namespace fescue::serving {

// Maximum number of answers to other requests that are skipped on one connection, and maximum size
// of each.
inline constexpr int maxSkippedAnswers = 3;
inline constexpr std::size_t maxSkippedBytes = std::size_t {4} * 1024 * 1024;

template <PlatformProtocol P>
ExchangeResult exchange(ServingState &state, RequestContext &context,
                        const EndpointRecord &endpoint, const EngineSend &send, Millis timeout,
                        const std::function<bool()> &abandoned)
{
    const Millis deadline = SteadyClock {}.now() + timeout;
    const std::string &requestId = context.caller.requestId;
    ExchangeResult result;
    if (state.endpoints.isZoneOut(endpoint.zone)) {
        result.outcome = SendOutcome::ZoneOut;
        result.detail = "availability zone " + endpoint.zone.text() + " is out of service";
        return result;
    }
    // A worker that stops waits for no answer.
    if (net::stopRequested()) {
        result.outcome = SendOutcome::NotSent;
        result.detail = "this entry ends";
        return result;
    }
    // A trial may be sent once.
    const bool isTrial = std::exchange(context.isTrial, false);
    const PromptDecision decision =
        state.quarantine.decide(ServingState::now(), context.caller.promptParts);
    if (decision.verdict != PromptVerdict::Admit && !isTrial) {
        result.outcome = SendOutcome::Quarantined;
        result.detail = "prompt part " + partsText(decision.entry.parts) + " is in quarantine";
        return result;
    }
    net::HttpRequest request = P::encodeSend(context.request, send);
    request.settleTime = send.settleTime;
    Result<net::ClientStream> stream =
        state.engineClient.openStream(endpoint.address, request, timeout, abandoned);
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
    if (result.head.otherEndpoint) {
        result.outcome = SendOutcome::OtherEndpoint;
    } else if (result.head.notRun) {
        result.outcome = SendOutcome::NotRun;
    } else if (result.head.isForeignSuccess) {
        result.outcome = SendOutcome::Foreign;
        result.detail = "the success is not the endpoint's own answer";
    } else {
        result.outcome = result.head.isSuccess() ? SendOutcome::Succeeded : SendOutcome::Failed;
    }
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
