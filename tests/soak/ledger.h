#pragma once

#include "tests/soak/soakconfig.h"
#include "tests/soak/spans.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::soak {

// What one endpoint did for a call.
struct Run
{
    std::size_t endpoint = 0;
    Millis begunAt {0};
    // The end of the work; endOfTime while it goes on.
    Millis endedAt = endOfTime;
    // Goes on from the memory of an earlier run of the same call.
    bool resumed = false;
};

enum class CallEnd : std::uint8_t
{
    // Still open.
    None,
    // A whole answer, of whatever status.
    Answered,
    // The connection ended before the whole answer.
    Broken,
    // Nothing came in the time that the caller had.
    TimedOut,
    // The caller left.
    Left,
    // No connection to the entry.
    NotConnected,
};

// One attempt of a caller, as it and the endpoints saw it.
struct Call
{
    std::string id;
    CallKind kind = CallKind::Read;
    // Path of the route, and the key shown.
    std::string prefix;
    std::string key;
    std::size_t entry = 0;
    Millis sentAt {0};
    // When the last byte of the request was sent; endOfTime where that never was.
    Millis writtenAt {0};
    Millis patience {0};
    std::uint32_t events = 0;
    // The last event that the caller has: from earlier calls when this one is sent.
    std::uint64_t position = 0;
    // The prompt has a part that crashes each engine that begins to answer it.
    bool crashing = false;

    CallEnd end = CallEnd::None;
    int status = 0;
    Millis endedAt {0};

    // All requests that reached an endpoint for it, also those that it rejected, and the endpoint
    // and time of the last one.
    std::uint32_t arrivals = 0;
    std::size_t lastReached = 0;
    Millis lastArrivalAt {0};
    std::vector<Run> runs;
    // Status of the endpoint's answer, where it gave a whole one.
    int endpointStatus = 0;
    // The endpoint whose answer said that it leaves.
    std::optional<std::size_t> saidLeavingBy;
};

// A time for which an endpoint wants nothing from an entry.
struct Pause
{
    Millis from {0};
    Millis until {0};
    std::uint32_t arrivals = 0;
};

// A planned stop of an entry.
struct Stop
{
    Millis signalledAt {0};
    Millis endedAt = endOfTime;
};

// An endpoint as the operator and the store know it.
struct EndpointFacts
{
    std::string id;
    std::string service;
    std::string zone;
    // When the store acknowledged that it leaves or is gone.
    Millis leavingAt = endOfTime;
    Millis goneAt = endOfTime;
    Millis coldUntil {0};
    std::deque<Millis> coldArrivals;
    // By entry: when it had passed on an answer that said that the endpoint leaves.
    std::map<std::size_t, Millis> saidLeavingTo;
    // By entry: the time for which the endpoint wanted nothing from it.
    std::map<std::size_t, Pause> pauses;
};

// Records what callers and endpoints see, and which promises of the system that breaks.
class Ledger
{
public:
    // The users' bounds, as in their site files.
    static constexpr Millis drainTime = 2_s;
    static constexpr Millis evacuationTime = 5_s;
    static constexpr Millis overlapLimit = 400_ms;
    static constexpr Millis workAfterLeaving = 500_ms;
    static constexpr Millis answerSlack = 500_ms;
    // Requests that were under way when an endpoint asked for a pause, and how many may follow.
    static constexpr Millis pauseSlack = 500_ms;
    static constexpr std::uint32_t pauseAllowance = 2;
    static constexpr Millis lossSlack = 200_ms;
    static constexpr Millis rollbackSlack = 250_ms;
    static constexpr Millis budgetWindow = 10_s;
    static constexpr double retryRatio = 0.2;
    static constexpr double retryAllowance = 58;
    static constexpr double coldPerSecond = 30;
    static constexpr double coldOverrun = 1.5;
    static constexpr double coldTolerance = 5;
    // Prompts that crash engines: requests that may reach engines after some crashes and a time.
    static constexpr std::size_t decisiveCrashes = 5;
    static constexpr Millis crashReaction = 3_s;
    static constexpr std::uint32_t crashingAllowance = 3;

    explicit Ledger(Disturbances &disturbances) : m_disturbances(&disturbances) { }

    ConfigHistory configs;
    // When each zone was taken out of service; zones in service are absent.
    std::map<std::string, Millis> zonesOut;

