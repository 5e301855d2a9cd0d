#pragma once

#include "fescue/serving/endpointrecord.h"
#include "fescue/serving/enginesend.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/moveplan.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescue::serving {

enum class MovePhase : std::uint8_t
{
    // It runs and is not being moved.
    Running,
    // It is to go on from its backup; the fiber that passes its stream on does that.
    HandingOver,
    // Its memory is copied while it runs on.
    Copying,
    // Its engine has been asked to stop it.
    Stopping,
    // It has stopped and can go on from `resume` at `destination`.
    Stopped,
    // It has stopped, or may have, and cannot go on.
    Broken,
};

// A generation whose stream this process passes on.
struct GenerationRun
{
    std::string requestId;
    ServiceName service;
    // The engine that runs it now.
    EndpointRecord engine;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    std::uint32_t tokensPerEvent = 1;
    std::uint64_t events = 0;

    // The engine that its own engine sends a backup of its memory to.
    std::optional<EndpointRecord> backup;
    // The engine that holds a copy made ahead by the GenerationMover, in place of a backup.
    std::optional<EndpointRecord> copyAhead;
    std::unique_ptr<ScopedLoad> copyLoad;
    // Names the copy at the engine that made it.
    std::string copyHandle;

    MovePhase phase = MovePhase::Running;
    // When it stopped; valid in phase Stopped.
    Millis stoppedAt {0};
    std::optional<ResumePoint> resume;
    // The engine that holds the copy.
    EndpointRecord destination;
    bool finished = false;
    // A fiber is moving it.
    bool hasMover = false;
    // A fiber keeps a copy of its memory at another engine.
    bool hasGuard = false;

    void forgetCopy() noexcept
    {
        copyAhead.reset();
        copyLoad.reset();
        copyHandle.clear();
    }
    // Memory that it holds now, in tokens.
    [[nodiscard]] std::uint64_t memoryTokens() const noexcept;
    // Output tokens that are expected to be still to come. A generation that is already longer than
    // expected is taken to go on for a part of its length.
    [[nodiscard]] std::uint64_t remainingTokens() const noexcept;
    // Memory that counts against an engine that takes the generation, over the rest of its run.
    [[nodiscard]] std::uint64_t reservedTokens() const noexcept;
    [[nodiscard]] MovingRun movingRun(Millis engineEndsAt) const noexcept;
};

using GenerationRunPtr = std::shared_ptr<GenerationRun>;

// The generations of this process by request.
class RunRegistry
{
public:
    void add(const GenerationRunPtr &run) { m_runs[run->requestId] = run; }
    void remove(const GenerationRunPtr &run);
    [[nodiscard]] std::vector<GenerationRunPtr> runsAt(const EndpointName &endpoint) const;
    // The engines that run generations of this process.
    [[nodiscard]] std::vector<EndpointRecord> engines() const;
    // Generations whose backup or copy is kept by an engine.
    [[nodiscard]] std::vector<GenerationRunPtr> runsKeptAt(const EndpointName &engine) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_runs.size(); }

private:
    std::map<std::string, GenerationRunPtr> m_runs;
};

} // namespace fescue::serving
