#pragma once

#include "fescue/observe/log.h"

namespace fescue::serving {

// How often each engine is asked. Its reports are some hundred milliseconds old anyway.
inline constexpr Millis reportInterval = 500_ms;
// An engine that takes longer has nothing to tell that is still true.
inline constexpr Millis reportAnswerTimeout = 300_ms;

template <PlatformProtocol P>
ReportPoller<P>::ReportPoller(ServingState &state, MemberName self, Broadcast broadcast)
    : m_state(&state), m_self(std::move(self)), m_broadcast(std::move(broadcast)),
      m_failed(&state.metrics.counter("fescue_engine_reports_failed_total"))
{ }

template <PlatformProtocol P>
std::vector<EndpointRecord> ReportPoller<P>::enginesToAsk() const
{
    std::vector<EndpointRecord> engines;
    if (!m_state->routes)
        return engines;
    const std::vector<MemberView> members = m_state->members.members(ServingState::now());
    if (!FeedPolicy::isWatcher(m_self, members))
        return engines;
    for (const ServiceSpec &service : m_state->routes->config().services) {
        if (!service.engine)
            continue;
        for (const EndpointView *endpoint : m_state->endpoints.usable(service.name)) {
            if (mustAsk(endpoint->record.name, m_self, members))
                engines.push_back(endpoint->record);
        }
    }
    return engines;
}

template <PlatformProtocol P>
void ReportPoller<P>::run()
{
    while (!net::stopRequested()) {
        const std::vector<EndpointRecord> engines = enginesToAsk();
        const std::shared_ptr<Round> round = std::make_shared<Round>();
        round->open = engines.size();
        for (const EndpointRecord &engine : engines) {
            m_state->pool.spawn(net::currentWorker(),
                                [this, engine, round] { ask(engine, round); });
        }
        net::sleepFor(reportInterval);
    }
}

template <PlatformProtocol P>
void ReportPoller<P>::ask(const EndpointRecord &engine, const std::shared_ptr<Round> &round)
{
    const Result<net::HttpResponse> response =
        m_state->engineClient.request(engine.address, P::encodeReportCall(), reportAnswerTimeout);
    const Result<EngineReport> report =
        response ? P::decodeReport(response->body) : tl::unexpected(response.error());
    if (report) {
        round->loads.push_back({engine.name, toLoad(*report)});
    } else {
        m_failed->Increment();
        observe::logChange("engine-report",
                           {{"endpoint", engine.name.text()}, {"outcome", report.error().message}});
    }
    if (--round->open > 0)
        return;
    take(round->loads);
    for (const std::string &datagram : encodeReports(round->loads))
        m_broadcast(datagram);
}

template <PlatformProtocol P>
void ReportPoller<P>::take(std::span<const EndpointLoadOf> loads)
{
    const Millis now = ServingState::now();
    for (const EndpointLoadOf &entry : loads)
        m_state->ledger.endpointTold(now, entry.endpoint, entry.load);
}

} // namespace fescue::serving
