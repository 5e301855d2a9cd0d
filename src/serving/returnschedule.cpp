#include "fescue/serving/returnschedule.h"

#include <algorithm>
#include <utility>

namespace fescue::serving {

namespace {

// Number of recent ends below which chance dominates the rate.
constexpr std::size_t minEnds = 2;

} // namespace

void ReturnSchedule::forget(Millis now)
{
    while (!m_room.empty() && now - m_room.front() > rateWindow)
        m_room.pop_front();
}

void ReturnSchedule::recordRoom(Millis now)
{
    forget(now);
    m_room.push_back(now);
}

std::optional<Millis> ReturnSchedule::reserve(Millis now, int priority, Millis earliest,
                                              Millis latest, double uniform)
{
    forget(now);
    if (m_room.size() < minEnds)
        return std::nullopt;
    const double interval =
        static_cast<double>(rateWindow.count) / static_cast<double>(m_room.size());
    Millis place = now + earliest + Millis {static_cast<std::int64_t>(interval * uniform)};
    for (const std::pair<const int, Millis> &last : m_lastPlaces) {
        if (last.first <= priority)
            place = std::max(place, last.second + Millis {static_cast<std::int64_t>(interval)});
    }
    if (place > now + latest)
        return std::nullopt;
    m_lastPlaces[priority] = place;
    return place - now;
}

} // namespace fescue::serving
