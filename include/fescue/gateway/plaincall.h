#pragma once

#include "fescue/core/claim.h"
#include "fescue/core/snapshot.h"
#include "fescue/gateway/gatewayparts.h"
#include "fescue/net/httpserver.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace fescue::gateway {

// A checked call to a plain service.
struct PlainRequest
{
    AccountName account;
    ServiceName service;
    // Path at the service, with its query.
    net::HttpRequest http;
    std::string idempotencyKey;
    std::string requestId;
    CallContract contract;
    Deadline deadline;
};

// The contract of a path: that of the longest declared prefix. Calls without a declared contract
// may not be repeated.
[[nodiscard]] CallContract contractOf(const Service &service, std::string_view path);

// Carries out calls to plain services, on the fiber of the request.
class PlainCall
{
public:
    PlainCall(GatewayParts &parts, net::ResponseWriter &writer, PlainRequest request);

    // Serves a call that may be repeated: sends it again after a failure while the deadline and the
    // endpoint's retry budget allow.
    void runRepeatable();

private:
    [[nodiscard]] bool shouldRetry(const Error &error, const EndpointName &endpoint,
                                   std::uint32_t attempt);

    GatewayParts &m_parts;
    net::ResponseWriter &m_writer;
    PlainRequest m_request;
};

// Carries out one call that may not be repeated. All decisions are those of ClaimMachine. The call
// outlives the request of its caller where an outcome is still to be kept: call run() from the
// caller's fiber, and then, where it returns true, finish() from another one.
class ClaimedCall : public std::enable_shared_from_this<ClaimedCall>
{
public:
    ClaimedCall(GatewayParts &parts, PlainRequest request);
    ~ClaimedCall();
    ClaimedCall(const ClaimedCall &) = delete;
    ClaimedCall &operator=(const ClaimedCall &) = delete;

    // Answers the caller. Returns true where work is left for finish().
    [[nodiscard]] bool run(net::ResponseWriter &writer);

    // Keeps the outcome; returns when nothing is left to do.
    void finish();

private:
    void push(const claim::Actions &actions);
    void perform(const claim::Action &action, net::ResponseWriter *writer);
    void report(const claim::Event &event);
    void write(const ClaimRecord &record, std::optional<StoreRevision> over);
    void read();
    void dispatch();
    void keep(const claim::KeepOutcome &outcome);
    [[nodiscard]] std::string storeKey() const;
    void releaseAdmission(EndKind kind);

    GatewayParts &m_parts;
    PlainRequest m_request;
    ClaimMachine m_machine;
    std::deque<claim::Action> m_actions;
    RequestId m_id;
    EndpointName m_endpoint;
    bool m_admitted = false;
};

} // namespace fescue::gateway
