#pragma once

#include "fescue/core/deadline.h"
#include "fescue/core/drain.h"
#include "fescue/core/eventid.h"
#include "fescue/gateway/gatewayparts.h"
#include "fescue/gateway/plaincall.h"
#include "fescue/net/httpserver.h"

#include <atomic>
#include <functional>
#include <string>

namespace fescue::gateway {

// Whether an entry takes new requests, as its shutdown decides.
class Intake
{
public:
    [[nodiscard]] bool open() const noexcept { return m_open.load(std::memory_order_acquire); }
    void close() noexcept { m_open.store(false, std::memory_order_release); }
    // Sets the time by which every call must have ended, since the process does.
    void endAt(Deadline end) noexcept { m_end.store(end, std::memory_order_release); }
    // True where a call with this deadline ends before the process does.
    [[nodiscard]] bool allows(Deadline call) const noexcept
    {
        return endsBefore(call, m_end.load(std::memory_order_acquire));
    }

private:
    std::atomic<bool> m_open {true};
    std::atomic<Deadline> m_end {Deadline {}};
};

// The interface towards callers and operators: finds the route of a request, checks who asks and
// what for, and hands it to the relay or to a call.
class Gateway
{
public:
    // `status` returns the body of GET /status.
    Gateway(GatewayParts &parts, const Intake &intake, std::function<std::string()> status);

    // Serves one request; runs on a fiber of any worker.
    void handle(const net::HttpRequest &request, net::ResponseWriter &writer);

    // Requests whose caller waits, and outcomes that are still to be kept.
    [[nodiscard]] std::size_t open() const noexcept;

private:
    // A caller whose key has been recognised.
    struct Caller
    {
        GatewayViewPtr view;
        const Account *account = nullptr;
    };

    void serveDirectory(const net::HttpRequest &request, net::ResponseWriter &writer);
    void serveCompletion(const net::HttpRequest &request, net::ResponseWriter &writer);
    void serveResume(const net::HttpRequest &request, net::ResponseWriter &writer);
    void serveCancel(const net::HttpRequest &request, net::ResponseWriter &writer);
    void servePlain(const net::HttpRequest &request, net::ResponseWriter &writer);
    [[nodiscard]] bool serveOperators(const net::HttpRequest &request, net::ResponseWriter &writer);

    [[nodiscard]] tl::expected<Caller, net::Problem>
    authenticate(const net::HttpRequest &request) const;
    // Refuses new work while this entry must not start any.
    [[nodiscard]] tl::expected<Caller, net::Problem>
    admitNewWork(const net::HttpRequest &request) const;
    [[nodiscard]] tl::expected<EventId, net::Problem> verifyEventId(const net::HttpRequest &request,
                                                                    const Caller &caller) const;
    [[nodiscard]] tl::expected<PlainRequest, net::Problem>
    parsePlain(const net::HttpRequest &request, const Caller &caller) const;
    // Counts a request of the account as open, up to its limit.
    [[nodiscard]] tl::expected<StreamTicket, net::Problem> takeTicket(const Caller &caller) const;
    [[nodiscard]] Result<Deadline> deadlineOf(const net::HttpRequest &request) const;
    void refuse(net::ResponseWriter &writer, const net::Problem &problem);

    GatewayParts &m_parts;
    const Intake &m_intake;
    std::function<std::string()> m_status;
    std::atomic<std::size_t> m_open {0};
};

} // namespace fescue::gateway
