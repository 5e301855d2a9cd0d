#include "fescue/serving/crashevidence.h"

#include <algorithm>

namespace fescue::serving {

std::vector<PartId> CrashEvidence::Crash::suspects() const
{
    std::vector<PartId> suspected;
    for (const std::pair<const PartId, bool> &part : parts) {
        if (part.second)
            suspected.push_back(part.first);
    }
    return suspected;
}

std::vector<PartId> CrashEvidence::add(Millis now, const CrashReport &report)
{
    expire(now);
    auto crash = std::find_if(m_crashes.begin(), m_crashes.end(), [&report](const Crash &known) {
        return known.engine == report.engine;
    });
    if (crash == m_crashes.end()) {
        const Millis at = now - report.age;
        if (report.age > lifetime || report.parts.empty())
            return {};
        crash = std::find_if(m_crashes.begin(), m_crashes.end(),
                             [at](const Crash &known) { return known.at > at; });
        crash = m_crashes.insert(crash, {report.engine, at, now, {}});
    }
    std::vector<PartId> added;
    for (const PartId part : report.parts) {
        if (crash->parts.size() >= maxPartsPerCrash)
            break;
        if (crash->parts.emplace(part, true).second)
            added.push_back(part);
    }
    if (m_crashes.size() > maxCrashes)
        m_crashes.pop_front();
    return added;
}

std::vector<PartId> CrashEvidence::recordStart(Millis now, std::span<const PartId> parts)
{
    std::vector<PartId> cleared;
    for (const PartId part : parts) {
        m_startedAt[part] = now;
        m_startOrder.emplace_back(now, part);
        if (clear(part))
            cleared.push_back(part);
    }
    while (m_startedAt.size() > maxStarts || m_startOrder.size() > 2 * maxStarts) {
        const std::pair<Millis, PartId> oldest = m_startOrder.front();
        m_startOrder.pop_front();
        const auto it = m_startedAt.find(oldest.second);
        if (it != m_startedAt.end() && it->second == oldest.first)
            m_startedAt.erase(it);
    }
    return cleared;
}

bool CrashEvidence::clear(PartId part)
{
    bool wasSuspect = false;
    for (Crash &crash : m_crashes) {
        const auto it = crash.parts.find(part);
        if (it == crash.parts.end() || !it->second)
            continue;
        it->second = false;
        wasSuspect = true;
    }
    return wasSuspect;
}

bool CrashEvidence::startedSince(Millis time, PartId part) const
{
    const auto it = m_startedAt.find(part);
    return it != m_startedAt.end() && it->second > time;
}

bool CrashEvidence::isSuspect(PartId part) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [part](const Crash &crash) {
        const auto it = crash.parts.find(part);
        return it != crash.parts.end() && it->second;
    });
}

void CrashEvidence::expire(Millis now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > lifetime)
        m_crashes.pop_front();
}

void CrashEvidence::count(std::size_t crash, Millis at, std::span<const PartId> suspects,
                          std::map<PartId, Losses> &losses)
{
    for (const PartId part : suspects) {
        Losses &lost = losses[part];
        lost.crashes.set(crash);
        lost.lastAt = at;
        if (lost.spaced > 0 && at - lost.lastSpacedAt < minSpacing)
            continue;
        ++lost.spaced;
        lost.lastSpacedAt = at;
    }
}

std::optional<CrashEvidence::Cause> CrashEvidence::strongest(const std::map<PartId, Losses> &losses)
{
    const auto strength = [](const Losses &lost) {
        return std::pair(lost.spaced, lost.crashes.count());
    };
    const Losses *best = nullptr;
    for (const std::pair<const PartId, Losses> &entry : losses) {
        if (entry.second.spaced < decisiveCrashes)
            continue;
        if (best == nullptr || strength(*best) < strength(entry.second))
            best = &entry.second;
    }
    if (best == nullptr)
        return std::nullopt;
    Cause cause {{}, best->spaced, best->lastAt};
    for (const std::pair<const PartId, Losses> &entry : losses) {
        if (entry.second.crashes == best->crashes)
            cause.parts.push_back(entry.first);
    }
    return cause;
}

} // namespace fescue::serving
