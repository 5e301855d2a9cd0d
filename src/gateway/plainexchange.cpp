#include "fescue/gateway/plainexchange.h"

#include "fescue/config/accountkeys.h"

#include <array>
#include <random>

namespace fescue::gateway {

namespace {

constexpr std::string_view requestIdHeader = "X-Request-Id";
constexpr std::size_t maxAnswerBytes = std::size_t {16} * 1024 * 1024;
// Maximum number of answers to earlier requests that are skipped on one connection, and maximum
// size of each.
constexpr int maxSkippedAnswers = 3;
constexpr std::size_t maxSkippedBytes = std::size_t {1024} * 1024;

// Skips answers to earlier requests, which a faulty service may repeat on a kept connection. Fails
// with BackEndProtocol if an answer there does not say which request it is for.
Result<void> findAnswer(net::ClientStream &stream, std::string_view requestId, Millis deadline)
{
    for (int skipped = 0; skipped <= maxSkippedAnswers; ++skipped) {
        const std::string_view id = stream.header(requestIdHeader);
        if (id == requestId || (id.empty() && !stream.isReused()))
            return {};
        if (id.empty())
            return fail(ResultCode::BackEndProtocol, "the answer does not name its request");
        const Millis left = deadline - SteadyClock {}.now();
        if (Result<void> next = stream.nextAnswer(maxSkippedBytes, left); !next)
            return next;
    }
    return fail(ResultCode::BackEndProtocol, "too many answers to other requests");
}

} // namespace

Request admissionRequest(const GatewayParts &parts, const PlainRequest &request, RequestId id)
{
    Request admission;
    admission.id = id;
    admission.account = request.account;
    admission.service = request.service;
    if (request.deadline.isSet()) {
        const Millis now = parts.clock.now();
        admission.deadline = now + request.deadline.remaining(now);
    }
    return admission;
}

Result<net::HttpResponse> exchange(GatewayParts &parts, const PlainRequest &request,
                                   const EndpointName &endpoint)
{
    const std::optional<net::Address> address = parts.views.current()->addressOf(endpoint);
    if (!address)
        return fail(ResultCode::ConnectFailed, "the endpoint is no longer configured");
    net::HttpRequest http = request.http;
    http.mayResend = request.contract.repeatable;
    if (!request.idempotencyKey.empty())
        http.headers.push_back({"Idempotency-Key", request.idempotencyKey});
    http.headers.push_back({std::string(requestIdHeader), request.requestId});
    const Millis timeout = request.deadline.limit(parts.clock.now(), request.contract.timeout);
    const Millis deadline = parts.clock.now() + timeout;
    Result<net::ClientStream> stream = parts.client.openStream(*address, http, timeout);
    if (!stream)
        return tl::unexpected(stream.error());
    if (const Result<void> found = findAnswer(*stream, request.requestId, deadline); !found) {
        stream->close();
        return tl::unexpected(found.error());
    }
    Result<std::string> body = stream->readAll(maxAnswerBytes, deadline - parts.clock.now());
    // Only answers that name their request can be told apart on a connection that is kept.
    if (!body || stream->header(requestIdHeader).empty())
        stream->close();
    if (!body && body.error().code == ResultCode::LinkSilent)
        body.error().code = ResultCode::BackEndTimeout;
    if (!body)
        return tl::unexpected(body.error());
    return net::HttpResponse {stream->status(), stream->headers(), std::move(*body)};
}

std::string requestDigest(const PlainRequest &request)
{
    return hashKey(request.http.method + ' ' + request.http.target + '?' + request.http.query + '\n'
                   + request.http.body);
}

std::string newNonce()
{
    thread_local std::mt19937_64 engine {std::random_device {}()};
    constexpr std::string_view digits = "0123456789abcdef";
    std::string nonce;
    for (int word = 0; word < 2; ++word) {
        std::uint64_t bits = engine();
        for (int n = 0; n < 16; ++n, bits >>= 4)
            nonce += digits[bits & 15U];
    }
    return nonce;
}

} // namespace fescue::gateway
