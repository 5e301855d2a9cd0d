#include "fescue/observe/timeline.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescue::observe {

namespace {

nlohmann::json toJsonValue(const Event &event)
{
    return {{"wall_ms", event.wallMillis},
            {"kind", event.kind},
            {"subject", event.subject},
            {"detail", event.detail}};
}

} // namespace

std::int64_t wallMillisNow() noexcept
{
    const std::chrono::system_clock::duration elapsed =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
}

Timeline::Timeline(std::string process, std::size_t capacity)
    : m_process(std::move(process)), m_capacity(std::max<std::size_t>(capacity, 1))
{ }

void Timeline::record(std::string_view kind, std::string_view subject, std::string_view detail)
{
    add(Event {wallMillisNow(), {}, std::string(kind), std::string(subject), std::string(detail)});
}

void Timeline::add(Event event)
{
    event.process = m_process;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(std::move(event));
        return;
    }
    m_ring[m_next] = std::move(event);
    m_next = (m_next + 1) % m_capacity;
    ++m_dropped;
}

std::vector<Event> Timeline::events(std::int64_t sinceWallMillis) const
{
    std::vector<Event> found;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (std::size_t n = 0; n < m_ring.size(); ++n) {
        const Event &event = m_ring[(m_next + n) % m_ring.size()];
        if (event.wallMillis >= sinceWallMillis)
            found.push_back(event);
    }
    return found;
}

std::string Timeline::toJson(std::int64_t sinceWallMillis) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Event &event : events(sinceWallMillis))
        list.push_back(toJsonValue(event));
    nlohmann::json body = {{"process", m_process}, {"events", std::move(list)}};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        body["dropped"] = m_dropped;
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace fescue::observe
