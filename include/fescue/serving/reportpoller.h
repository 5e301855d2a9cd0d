#pragma once

#include "fescue/core/memberinfo.h"
#include "fescue/serving/enginereports.h"
#include "fescue/serving/protocol.h"
#include "fescue/serving/servingstate.h"
#include "fescue/serving/storefeed.h"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace fescue::serving {

// Asks model engines for their load and passes it on to all entry processes. A process knows what
// it and its neighbours have sent; only the engine knows the rest: copies, generations of processes
// that have died, work from other availability zones.
template <PlatformProtocol P>
class ReportPoller
{
public:
    // Sends a datagram to every other entry process.
    using Broadcast = std::function<void(std::string_view)>;

    ReportPoller(ServingState &state, MemberName self, Broadcast broadcast);

    // Asks again and again until the worker stops; on a fiber of its own.
    void run();
    // Takes reports that this or another process has got.
    void take(std::span<const EndpointLoadOf> loads);

private:
    // The answers of one round.
    struct Round
    {
        std::size_t open = 0;
        std::vector<EndpointLoadOf> loads;
    };

    [[nodiscard]] std::vector<EndpointRecord> enginesToAsk() const;
    void ask(const EndpointRecord &engine, const std::shared_ptr<Round> &round);

    ServingState *m_state;
    MemberName m_self;
    Broadcast m_broadcast;
    observe::Counter *m_failed;
};

} // namespace fescue::serving

#include "fescue/serving/reportpoller.inl"
