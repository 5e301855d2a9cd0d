#pragma once

#include "fescue/net/httpserver.h"
#include "fescue/serving/attemptpolicy.h"
#include "fescue/serving/callerrequest.h"
#include "fescue/serving/routetable.h"
#include "fescue/serving/servingstate.h"

#include <string>

namespace fescue::serving {

// One request of a caller while it is being served.
struct RequestContext
{
    RequestContext(const net::HttpRequest &callerRequest,
                   net::ResponseWriter &callerWriter) noexcept
        : request(callerRequest), writer(callerWriter)
    { }

    const net::HttpRequest &request;
    net::ResponseWriter &writer;
    CallerRequest caller;
    // The configuration that decided; keeps the route and the account alive.
    RouteTablePtr routes;
    const Route *route = nullptr;
    // Null where the request shows no key, or needs none.
    const AccountSpec *account = nullptr;
    ServiceName service;
    Millis arrivedAt {0};
    // When the caller needs an answer at the latest.
    Millis deadline {0};

    // For the line that the log gets at the end.
    std::string endpoint;
    Millis endpointAge {0};
    // Load of the endpoint as it was known when it was chosen.
    EndpointLoad endpointLoad;
    std::uint32_t attempts = 0;
    std::string detail;
    Millis firstByteAt {0};
    std::uint32_t moves = 0;

    [[nodiscard]] Millis timeLeft() const noexcept { return deadline - ServingState::now(); }
};

// Returns the fields that every request sent to an endpoint gets.
[[nodiscard]] EngineSend makeSend(const RequestContext &context, const EndpointRecord &endpoint);

// Returns the fields of a request for a generation: those of makeSend() and its urgency, which is
// that of its account, else that of its route.
[[nodiscard]] EngineSend makeGenerationSend(const RequestContext &context,
                                            const EndpointRecord &endpoint);

// Records the choice of an endpoint for the log.
void noteEndpoint(const ServingState &state, RequestContext &context, const EndpointView &endpoint);

// Records how an attempt ended with the health of its endpoint, and logs attempts that failed.
void noteAttempt(ServingState &state, RequestContext &context, const EndpointRecord &endpoint,
                 SendOutcome outcome, std::string_view detail);

// Writes the line that ends a request, and counts it.
void noteOutcome(ServingState &state, const RequestContext &context, ResultCode code, int status);

// Makes the refusal of a request that has not run, with the time to come back.
[[nodiscard]] net::Problem notRunProblem(ServingState &state, const RequestContext &context,
                                         ResultCode code, std::string detail);

// Makes the failure of a request that may have run.
[[nodiscard]] net::Problem unknownProblem(SendOutcome outcome, std::string detail);

} // namespace fescue::serving
