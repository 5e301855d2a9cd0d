#pragma once

namespace fescue::serving {

// Answers to other requests that are skipped on one connection, and the most bytes of each.
inline constexpr int maxSkippedAnswers = 3;
inline constexpr std::size_t maxSkippedBytes = std::size_t {4} * 1024 * 1024;

template <PlatformProtocol P>
ExchangeResult exchange(net::HttpClient &client, const net::Address &address,
                        const net::HttpRequest &request, const EngineSend &send,
                        const std::string &requestId, Millis timeout,
                        const std::function<bool()> &abandoned)
{
    const Millis deadline = SteadyClock {}.now() + timeout;
    ExchangeResult result;
    Result<net::ClientStream> stream =
        client.openStream(address, P::encodeSend(request, send), timeout, abandoned);
    if (!stream) {
        result.outcome = outcomeOf(stream.error());
        result.detail = stream.error().message;
        return result;
    }
    result.stream = std::move(*stream);
    for (int skipped = 0;; ++skipped) {
        result.head = P::decodeAnswerHead(result.stream.status(), result.stream.headers());
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

} // namespace fescue::serving
