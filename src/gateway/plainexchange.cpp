#include "fescue/gateway/plainexchange.h"

#include "fescue/config/accountkeys.h"

#include <array>
#include <random>

namespace fescue::gateway {

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
    http.headers.push_back({"X-Request-Id", request.requestId});
    const Millis timeout = request.deadline.limit(parts.clock.now(), request.contract.timeout);
    Result<net::HttpResponse> answer = parts.client.request(*address, http, timeout);
    if (answer && answer->header("X-Request-Id") != request.requestId
        && !answer->header("X-Request-Id").empty())
        return fail(ResultCode::BackEndProtocol, "the answer belongs to another request");
    return answer;
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
