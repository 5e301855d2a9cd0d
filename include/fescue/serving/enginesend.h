#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/net/endpointaddress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::serving {

// A copy of a generation's memory from which the generation can resume.
struct ResumePoint
{
    // The engine that made the copy, or that stores a backup.
    net::Address engine;
    // Identifies the copy at that engine.
    std::string handle;
    // Id of the last event that the caller received; nullopt before the first.
    std::optional<std::uint64_t> lastEventId;
    bool operator==(const ResumePoint &) const = default;
};

// Fields that the system adds to a caller's request when it sends it to an endpoint.
struct EngineSend
{
    EndpointName endpoint;
    // Time left for the answer.
    Millis timeLeft {0};
    // Empty if the configuration requires no key.
    AccountName account;
    // Removes the caller's key from the request.
    bool removeKey = false;
    // Priority at a model engine; 0 is the most urgent.
    std::optional<int> priority;
    // Time for which the new connection is watched before the request is sent; see
    // net::HttpRequest::settleTime.
    Millis settleTime {0};
    // Engine that receives copies of the generation's memory as it grows.
    std::optional<net::Address> backup;
    std::optional<ResumePoint> resume;
    // Without a copy to resume from: the engine runs the request and begins after this event.
    std::optional<std::uint64_t> lastEventId;
};

// Contents of the head of an endpoint's answer.
struct EngineAnswerHead
{
    int status = 0;
    // The request that the answer is for; empty if the answer does not name it.
    std::string requestId;
    // The endpoint reported that it did not run the request.
    bool notRun = false;
    // A success that is not the endpoint's whole answer: its mark is missing, or the body has an
    // encoding that was not asked for.
    bool isForeignSuccess = false;
    // A different endpoint uses the address.
    bool otherEndpoint = false;
    // The endpoint announced that it is leaving.
    bool leaving = false;
    // Time until the endpoint terminates, if announced.
    std::optional<Millis> leavesIn;
    // The endpoint rejected the request and asked this process to send no requests for a time.
    bool asksPause = false;
    // Length of that pause; nullopt if it cannot be parsed.
    std::optional<Millis> pause;

    [[nodiscard]] bool isSuccess() const noexcept { return status >= 200 && status < 300; }
};

// Load and state that a model engine reports. The figures are some hundred milliseconds old.
struct EngineReport
{
    // Time until the engine terminates, if it is known.
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
    // Stops the generation first and copies the remaining memory.
    bool stop = false;
};

enum class MoveOutcome : std::uint8_t
{
    Copied,
    // The engine does not run the generation.
    NoSuchRun,
    // Another copy of the generation is in progress.
    Busy,
    // The destination has no room or cannot be reached.
    NoRoom,
    // No call was sent because the engine has asked for a pause.
    NotSent,
    // The answer is missing or malformed.
    Unclear,
};

[[nodiscard]] std::string_view toString(MoveOutcome outcome) noexcept;

struct MoveAnswer
{
    MoveOutcome outcome = MoveOutcome::Unclear;
    // Identifies the copy; also given with NoRoom if the generation was stopped.
    std::string handle;
    // Number of events that the generation has produced.
    std::uint64_t events = 0;
    bool operator==(const MoveAnswer &) const = default;
};

} // namespace fescue::serving
