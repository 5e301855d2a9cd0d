#include "fescue/serving/promptquarantine.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Shortest retry delay of a refused caller.
constexpr Millis minRetryDelay = 1_s;

bool contains(std::span<const PartId> sortedParts, std::span<const PartId> subset)
{
    return std::includes(sortedParts.begin(), sortedParts.end(), subset.begin(), subset.end());
}

} // namespace

std::vector<PartId> PromptQuarantine::decisiveParts(std::span<const PromptPart> prompt)
{
    std::vector<PartId> parts;
    if (prompt.empty())
        return parts;
    for (const PromptPart &part : prompt.first(prompt.size() - 1))
        parts.push_back(part.id);
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

CrashReport PromptQuarantine::recordCrash(Millis now, const CrashReport &report)
{
    CrashReport added {report.engine, report.age, m_evidence.add(now, report)};
    std::vector<PartId> parts = added.parts;
    std::sort(parts.begin(), parts.end());
    for (std::pair<const std::vector<PartId>, QuarantineEntry> &item : m_entries) {
        QuarantineEntry &entry = item.second;
        if (!entry.active || !contains(parts, entry.parts))
            continue;
        ++entry.crashes;
        entry.lastCrashAt = std::max(entry.lastCrashAt, now - report.age);
    }
    return added;
}

QuarantineNotice PromptQuarantine::recordStart(Millis now, std::span<const PromptPart> prompt)
{
    const std::vector<PartId> parts = decisiveParts(prompt);
    QuarantineNotice notice;
    notice.startedParts = m_evidence.recordStart(now, parts);
    std::vector<std::vector<PartId>> sound;
    for (const std::pair<const std::vector<PartId>, QuarantineEntry> &item : m_entries) {
        if (item.second.active && contains(parts, item.first))
            sound.push_back(item.first);
    }
    for (const std::vector<PartId> &soundParts : sound)
        notice.entries.push_back(*release(now, soundParts));
    return notice;
}

std::vector<QuarantineEntry> PromptQuarantine::evaluate(Millis now)
{
    const auto isExplained = [this](std::span<const PartId> suspects) {
        return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
            return item.second.active && contains(suspects, item.first);
        });
    };
    std::vector<QuarantineEntry> added;
    while (const std::optional<CrashEvidence::Cause> cause =
               m_evidence.findCause(now, isExplained)) {
        std::vector<std::vector<PartId>> groups;
        if (cause->parts.size() > maxRivals) {
            groups.emplace_back(cause->parts.begin(), cause->parts.begin() + maxRivals);
        } else {
            for (const PartId part : cause->parts)
                groups.push_back({part});
        }
        const std::size_t before = added.size();
        for (std::vector<PartId> &parts : groups) {
            if (std::optional<QuarantineEntry> entry = quarantine(now, std::move(parts), *cause))
                added.push_back(std::move(*entry));
        }
        if (added.size() == before)
            break;
    }
    return added;
}

std::optional<QuarantineEntry> PromptQuarantine::quarantine(Millis now, std::vector<PartId> parts,
                                                            const CrashEvidence::Cause &cause)
{
    if (!m_entries.contains(parts))
        makeRoom();
    QuarantineEntry &entry = m_entries[parts];
    const bool known = !entry.parts.empty();
    if (known && entry.active)
        return std::nullopt;
    if (known)
        ++entry.version;
    entry.rivals.clear();
    if (parts.size() == 1) {
        std::copy_if(cause.parts.begin(), cause.parts.end(), std::back_inserter(entry.rivals),
                     [&parts](PartId part) { return part != parts.front(); });
    }
    entry.parts = std::move(parts);
    entry.active = true;
    entry.crashes = cause.crashes;
    entry.since = now;
    entry.lastCrashAt = cause.lastCrashAt;
    return entry;
}

void PromptQuarantine::makeRoom()
{
    if (m_entries.size() < maxEntries)
        return;
    // A released entry goes first, then the one whose last crash is the oldest.
    const auto oldest =
        std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
            return std::pair(a.second.active, a.second.lastCrashAt)
                < std::pair(b.second.active, b.second.lastCrashAt);
        });
    m_entries.erase(oldest);
}

