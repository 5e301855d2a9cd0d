#include "fescue/node/operatorroutes.h"

#include <charconv>
#include <cstdint>

namespace fescue::node {

namespace {

net::HttpResponse timelineAnswer(const net::HttpRequest &request, const observe::Timeline &timeline)
{
    std::int64_t since = 0;
    const std::string text = request.queryValue("since").value_or("0");
    std::from_chars(text.data(), text.data() + text.size(), since);
    return net::jsonResponse(200, timeline.toJson(since));
}

} // namespace

std::optional<net::HttpResponse> answerOperator(const net::HttpRequest &request,
                                                const OperatorSources &sources)
{
    if (request.method != "GET")
        return std::nullopt;
    if (request.target == "/metrics")
        return net::HttpResponse {
            200, {{"Content-Type", "text/plain; version=0.0.4"}}, sources.metrics.serialize()};
    if (request.target == "/healthz")
        return net::HttpResponse {200, {}, "ok\n"};
    if (request.target == "/readyz")
        return sources.ready() ? net::HttpResponse {200, {}, "ready\n"}
                               : net::HttpResponse {503, {}, "not ready\n"};
    if (request.target == "/status")
        return net::jsonResponse(200, sources.status());
    if (request.target == "/timeline")
        return timelineAnswer(request, sources.timeline);
    return std::nullopt;
}

} // namespace fescue::node
