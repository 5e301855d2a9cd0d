#pragma once

#include "fescue/core/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescue::serving {

// When a generation would begin at the engine that suits it best.
struct StartOffer
{
    // Time until the engine has processed the prompts that wait there already.
    Millis queueDelay {0};
    // Time that the engine takes for the prompt itself.
    Millis readTime {0};
};

// A generation that competes with others for the engines of its service.
struct TurnRequest
{
    // No request of the service may be more urgent.
    bool mostUrgent = false;
    // The client account has recently used much more than its share of the engines.
    bool overShare = false;
    // The caller was refused before and has come back.
    bool hasReturned = false;
    // Time since the caller first asked, also of an earlier attempt that was refused.
    Millis waited {0};
    // Time that this process has held the request.
    Millis held {0};
    // Target for the time from the caller's first attempt to the first event; 0 if there is none.
    Millis targetLatency {0};
    // Nullopt if no engine has room.
    std::optional<StartOffer> offer;
};

enum class TurnStep : std::uint8_t
{
    // Send the request to an engine.
    Start,
    // Let others go first and decide again soon.
    Wait,
    // No room is expected in time.
    Refuse,
};

[[nodiscard]] std::string_view toString(TurnStep step) noexcept;

// Returns true if an account whose recent use is this multiple of the mean over all accounts has
// used much more than its share.
[[nodiscard]] bool isOverShare(double shareRatio) noexcept;

// Decides whether a generation starts. The most urgent ones start at once. Others leave the engines
// to them while prompts wait there, but no longer than their own target latency allows: who has
// waited longer accepts a longer queue at the engine, so that all processes follow the same order
// without asking each other. A request without room waits for a small part of its target latency,
// since running generations end all the time. One that has returned waits for longer, so that it
// finds room before those that come anew: its caller seldom tries a third time.
[[nodiscard]] TurnStep decideTurn(const TurnRequest &request) noexcept;

} // namespace fescue::serving
