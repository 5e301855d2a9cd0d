#include "tests/lifecycle/backend.h"

#include "platform/names.h"

#include <stdexcept>

namespace fescue::test {

namespace names = platform::names;

BackEnd::BackEnd(net::WorkerPool &pool, std::string id)
    : m_id(std::move(id)),
      m_server(pool, {"127.0.0.1", 0}, net::ServerLimits {},
               [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                   handle(request, writer);
               })
{
    if (const Result<void> started = m_server.start(); !started)
        throw std::runtime_error(started.error().toString());
}

void BackEnd::setWork(Millis shortest, Millis longest)
{
    m_shortestWork = shortest.count;
    m_longestWork = longest.count;
}

std::optional<BackEndRun> BackEnd::runOf(const std::string &callId) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_runs.find(callId);
    return it == m_runs.end() ? std::nullopt : std::optional(it->second);
}

Millis BackEnd::drawWork()
{
    return {std::uniform_int_distribution<std::int64_t>(m_shortestWork, m_longestWork)(m_random)};
}

void BackEnd::handle(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const std::string callId(request.header(names::requestId));
    if (callId.empty()) {
        static_cast<void>(writer.send({200, {{"X-Instance-Id", m_id}}, {}}));
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs[callId].begunAt = SteadyClock {}.now();
    }
    net::sleepFor(drawWork());
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs[callId].endedAt = SteadyClock {}.now();
    }
    static_cast<void>(writer.send(
        {200,
         {{std::string(names::requestId), callId}, {std::string(names::signature), "s." + callId}},
         std::string(m_answerBytes, '.')}));
}

} // namespace fescue::test
