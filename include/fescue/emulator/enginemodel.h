#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/emulator/enginesettings.h"
#include "fescue/emulator/prefixcache.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fescue::emulator {

// Number of a stream, unique within one incarnation of an engine.
struct StreamId
{
    std::uint64_t value = 0;
    auto operator<=>(const StreamId &) const noexcept = default;
};

// One generation to run. outputTokens is how long the output turns out, which only the engine
// knows. Greater priorities go first and are preempted last.
struct EngineRequest
{
    StreamId stream;
    std::vector<std::uint64_t> prefixHashes;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1;
    std::int32_t priority = 0;
};

enum class SubmitResult : std::uint8_t
{
    Accepted,
    // Too many requests wait, or the request can never fit into memory.
    Refused,
    // The engine is restarting.
    Down,
    // The request was more than a cold engine bears: it crashed.
    Crashed,
};

enum class EngineEventKind : std::uint8_t
{
    TokenProduced,
    Finished,
    Preempted,
    // All streams of the incarnation are lost.
    Crashed,
    // A new, cold incarnation accepts requests.
    Restarted,
};

// Something that happened to a stream, or to the engine (stream is 0 then).
struct EngineEvent
{
    EngineEventKind kind = EngineEventKind::TokenProduced;
    StreamId stream;
    // Of the token, counting from 0.
    std::uint32_t index = 0;
    Millis at {0};
};

// Load figures, as they were `age` ago.
struct EngineLoad
{
    Incarnation incarnation;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
    std::uint64_t preemptions = 0;
    bool cold = false;
    // Mean time from submission to first token over recent requests.
    Millis firstToken {0};
    std::uint64_t tokensTotal = 0;
    std::uint64_t cacheBlocks = 0;
    Millis age {0};
};

enum class StreamState : std::uint8_t
{
    Unknown,
    Active,
    Finished,
};

// What can be read of a stream: tokens 0 to produced-1.
struct StreamStatus
{
    StreamState state = StreamState::Unknown;
    std::uint32_t produced = 0;
};

// A continuously batching engine: bounded memory with preemption, prefix cache, priorities, cold
// start, resumable streams, lagging load reports. Time is passed in and must not go back.
class EngineModel
{
public:
    EngineModel(EngineSettings settings, Incarnation incarnation, Millis now);

    [[nodiscard]] SubmitResult submit(const EngineRequest &request, Millis now);
    // Runs all steps that end up to now. Events are in order of time.
    [[nodiscard]] std::vector<EngineEvent> advance(Millis now);
    // Forgets a stream. Returns false where it is not known.
    bool cancel(StreamId stream, Millis now);
    [[nodiscard]] StreamStatus streamStatus(StreamId stream) const;
    [[nodiscard]] EngineLoad loadReport(Millis now) const;

    // Loses all streams and restarts as a new incarnation after the restart time.
    void kill(Millis now);
    // Becomes cold within the same incarnation: slow, cache empty, streams go on.
    void turnCold(Millis now);
    // Becomes warm at once.
    void warmUp() noexcept;
    // Changes the lag of load reports.
    void setReportLag(Millis lag) noexcept { m_settings.reportLag = lag; }

    [[nodiscard]] Incarnation incarnation() const noexcept { return m_incarnation; }
    [[nodiscard]] bool isDown() const noexcept { return m_down; }
    [[nodiscard]] bool isCold() const noexcept;
    // Requests that the engine bears now; the whole batch and queue where it is warm.
    [[nodiscard]] std::uint32_t bearable() const noexcept;
    // Requests that count against bearable(): those submitted since the engine became cold.
    [[nodiscard]] std::uint32_t loadSinceCold() const noexcept;
    [[nodiscard]] std::uint64_t preemptions() const noexcept { return m_preemptions; }
    [[nodiscard]] std::uint64_t memoryUsed() const noexcept { return m_memoryUsed; }
    [[nodiscard]] std::uint32_t running() const noexcept;
    [[nodiscard]] std::uint32_t waiting() const noexcept;
    [[nodiscard]] const PrefixCache &cache() const noexcept { return m_cache; }
    [[nodiscard]] const EngineSettings &settings() const noexcept { return m_settings; }
    // When the step in progress ends, or the restart; none where the engine is idle.
    [[nodiscard]] std::optional<Millis> nextEventAt() const noexcept;

private:
    struct Sequence
    {
        EngineRequest request;
        std::uint64_t order = 0;
        std::uint32_t produced = 0;
        // Tokens of prompt and output that have to be computed before the next token.
        std::uint32_t toPrefill = 0;
        std::uint32_t prefillThisStep = 0;
        Millis submittedAt {0};
        std::uint64_t coldEpoch = 0;
    };
    struct FinishedStream
    {
        StreamId stream;
        std::uint32_t produced = 0;
        Millis expiresAt {0};
    };

    void beginStep(Millis at);
    void endStep(std::vector<EngineEvent> &events);
    void admitWaiting();
    [[nodiscard]] std::uint32_t planPrefill();
    [[nodiscard]] bool makeRoom(std::vector<EngineEvent> &events);
    void produceToken(Sequence &sequence, std::vector<EngineEvent> &events);
    void finishCompleted(std::vector<EngineEvent> &events);
    void crash(Millis now);
    void restart(Millis at);
    void recordLoad(Millis at);
    void expireFinished(Millis now);
    [[nodiscard]] EngineLoad currentLoad() const;
    [[nodiscard]] std::uint64_t footprint(const Sequence &sequence) const noexcept;

    EngineSettings m_settings;
    Incarnation m_incarnation;
    PrefixCache m_cache;
    std::vector<Sequence> m_batch;
    // Best first: greater priority, then earlier submission.
    std::vector<Sequence> m_waiting;
    std::deque<FinishedStream> m_finished;
    std::vector<EngineEvent> m_pendingEvents;
    struct LoadSample
    {
        Millis at {0};
        EngineLoad load;
    };
    std::deque<LoadSample> m_loadHistory;
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_memoryUsed = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_tokensTotal = 0;
    std::uint64_t m_tokensSinceCold = 0;
    std::uint64_t m_coldEpoch = 1;
    double m_firstTokenMillis = 0;
    bool m_down = false;
    bool m_stepping = false;
    // End of the step or of the restart, in microseconds, so that steps do not drift.
    std::int64_t m_dueMicros = 0;
};

} // namespace fescue::emulator
