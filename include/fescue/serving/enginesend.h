#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/endpointaddress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::serving {

// A copy of a generation's memory from which it goes on.
struct ResumePoint
{
    // The engine that made the copy, or that keeps a backup.
    net::Address engine;
    // Names the copy there.
    std::string handle;
    // Last event that the caller got; none before the first.
    std::optional<std::uint64_t> lastEventId;
    bool operator==(const ResumePoint &) const = default;
};

// What the system adds to a caller's request when it sends it to an endpoint.
struct EngineSend
{
    EndpointName endpoint;
    // Time that is left for the answer.
    Millis timeLeft {0};
    // Empty where the configuration names no accounts.
    AccountName account;
    // The caller's key is removed from the request.
    bool hideKey = false;
    // Urgency at a model engine, 0 first.
    std::optional<int> priority;
    // Engine that is to get copies of the generation's memory as it grows.
    std::optional<net::Address> backup;
    std::optional<ResumePoint> resume;
};

// What the head of an endpoint's answer says.
struct EngineAnswerHead
{
    int status = 0;
    // The request that the answer is for; empty where it does not say.
    std::string requestId;
    // The endpoint says that it did not run the request.
    bool notRun = false;
    // Another endpoint has the address.
    bool otherEndpoint = false;
    // The endpoint says that it leaves.
    bool leaving = false;
    // Time until it is gone, where it says so.
    std::optional<Millis> leavesIn;
    // The endpoint turned the request away and wants nothing from this process for a time.
    bool asksPause = false;
    // That time; none where it cannot be read.
    std::optional<Millis> pause;

    [[nodiscard]] bool isSuccess() const noexcept { return status >= 200 && status < 300; }
};

// What a model engine says of its state. The figures are some hundred milliseconds old.
struct EngineReport
{
    // Time until it is gone, where it knows.
    std::optional<Millis> leavesIn;
    std::uint64_t memoryUsedTokens = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    bool operator==(const EngineReport &) const = default;
};

// A call that copies the memory of a running generation to another engine.
struct MoveCall
{
    std::string requestId;
    net::Address destination;
    // Stops the generation first and copies the rest.
    bool stop = false;
};

enum class MoveOutcome : std::uint8_t
{
    Copied,
    // The engine runs no such generation.
    NoSuchRun,
    // A copy of it is under way.
    Busy,
    // The destination has no room or cannot be reached.
    NoRoom,
    // The engine was not asked: it wants no requests for now.
    NotSent,
    // An answer that makes no sense.
    Unclear,
};

[[nodiscard]] std::string_view toString(MoveOutcome outcome) noexcept;

struct MoveAnswer
{
    MoveOutcome outcome = MoveOutcome::Unclear;
    // Names the copy; also given with NoRoom where the generation was stopped.
    std::string handle;
    // Events that the generation has made.
    std::uint64_t events = 0;
    bool operator==(const MoveAnswer &) const = default;
};

} // namespace fescue::serving