    [[nodiscard]] std::size_t addEndpoint(const EndpointFacts &facts);
    [[nodiscard]] EndpointFacts &endpoint(std::size_t index) { return m_endpoints[index]; }

    Call &callerSends(const Call &call);
    void callerEnds(Call &call, CallEnd end, int status, Millis now);

    // Checks a request that reached an endpoint; returns its call, or null where there is none.
    [[nodiscard]] Call *arrives(const std::string &id, std::size_t endpoint,
                                std::string_view prefix, std::string_view account, Millis now);
    // A control call of the entry that serves a call.
    void controlArrives(const std::string &id, std::size_t endpoint, Millis now);
    // An endpoint has turned a request away and wants nothing from the entry for a time.
    void endpointAsksPause(std::size_t entry, std::size_t endpoint, Millis now, Millis span);
    // A request that its endpoint begins to work on. Returns the index of the run.
    std::size_t begins(Call &call, std::size_t endpoint, bool resumed, Millis now);
    void ends(Call &call, std::size_t run, Millis now);
    // The entry got the signal for its planned stop, and ended.
    void stopBegins(std::size_t entry, Millis now);
    void stopEnds(std::size_t entry, Millis now);
    // An engine has crashed on a call's prompt.
    void crashedBy(const Call &call, Millis now);

    // Checks what can only be judged once everything has ended.
    void judge();

    void violation(std::string_view promise, const std::string &text);
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    [[nodiscard]] const std::map<std::string, Call> &calls() const noexcept { return m_calls; }
    // Part of the calls sent from then on that were served.
    [[nodiscard]] double servedShare(Millis from, Millis to) const;

private:
    // The latest configuration that an entry has shown.
    struct ShownVersion
    {
        std::uint64_t version = 0;
        Millis at {0};
    };

    struct Tally
    {
        std::uint32_t counted = 0;
        std::uint32_t bad = 0;
    };

    void checkLeaving(const Call &call, const EndpointFacts &facts, Millis now);
    void checkPause(std::size_t entry, std::size_t endpoint, Millis now);
    void checkCrashing(const Call &call, Millis now);
    // An entry never goes back to an earlier configuration in one life.
    void checkVersion(const Call &call, std::string_view version, Millis now);
    void checkCold(EndpointFacts &facts, Millis now);
    void checkRepeats(const std::string &service, Millis now);
    void checkRuns(const Call &call);
    void checkAnswer(const Call &call);
    void checkLost(const Call &call);
    // Calls sent in a planned stop get the answer of the endpoint or are refused truthfully.
    void checkStop(const Call &call);
    void checkConfig(const Call &call);
    // Nothing happened that excuses the loss of the call but planned work.
    [[nodiscard]] bool isCalm(const Call &call) const;
    // The call is a stream whose work had ended, and that then reached an endpoint in trouble,
    // which may have rejected it.
    [[nodiscard]] bool isLostInTrouble(const Call &call) const;
    // The planned stop in which the call was sent, or null.
    [[nodiscard]] const Stop *stopAround(const Call &call) const;
    // Says how long after the signal for the stop the call was sent; empty for other calls.
    [[nodiscard]] std::string describeStop(const Call &call) const;
    // Says what endpoints did for the call, in times since it was sent.
    [[nodiscard]] std::string describeRuns(const Call &call) const;
    void checkOverlap(const Call &call);
    void tallyLeft(const Call &call);
    void tallyHeld(const Call &call);
    [[nodiscard]] std::string describe(const Call &call) const;

    Disturbances *m_disturbances;
    std::vector<EndpointFacts> m_endpoints;
    std::map<std::string, Call> m_calls;
    // By service: requests of callers, and arrivals beyond the first of each.
    std::map<std::string, std::deque<Millis>> m_requests;
    std::map<std::string, std::deque<Millis>> m_repeats;
    std::map<std::size_t, ShownVersion> m_shown;
    std::map<std::size_t, std::vector<Stop>> m_stops;
    Tally m_left;
    Tally m_held;
    std::vector<Millis> m_crashes;
    // Requests with a crashing prompt that were sent too late.
    std::uint32_t m_crashingSent = 0;
    std::vector<std::string> m_violations;
};

} // namespace fescue::soak
