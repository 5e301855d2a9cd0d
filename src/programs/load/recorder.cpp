#include "experiment.h"

#include <algorithm>

namespace fescue::load {

namespace {

// A gap between tokens counts as a stall for what it exceeds this by.
constexpr Millis stallLimit = 200_ms;
// Time after a zone went out from which the goodput without it is measured.
constexpr Millis awaySettling = 10_s;
// Time from the start of a request to its first token that callers allow beyond their patience.
constexpr Millis startAllowance = 1_s;
constexpr std::int64_t millisPerSecond = 1000;

} // namespace

Recorder::Recorder(const Scenario &scenario, std::span<const Arrival> arrivals,
                   const Capacity &capacity)
    : m_scenario(scenario), m_arrivals(arrivals), m_tracks(arrivals.size())
{
    m_measures.measuredTime = scenario.duration;
    m_measures.capacityTokensPerSecond = capacity.tokensPerSecond * scenario.engines;
    for (const AccountLoad &account : scenario.accounts)
        m_measures.accounts.push_back({account.name, account.weight, 0, 0});
    std::uint32_t enginesLeft = scenario.engines;
    for (const Fault &fault : scenario.faults) {
        if (fault.kind == FaultKind::ZoneOut) {
            m_awayFrom = fault.at + awaySettling;
            m_awayTo = scenario.warmup + scenario.duration;
            for (std::size_t i = 0; i < scenario.engines; ++i)
                enginesLeft -= scenario.zoneOfEngine(i) == fault.target ? 1 : 0;
        } else if (fault.kind == FaultKind::ZoneIn) {
            m_awayTo = fault.at;
        }
    }
    m_measures.awayTime = std::max(m_awayTo - m_awayFrom, Millis {0});
    m_measures.awayCapacity = capacity.tokensPerSecond * enginesLeft;
}

bool Recorder::inWindow(Millis at) const noexcept
{
    return at >= m_scenario.warmup && at < m_scenario.warmup + m_scenario.duration;
}

bool Recorder::isAway(Millis at) const noexcept
{
    return at >= m_awayFrom && at < m_awayTo;
}

SeriesPoint &Recorder::pointAt(Millis at)
{
    const std::size_t second = static_cast<std::size_t>(at.count / millisPerSecond);
    if (m_measures.series.size() <= second)
        m_measures.series.resize(second + 1);
    return m_measures.series[second];
}

void Recorder::arrived(std::size_t request)
{
    ++m_open;
    const Arrival &arrival = m_arrivals[request];
    if (!inWindow(arrival.at))
        return;
    ++m_measures.arrived;
    m_measures.offeredTokens += arrival.outputTokens;
    m_measures.accounts[arrival.account].offeredTokens += arrival.outputTokens;
}

void Recorder::started(std::size_t request, std::uint64_t stream)
{
    m_tracks[request].stream = stream;
}

bool Recorder::token(std::size_t request, const emulator::EngineEvent &event)
{
    Track &track = m_tracks[request];
    if (event.stream.value != track.stream || track.ends > 0 || event.index < track.delivered) {
        ++m_measures.doubled;
        return false;
    }
    if (event.index > track.delivered) {
        ++m_measures.lost;
        return false;
    }
    const Millis before = track.delivered == 0 ? m_arrivals[request].at : track.lastTokenAt;
    const Millis waited = event.at - before;
    const bool isFirst = track.delivered == 0;
    if (isFirst)
        track.firstTokenAt = event.at;
    track.lastTokenAt = event.at;
    ++track.delivered;
    pointAt(event.at).tokens += 1;
    if (isAway(event.at))
        ++track.deliveredAway;
    if (!inWindow(event.at))
        return true;
    ++track.deliveredInWindow;
    ++m_measures.tokensDelivered;
    if (isFirst) {
        m_measures.firstToken.add(waited);
        return true;
    }
    m_measures.gap.add(waited);
    if (waited > stallLimit)
        m_measures.stall += waited - stallLimit;
    return true;
}

void Recorder::end(std::size_t request)
{
    Track &track = m_tracks[request];
    ++track.ends;
    if (track.ends == 1)
        --m_open;
}

void Recorder::completed(std::size_t request)
{
    end(request);
    const Arrival &arrival = m_arrivals[request];
    const Track &track = m_tracks[request];
    if (track.delivered != arrival.outputTokens)
        ++m_measures.lost;
    const bool late = track.firstTokenAt - arrival.at > m_scenario.patience + startAllowance;
    m_measures.completedTokens += track.deliveredInWindow;
    if (!late) {
        m_measures.goodTokens += track.deliveredInWindow;
        m_measures.goodTokensAway += track.deliveredAway;
    }
    if (!inWindow(arrival.at))
        return;
    ++m_measures.completed;
    m_measures.late += late ? 1 : 0;
    m_measures.accounts[arrival.account].deliveredTokens += arrival.outputTokens;
}

void Recorder::cut(std::size_t request)
{
    end(request);
    if (inWindow(m_arrivals[request].at))
        ++m_measures.cut;
}

void Recorder::refused(std::size_t request, ResultCode code, Millis now)
{
    end(request);
    pointAt(now).refused += 1;
    if (inWindow(m_arrivals[request].at))
        ++m_measures.refusals[code];
}

void Recorder::preempted(Millis at)
{
    pointAt(at).preempted += 1;
    if (inWindow(at))
        ++m_measures.preemptions;
}

void Recorder::sample(Millis now, std::uint32_t queued, std::uint32_t running,
                      std::uint32_t endpointsIn)
{
    SeriesPoint &point = pointAt(now);
    point.queued = queued;
    point.running = running;
    point.endpointsIn = endpointsIn;
}

std::uint32_t Recorder::delivered(std::size_t request) const
{
    return m_tracks[request].delivered;
}

std::uint64_t Recorder::stream(std::size_t request) const
{
    return m_tracks[request].stream;
}

Measures Recorder::finish()
{
    for (const Track &track : m_tracks) {
        if (track.ends == 0)
            ++m_measures.lost;
        if (track.ends > 1)
            ++m_measures.doubled;
    }
    return std::move(m_measures);
}

} // namespace fescue::load
