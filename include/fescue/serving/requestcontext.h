#pragma once

#include "fescue/net/httpserver.h"
#include "fescue/serving/attemptpolicy.h"
#include "fescue/serving/callerrequest.h"
#include "fescue/serving/routetable.h"
#include "fescue/serving/servingstate.h"

#include <span>
#include <string>
#include <utility>

namespace fescue::serving {

// Reports the wait of a request as evidence for a roll-out until it ends.
class VersionWait
{
public:
    VersionWait() = default;
    ~VersionWait() { end(); }
    VersionWait(const VersionWait &) = delete;
    VersionWait &operator=(const VersionWait &) = delete;

    void begin(RolloutTable &rollouts, OpenRequest request)
    {
        end();
        m_rollouts = &rollouts;
        m_id = rollouts.beginWait(std::move(request));
    }
    // Returns true if the wait had not ended before.
    bool end()
    {
        const std::uint64_t id = std::exchange(m_id, 0);
        if (id != 0)
            m_rollouts->endWait(id);
        return id != 0;
    }

private:
    RolloutTable *m_rollouts = nullptr;
    std::uint64_t m_id = 0;
};

// State of a caller's request while it is served.
struct RequestContext
{
    RequestContext(const net::HttpRequest &callerRequest,
                   net::ResponseWriter &callerWriter) noexcept
        : request(callerRequest), writer(callerWriter)
    { }

    const net::HttpRequest &request;
    net::ResponseWriter &writer;
    CallerRequest caller;
    // Configuration under which the request is served; keeps the route and the account alive.
    RouteTablePtr routes;
    const Route *route = nullptr;
    // Null if the configuration requires no key, or if the route is anonymous and the request
    // has no known key.
    const AccountSpec *account = nullptr;
    ServiceName service;
    Millis arrivedAt {0};
    // The event after which the caller wants its stream to begin; nullopt for all of it.
    std::optional<std::uint64_t> position;
    // Latest time at which the caller needs an answer.
    Millis deadline {0};

    // Fields of the log entry that is written when the request ends.
    std::string endpoint;
    Millis endpointAge {0};
    // Load of the endpoint as known when it was chosen.
    EndpointLoad endpointLoad;
    // Tokens of the prompt that the endpoint was likely to hold when it was chosen.
    std::uint64_t heldTokens = 0;
    std::uint32_t attempts = 0;
    // Time at which the endpoint was chosen, and whether it was cold then.
    Millis chosenAt {0};
    bool wasCold = false;
    // Its wait for the first byte, unless the endpoint was cold.
    VersionWait wait;
    std::string detail;
    Millis firstByteAt {0};
    std::uint32_t moves = 0;
    // Events of a stream that were forwarded to the caller.
    std::uint64_t events = 0;

    // True if the request is a claimed trial of a quarantined part that has not been sent yet.
    bool isTrial = false;
    // True once engines are known to answer the prompt without crashing.
    bool promptStarted = false;

    // Returns the time that the caller spent on earlier attempts: the part of the route's timeout
    // that it no longer grants; 0 if it states no deadline.
    [[nodiscard]] Millis waitedBefore() const noexcept;
    [[nodiscard]] Millis timeLeft() const noexcept { return deadline - ServingState::now(); }
};

// Returns the fields that are added to every request sent to an endpoint.
[[nodiscard]] EngineSend makeSend(const RequestContext &context, const EndpointRecord &endpoint);

// Returns the priority of the request: that of its account, or of its route if the account has
// none.
[[nodiscard]] int priorityInForce(const RequestContext &context) noexcept;

// Returns the fields for a generation request: those of makeSend() and the priority of its account,
// or of its route if the account has none.
[[nodiscard]] EngineSend makeGenerationSend(const RequestContext &context,
                                            const EndpointRecord &endpoint);

// Records the choice of an endpoint for the log.
void noteEndpoint(ServingState &state, RequestContext &context, const EndpointView &endpoint);

// Records that an endpoint reads a prompt, and how much of it the endpoint is likely to hold.
void notePrefix(ServingState &state, RequestContext &context, const EndpointView &endpoint,
                std::span<const PromptPart> parts);

// Updates the health of the endpoint from the outcome of an attempt, and logs attempts that failed.
void noteAttempt(ServingState &state, RequestContext &context, const EndpointRecord &endpoint,
                 SendOutcome outcome, std::string_view detail);

// Logs that a generation was held before it started, was refused or was abandoned, and counts it.
void noteHeld(ServingState &state, const RequestContext &context, const TurnRequest &request,
              TurnStep step);
// Record for the comparison of software versions that a stream has begun, or broke off for good.
void noteStreamStart(ServingState &state, RequestContext &context, const EndpointRecord &endpoint);
void noteStreamFailure(ServingState &state, RequestContext &context,
                       const EndpointRecord &endpoint);
// The same for a stream that goes on at another endpoint already, whose wait is not touched.
// `waited` is how long the broken one had waited for its first event; 0 where that had come.
void noteEarlierStreamFailure(ServingState &state, const RequestContext &context,
                              const EndpointRecord &endpoint, Millis waited);

// Ends the wait for the first byte of the current attempt. Returns how long it was; 0 if that byte
// had come, since a stream that breaks off after its first event was not slow.
Millis endVersionWait(RequestContext &context);

// Records for the same comparison how long a caller waited that has left; nothing if the first byte
// had come.
void noteCallerLeft(ServingState &state, RequestContext &context, const EndpointRecord &endpoint);

// Logs the end of a request and updates the request metrics.
void noteOutcome(ServingState &state, const RequestContext &context, ResultCode code, int status);

// Returns the refusal of a request that has not run, with the time after which the caller should
// retry.
[[nodiscard]] net::Problem notRunProblem(ServingState &state, const RequestContext &context,
                                         ResultCode code, std::string detail);

// Returns the refusal of a request with a quarantined prompt part.
[[nodiscard]] net::Problem quarantineProblem(RequestContext &context,
                                             const PromptDecision &decision);

// Returns the failure of a request that may have run.
[[nodiscard]] net::Problem unknownProblem(SendOutcome outcome, std::string detail);

} // namespace fescue::serving
