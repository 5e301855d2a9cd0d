#include "fescue/serving/turnorder.h"

#include <algorithm>

namespace fescue::serving {

namespace {

// Queue of prompts that an engine keeps for less urgent requests that have not waited. An urgent
// prompt behind it still begins within a fraction of its target latency.
constexpr Millis baseQueue {150};
// Longest queue that they accept before they are due: urgent prompts still have most of a target
// latency of a second and a half for themselves.
constexpr Millis maxQueue {400};
// The accepted queue grows by the time that the request has waited, divided by this.
constexpr std::int64_t waitedDivisor = 2;
// Multiple of the mean use over all accounts above which an account has used much more than its
// share. Accounts of normal size differ by less.
constexpr double overShareRatio = 4;
// Estimates of the time to the first event are exceeded by half at a busy engine.
constexpr std::int64_t safetyPercent = 150;
constexpr std::int64_t percent = 100;
// A request without room waits for its target latency divided by this.
constexpr std::int64_t roomWaitDivisor = 8;
// The same for a request that has returned.
constexpr std::int64_t returnedRoomWaitDivisor = 2;

} // namespace

std::string_view toString(TurnStep step) noexcept
{
    switch (step) {
    case TurnStep::Start:
        return "start";
    case TurnStep::Wait:
        return "wait";
    case TurnStep::Refuse:
        return "refuse";
    }
    return "unknown";
}

bool isOverShare(double shareRatio) noexcept
{
    return shareRatio > overShareRatio;
}

TurnStep decideTurn(const TurnRequest &request) noexcept
{
    if (!request.offer) {
        const std::int64_t divisor =
            request.hasReturned ? returnedRoomWaitDivisor : roomWaitDivisor;
        const bool mayWait = request.held < request.targetLatency / divisor;
        return mayWait ? TurnStep::Wait : TurnStep::Refuse;
    }
    if (request.mostUrgent)
        return TurnStep::Start;
    const StartOffer &offer = *request.offer;
    const Millis expected = (offer.queueDelay + offer.readTime) * safetyPercent / percent;
    const bool isDue = request.waited + expected >= request.targetLatency;
    const Millis accepted = request.overShare
        ? baseQueue
        : std::min(baseQueue + request.waited / waitedDivisor, maxQueue);
    return isDue || offer.queueDelay <= accepted ? TurnStep::Start : TurnStep::Wait;
}

} // namespace fescue::serving
