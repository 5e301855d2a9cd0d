#pragma once

#include "fescue/serving/endpointrecord.h"
#include "fescue/serving/enginepace.h"
#include "fescue/serving/enginesend.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/moveplan.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue::serving {

enum class MovePhase : std::uint8_t
{
    // The generation runs and is not being moved.
    Running,
    // The generation is about to resume from its backup or copy; the fiber that forwards its stream
    // performs the failover.
    FailingOver,
    // The generation has lost its engine and is sent to another one without a copy of its memory.
    RunningAgain,
    // The memory is copied while the generation keeps running.
    Copying,
    // The engine has been asked to stop the generation.
    Stopping,
    // The generation has stopped and can resume from `resume` at `destination`.
    Stopped,
    // The generation has stopped, or may have, and cannot resume.
    Broken,
};

// A generation whose stream this process forwards.
struct GenerationRun
{
    std::string requestId;
    ServiceName service;
    // The engine that runs the generation now.
    EndpointRecord engine;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    std::uint32_t tokensPerEvent = 1;
    // Events of this response; those that the caller had before it are not in it.
    std::uint64_t events = 0;
    std::uint64_t eventsBefore = 0;

    // The engine to which `engine` sends a backup of the memory.
    std::optional<EndpointRecord> backup;
    // The engine that stores a copy made by the GenerationMover: a standby copy in place of a
    // backup, or the copy for a move.
    std::optional<EndpointRecord> standbyEngine;
    std::unique_ptr<ScopedLoad> standbyLoad;
    // Identifies that copy at the engine that made it.
    std::string standbyHandle;

    MovePhase phase = MovePhase::Running;
    // Time at which the generation stopped; valid in phase Stopped.
    Millis stoppedAt {0};
    std::optional<ResumePoint> resume;
    // The engine that stores the copy from which the generation resumes.
    EndpointRecord destination;
    // Last reason why the generation is not moved although its engine leaves, for the log.
    std::string_view notMovedBecause;
    bool finished = false;
    // True while a fiber moves the generation.
    bool hasMoveFiber = false;
    // True while a fiber maintains a standby copy at another engine.
    bool hasStandbyFiber = false;

    void clearStandbyCopy() noexcept
    {
        standbyEngine.reset();
        standbyLoad.reset();
        standbyHandle.clear();
    }
    // Returns the number of output tokens so far, those of earlier responses included.
    [[nodiscard]] std::uint64_t producedTokens() const noexcept;
    // Returns the memory in use now, in tokens.
    [[nodiscard]] std::uint64_t memoryTokens() const noexcept;
    // Returns the number of output tokens that are expected to follow: at least a fraction of the
    // output so far, even if that already exceeds the expected length.
    [[nodiscard]] std::uint64_t remainingTokens() const noexcept;
    // Returns the memory, in tokens, that is reserved at an engine for the generation: the memory
    // in use now and a share of the remaining output.
    [[nodiscard]] std::uint64_t reservedTokens() const noexcept;
    [[nodiscard]] MovingRun movingRun(Millis engineEndsAt) const noexcept;
};

using GenerationRunPtr = std::shared_ptr<GenerationRun>;

// The generations of this process by request id.
class RunRegistry
{
public:
    void add(const GenerationRunPtr &run) { m_runs[run->requestId] = run; }
    void remove(const GenerationRunPtr &run);
    // Returns how far each generation has come.
    [[nodiscard]] std::vector<RunProgress> progress() const;
    [[nodiscard]] std::vector<GenerationRunPtr> runsAt(const EndpointName &endpoint) const;
    // Returns the engines that run generations of this process.
    [[nodiscard]] std::vector<EndpointRecord> engines() const;
    // Returns the generations whose backup or standby copy an engine stores.
    [[nodiscard]] std::vector<GenerationRunPtr> runsWithCopyAt(const EndpointName &engine) const;
    // Returns the engines of an availability zone that store a backup or a standby copy.
    [[nodiscard]] std::set<EndpointName> enginesWithCopiesIn(const ZoneName &zone) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_runs.size(); }

private:
    std::map<std::string, GenerationRunPtr> m_runs;
};

} // namespace fescue::serving