PromptQuarantine::Merged PromptQuarantine::merge(Millis now, const QuarantineNotice &notice)
{
    Merged merged;
    merged.received.fromZone = notice.fromZone;
    for (const CrashReport &report : notice.crashes) {
        CrashReport added = recordCrash(now, report);
        if (!added.parts.empty())
            merged.received.crashes.push_back(std::move(added));
    }
    for (const PartId part : notice.startedParts) {
        const bool wasSuspect = m_evidence.isSuspect(part);
        const std::vector<PartId> parts {part};
        static_cast<void>(m_evidence.recordStart(now, parts));
        if (wasSuspect)
            merged.received.startedParts.push_back(part);
        if (std::optional<QuarantineEntry> released = release(now, parts))
            merged.released.push_back(std::move(*released));
    }
    for (const QuarantineEntry &entry : notice.entries) {
        if (!mergeEntry(entry))
            continue;
        merged.received.entries.push_back(entry);
        const bool isSound = entry.active && entry.parts.size() == 1
            && m_evidence.startedSince(entry.lastCrashAt, entry.parts.front());
        if (!isSound)
            continue;
        if (std::optional<QuarantineEntry> released = release(now, entry.parts))
            merged.released.push_back(std::move(*released));
    }
    return merged;
}

bool PromptQuarantine::mergeEntry(const QuarantineEntry &entry)
{
    if (!m_entries.contains(entry.parts)) {
        makeRoom();
        m_entries[entry.parts] = entry;
        return true;
    }
    QuarantineEntry &known = m_entries[entry.parts];
    const bool isNewer = entry.version > known.version
        || (entry.version == known.version && entry.trials > known.trials);
    if (entry.version > known.version) {
        known.version = entry.version;
        known.active = entry.active;
        known.rivals = entry.rivals;
        known.since = entry.since;
        if (!known.active) {
            for (const PartId part : known.parts)
                static_cast<void>(m_evidence.clear(part));
        }
    }
    known.crashes = std::max(known.crashes, entry.crashes);
    known.trials = std::max(known.trials, entry.trials);
    known.lastCrashAt = std::max(known.lastCrashAt, entry.lastCrashAt);
    known.lastTrialAt = std::max(known.lastTrialAt, entry.lastTrialAt);
    return isNewer;
}

std::optional<Millis> PromptQuarantine::trialDueAt(const QuarantineEntry &entry,
                                                   std::span<const PartId> parts)
{
    if (entry.trials >= maxTrials)
        return std::nullopt;
    const bool withoutRivals = !entry.rivals.empty()
        && std::none_of(entry.rivals.begin(), entry.rivals.end(), [parts](PartId rival) {
               return std::binary_search(parts.begin(), parts.end(), rival);
           });
    if (entry.trials == 0)
        return entry.since + (withoutRivals ? Millis {0} : firstTrialDelay);
    return entry.lastTrialAt + (withoutRivals ? rivalTrialDelay : secondTrialDelay);
}

PromptDecision PromptQuarantine::decide(Millis now, std::span<const PromptPart> prompt) const
{
    PromptDecision decision;
    if (m_entries.empty() || prompt.empty())
        return decision;
    const std::vector<PartId> parts = decisiveParts(prompt);
    std::size_t matches = 0;
    for (const std::pair<const std::vector<PartId>, QuarantineEntry> &item : m_entries) {
        if (!item.second.active || !contains(parts, item.first))
            continue;
        ++matches;
        const bool isStronger = matches == 1 || item.second.crashes > decision.entry.crashes;
        if (isStronger)
            decision.entry = item.second;
    }
    if (matches == 0)
        return decision;
    const std::optional<Millis> due = trialDueAt(decision.entry, parts);
    // A trial with two quarantined parts would not tell which of them is sound.
    const bool isTrial = matches == 1 && due && *due <= now;
    decision.verdict = isTrial ? PromptVerdict::Trial : PromptVerdict::Refuse;
    decision.retryAfter =
        due ? std::clamp(*due - now, minRetryDelay, longestRetryDelay) : longestRetryDelay;
    return decision;
}

QuarantineEntry PromptQuarantine::withTrial(Millis now, QuarantineEntry entry)
{
    ++entry.trials;
    entry.lastTrialAt = now;
    return entry;
}

std::optional<QuarantineEntry> PromptQuarantine::release(Millis now, std::span<const PartId> parts)
{
    const auto it = m_entries.find({parts.begin(), parts.end()});
    if (it == m_entries.end() || !it->second.active)
        return std::nullopt;
    QuarantineEntry &entry = it->second;
    ++entry.version;
    entry.active = false;
    entry.since = now;
    // Crashes before the release are no evidence any more.
    for (const PartId part : entry.parts)
        static_cast<void>(m_evidence.clear(part));
    return entry;
}

void PromptQuarantine::purge(Millis now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        return !item.second.active && now - item.second.since > releaseRetention;
    });
}

std::vector<QuarantineEntry> PromptQuarantine::entries() const
{
    std::vector<QuarantineEntry> all;
    all.reserve(m_entries.size());
    for (const std::pair<const std::vector<PartId>, QuarantineEntry> &item : m_entries)
        all.push_back(item.second);
    return all;
}

std::size_t PromptQuarantine::activeCount() const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto &item) { return item.second.active; }));
}

} // namespace fescue::serving
