#include "fescue/emulator/enginemodel.h"

#include <algorithm>
#include <utility>

namespace fescue::emulator {

namespace {

constexpr std::int64_t microsPerMilli = 1000;
// Weight of the newest sample in the mean time to first token.
constexpr double firstTokenGain = 0.2;
// Spacing of the load samples that lagging reports are taken from.
constexpr Millis loadSampleInterval = 20_ms;
constexpr std::size_t maxLoadSamples = 2048;

constexpr Millis toMillis(std::int64_t micros)
{
    return {(micros + microsPerMilli - 1) / microsPerMilli};
}

} // namespace

EngineModel::EngineModel(EngineSettings settings, Incarnation incarnation, Millis now)
    : m_settings(settings), m_incarnation(incarnation),
      m_cache(settings.cacheTokens / std::max<std::uint32_t>(1, settings.tokensPerBlock))
{
    recordLoad(now);
}

bool EngineModel::isCold() const noexcept
{
    const std::uint64_t grown = m_tokensSinceCold / m_settings.coldTokensPerSlot;
    return m_settings.coldLimit + grown < m_settings.maxBatch;
}

std::uint32_t EngineModel::bearable() const noexcept
{
    if (!isCold())
        return m_settings.maxBatch + m_settings.maxWaiting;
    return m_settings.coldLimit
        + static_cast<std::uint32_t>(m_tokensSinceCold / m_settings.coldTokensPerSlot);
}

std::uint32_t EngineModel::loadSinceCold() const noexcept
{
    const auto isNew = [this](const Sequence &sequence) {
        return sequence.coldEpoch == m_coldEpoch;
    };
    const std::ptrdiff_t n = std::count_if(m_batch.begin(), m_batch.end(), isNew)
        + std::count_if(m_waiting.begin(), m_waiting.end(), isNew);
    return static_cast<std::uint32_t>(n);
}

std::uint32_t EngineModel::running() const noexcept
{
    return static_cast<std::uint32_t>(m_batch.size());
}

std::uint32_t EngineModel::waiting() const noexcept
{
    return static_cast<std::uint32_t>(m_waiting.size());
}

std::optional<Millis> EngineModel::nextEventAt() const noexcept
{
    if (m_down || m_stepping)
        return toMillis(m_dueMicros);
    return std::nullopt;
}

SubmitResult EngineModel::submit(const EngineRequest &request, Millis now)
{
    if (m_down)
        return SubmitResult::Down;
    const std::uint64_t largest = std::uint64_t {request.promptTokens} + request.outputTokens;
    if (waiting() >= m_settings.maxWaiting || largest > m_settings.memoryTokens)
        return SubmitResult::Refused;
    if (isCold() && loadSinceCold() + 1 > bearable()) {
        crash(now);
        return SubmitResult::Crashed;
    }
    Sequence sequence;
    sequence.request = request;
    sequence.order = m_nextOrder++;
    sequence.submittedAt = now;
    sequence.coldEpoch = m_coldEpoch;
    const auto it = std::upper_bound(m_waiting.begin(), m_waiting.end(), sequence,
                                     [](const Sequence &a, const Sequence &b) {
                                         return a.request.priority > b.request.priority;
                                     });
    m_waiting.insert(it, std::move(sequence));
    if (!m_stepping)
        beginStep(now);
    recordLoad(now);
    return SubmitResult::Accepted;
}

std::vector<EngineEvent> EngineModel::advance(Millis now)
{
    std::vector<EngineEvent> events = std::exchange(m_pendingEvents, {});
    while ((m_down || m_stepping) && toMillis(m_dueMicros) <= now) {
        if (m_down) {
            restart(toMillis(m_dueMicros));
            events.push_back({EngineEventKind::Restarted, {}, 0, toMillis(m_dueMicros)});
            continue;
        }
        endStep(events);
        m_stepping = false;
        recordLoad(toMillis(m_dueMicros));
        if (!m_batch.empty() || !m_waiting.empty())
            beginStep(toMillis(m_dueMicros));
    }
    expireFinished(now);
    return events;
}

bool EngineModel::cancel(StreamId stream, Millis now)
{
    const auto isStream = [stream](const Sequence &sequence) {
        return sequence.request.stream == stream;
    };
    const auto inBatch = std::find_if(m_batch.begin(), m_batch.end(), isStream);
    if (inBatch != m_batch.end()) {
        m_memoryUsed -= footprint(*inBatch);
        m_batch.erase(inBatch);
        recordLoad(now);
        return true;
    }
    const auto inQueue = std::find_if(m_waiting.begin(), m_waiting.end(), isStream);
    if (inQueue != m_waiting.end()) {
        m_waiting.erase(inQueue);
        return true;
    }
    return std::erase_if(
               m_finished,
               [stream](const FinishedStream &finished) { return finished.stream == stream; })
        > 0;
}

StreamStatus EngineModel::streamStatus(StreamId stream) const
{
    for (const std::vector<Sequence> *list : {&m_batch, &m_waiting}) {
        for (const Sequence &sequence : *list) {
            if (sequence.request.stream == stream)
                return {StreamState::Active, sequence.produced};
        }
    }
    for (const FinishedStream &finished : m_finished) {
        if (finished.stream == stream)
            return {StreamState::Finished, finished.produced};
    }
    return {};
}

EngineLoad EngineModel::loadReport(Millis now) const
{
    LoadSample chosen = m_loadHistory.front();
    for (const LoadSample &sample : m_loadHistory) {
        if (now - sample.at >= m_settings.reportLag)
            chosen = sample;
    }
    EngineLoad load = chosen.load;
    load.age = std::max(m_settings.reportLag, Millis {0});
    return load;
}

void EngineModel::kill(Millis now)
{
    if (!m_down)
        crash(now);
}

void EngineModel::turnCold(Millis now)
{
    m_cache.clear();
    m_tokensSinceCold = 0;
    ++m_coldEpoch;
    recordLoad(now);
}

void EngineModel::warmUp() noexcept
{
    m_tokensSinceCold = m_settings.coldTokensPerSlot * m_settings.maxBatch;
}

void EngineModel::beginStep(Millis at)
{
    admitWaiting();
    const std::uint32_t prefill = planPrefill();
    std::int64_t length = m_settings.stepBaseMicros
        + m_settings.stepPerSequenceMicros * static_cast<std::int64_t>(m_batch.size())
        + m_settings.prefillMicrosPerToken * prefill;
    if (isCold())
        length *= m_settings.coldFactor;
    m_dueMicros = std::max(m_dueMicros, at.count * microsPerMilli - microsPerMilli + 1);
    m_dueMicros += length;
    m_stepping = true;
}

void EngineModel::admitWaiting()
{
    while (!m_waiting.empty() && m_batch.size() < m_settings.maxBatch) {
        Sequence &next = m_waiting.front();
        if (m_memoryUsed + footprint(next) + m_batch.size() > m_settings.memoryTokens)
            return;
        const std::uint64_t cached =
            m_cache.lookup(next.request.prefixHashes) * std::uint64_t {m_settings.tokensPerBlock};
        const std::uint32_t needed = next.request.promptTokens + next.produced;
        next.toPrefill = needed
            - static_cast<std::uint32_t>(
                             std::min<std::uint64_t>(cached, needed > 0 ? needed - 1 : 0));
        m_memoryUsed += footprint(next);
        m_batch.push_back(std::move(next));
        m_waiting.erase(m_waiting.begin());
    }
}

std::uint32_t EngineModel::planPrefill()
{
    std::uint32_t left = m_settings.prefillChunkTokens;
    for (Sequence &sequence : m_batch) {
        sequence.prefillThisStep = std::min(left, sequence.toPrefill);
        left -= sequence.prefillThisStep;
    }
    return m_settings.prefillChunkTokens - left;
}

void EngineModel::endStep(std::vector<EngineEvent> &events)
{
    if (!makeRoom(events))
        return;
    for (Sequence &sequence : m_batch) {
        sequence.toPrefill -= sequence.prefillThisStep;
        sequence.prefillThisStep = 0;
        if (sequence.toPrefill == 0)
            produceToken(sequence, events);
    }
    finishCompleted(events);
}

// Preempts until each sequence of the batch can take one more token.
bool EngineModel::makeRoom(std::vector<EngineEvent> &events)
{
    while (m_memoryUsed + m_batch.size() > m_settings.memoryTokens && m_batch.size() > 1) {
        const auto victim = std::min_element(m_batch.begin(), m_batch.end(),
                                             [](const Sequence &a, const Sequence &b) {
                                                 if (a.request.priority != b.request.priority)
                                                     return a.request.priority < b.request.priority;
                                                 return a.order > b.order;
                                             });
        m_memoryUsed -= footprint(*victim);
        ++m_preemptions;
        events.push_back({EngineEventKind::Preempted, victim->request.stream, victim->produced,
                          toMillis(m_dueMicros)});
        Sequence moved = std::move(*victim);
        m_batch.erase(victim);
        moved.prefillThisStep = 0;
        const auto it = std::lower_bound(m_waiting.begin(), m_waiting.end(), moved,
                                         [](const Sequence &a, const Sequence &b) {
                                             if (a.request.priority != b.request.priority)
                                                 return a.request.priority > b.request.priority;
                                             return a.order < b.order;
                                         });
        m_waiting.insert(it, std::move(moved));
    }
    return !m_batch.empty();
}

void EngineModel::produceToken(Sequence &sequence, std::vector<EngineEvent> &events)
{
    const Millis at = toMillis(m_dueMicros);
    if (sequence.produced == 0) {
        m_cache.store(sequence.request.prefixHashes);
        const double waited = static_cast<double>((at - sequence.submittedAt).count);
        m_firstTokenMillis += firstTokenGain * (waited - m_firstTokenMillis);
    }
    events.push_back(
        {EngineEventKind::TokenProduced, sequence.request.stream, sequence.produced, at});
    ++sequence.produced;
    ++m_memoryUsed;
    ++m_tokensTotal;
    ++m_tokensSinceCold;
}

void EngineModel::finishCompleted(std::vector<EngineEvent> &events)
{
    const Millis at = toMillis(m_dueMicros);
    for (const Sequence &sequence : m_batch) {
        if (sequence.produced < sequence.request.outputTokens)
            continue;
        events.push_back(
            {EngineEventKind::Finished, sequence.request.stream, sequence.produced, at});
        m_finished.push_back(
            {sequence.request.stream, sequence.produced, at + m_settings.resumableFor});
        m_memoryUsed -= footprint(sequence);
    }
    std::erase_if(m_batch, [](const Sequence &sequence) {
        return sequence.produced >= sequence.request.outputTokens;
    });
}

void EngineModel::crash(Millis now)
{
    m_pendingEvents.push_back({EngineEventKind::Crashed, {}, 0, now});
    m_batch.clear();
    m_waiting.clear();
    m_finished.clear();
    m_cache.clear();
    m_memoryUsed = 0;
    m_stepping = false;
    m_down = true;
    m_dueMicros = (now + m_settings.restartTime).count * microsPerMilli;
}

void EngineModel::restart(Millis at)
{
    m_down = false;
    ++m_incarnation.value;
    m_tokensSinceCold = 0;
    m_tokensTotal = 0;
    m_preemptions = 0;
    m_firstTokenMillis = 0;
    ++m_coldEpoch;
    m_loadHistory.clear();
    recordLoad(at);
}

void EngineModel::recordLoad(Millis at)
{
    if (m_loadHistory.size() > 1 && at - m_loadHistory.back().at < loadSampleInterval)
        return;
    m_loadHistory.push_back({at, currentLoad()});
    while (m_loadHistory.size() > maxLoadSamples)
        m_loadHistory.pop_front();
}

void EngineModel::expireFinished(Millis now)
{
    while (!m_finished.empty() && m_finished.front().expiresAt <= now)
        m_finished.pop_front();
}

EngineLoad EngineModel::currentLoad() const
{
    EngineLoad load;
    load.incarnation = m_incarnation;
    load.running = running();
    load.waiting = waiting();
    load.memoryUsed = m_memoryUsed;
    load.memoryTotal = m_settings.memoryTokens;
    load.preemptions = m_preemptions;
    load.cold = isCold();
    load.firstToken = {static_cast<std::int64_t>(m_firstTokenMillis)};
    load.tokensTotal = m_tokensTotal;
    load.cacheBlocks = m_cache.size();
    return load;
}

std::uint64_t EngineModel::footprint(const Sequence &sequence) const noexcept
{
    return std::uint64_t {sequence.request.promptTokens} + sequence.produced;
}

} // namespace fescue::emulator
