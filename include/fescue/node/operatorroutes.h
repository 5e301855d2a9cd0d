#pragma once

#include "fescue/net/httptypes.h"
#include "fescue/observe/metrics.h"
#include "fescue/observe/timeline.h"

#include <functional>
#include <optional>
#include <string>

namespace fescue::node {

// What the operators' routes of a daemon show.
struct OperatorSources
{
    const observe::Metrics &metrics;
    const observe::Timeline &timeline;
    std::function<bool()> ready;
    // The body of GET /status.
    std::function<std::string()> status;
};

// Answers GET of /metrics, /healthz, /readyz, /status and /timeline; nothing for other requests.
[[nodiscard]] std::optional<net::HttpResponse> answerOperator(const net::HttpRequest &request,
                                                              const OperatorSources &sources);

} // namespace fescue::node
