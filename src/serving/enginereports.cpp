#include "fescue/serving/enginereports.h"

#include "fescue/core/rendezvous.h"
#include "fescue/serving/storefeed.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescue::serving {

namespace {

using Json = nlohmann::json;

// Prompt tokens that count for a request that waits at an engine: a usual prompt of the sheets.
constexpr std::uint64_t waitingPromptTokens = 2500;
// Bytes of one load in a datagram beyond the name of its endpoint, at most.
constexpr std::size_t loadBytes = 32;

std::string encode(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

} // namespace

EndpointLoad toLoad(const EngineReport &report) noexcept
{
    return {report.running + report.waiting, report.memoryUsedTokens,
            report.waiting * waitingPromptTokens};
}

bool mustAsk(const EndpointName &engine, const MemberName &self,
             std::span<const MemberView> members)
{
    std::vector<std::string_view> watchers;
    for (const MemberName &name : FeedPolicy::watchersAmong(self, members))
        watchers.push_back(name.text());
    const std::vector<std::size_t> order = rendezvousOrder(engine.text(), watchers);
    return !order.empty() && watchers[order.front()] == self.text();
}

std::vector<std::string> encodeReports(std::span<const EndpointLoadOf> loads)
{
    std::vector<std::string> datagrams;
    Json list = Json::array();
    std::size_t bytes = 0;
    for (const EndpointLoadOf &entry : loads) {
        const std::size_t more = entry.endpoint.text().size() + loadBytes;
        if (!list.empty() && bytes + more > maxReportBytes) {
            datagrams.push_back(encode(list));
            list = Json::array();
            bytes = 0;
        }
        bytes += more;
        list.push_back({entry.endpoint.text(), entry.load.requests, entry.load.memoryTokens,
                        entry.load.prefillTokens});
    }
    if (!list.empty())
        datagrams.push_back(encode(list));
    return datagrams;
}

Result<std::vector<EndpointLoadOf>> decodeReports(std::string_view bytes)
{
    try {
        std::vector<EndpointLoadOf> loads;
        for (const Json &entry : Json::from_cbor(bytes.begin(), bytes.end())) {
            loads.push_back({EndpointName(entry.at(0).get<std::string>()),
                             {entry.at(1).get<std::uint32_t>(), entry.at(2).get<std::uint64_t>(),
                              entry.at(3).get<std::uint64_t>()}});
        }
        return loads;
    } catch (const Json::exception &e) {
        return fail(ResultCode::MessageMalformed, std::string("reports of engines: ") + e.what());
    }
}

} // namespace fescue::serving
