#pragma once

#include "fescue/core/clock.h"

#include <cstdint>

namespace fescue::emulator {

// Size and speed of one emulated engine.
struct EngineSettings
{
    // Sequences that are decoded in the same step.
    std::uint32_t maxBatch = 24;
    // Requests that may wait for a place in the batch; more are refused.
    std::uint32_t maxWaiting = 64;
    // Memory for prompts and outputs of the batch.
    std::uint64_t memoryTokens = 32768;
    // Memory for cached prefixes, apart from the above.
    std::uint64_t cacheTokens = 32768;
    std::uint32_t tokensPerBlock = 64;

    // A step lasts stepBase, plus stepPerSequence for each sequence in the batch, plus the prefill.
    std::int64_t stepBaseMicros = 18000;
    std::int64_t stepPerSequenceMicros = 1200;
    std::int64_t prefillMicrosPerToken = 100;
    // Prompt tokens that one step computes at most.
    std::uint32_t prefillChunkTokens = 512;

    // A cold engine is slower by this factor, bears coldLimit requests, and one more for each
    // coldTokensPerSlot tokens produced until it bears a whole batch; given more it crashes.
    std::uint32_t coldFactor = 4;
    std::uint32_t coldLimit = 2;
    std::uint64_t coldTokensPerSlot = 150;
    // Time from a crash until the next incarnation accepts requests.
    Millis restartTime = 4_s;

    // Age of the figures in a load report.
    Millis reportLag = 500_ms;
    // Time for which a finished stream may be read again.
    Millis resumableFor = 30_s;
};

} // namespace fescue::emulator
