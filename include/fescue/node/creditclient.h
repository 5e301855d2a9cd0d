#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/node/nodeview.h"
#include "fescue/peer/messages.h"
#include "fescue/peer/peerlinks.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace fescue::node {

class NodeControl;

// One grant as the wallet of an entry takes it.
struct ReceivedGrant
{
    peer::EndpointGrant grant;
    MemberName authority;
    // End of the term by the steady clock of this process.
    Millis validUntil;
};

struct CreditClientOptions
{
    // Demands that change within this time go out together.
    Millis coalesceInterval = 200_ms;
    // Unchanged demands are repeated, so that the terms of their credits are renewed.
    Millis refreshInterval = 600_ms;
};

// Carries the demands of an entry to the authorities of its endpoints, and their grants back.
// Holds links to exactly the authorities whose endpoints it has a demand for. Every method may be
// called from any thread.
class CreditClient
{
public:
    // The callback runs on the control worker; an authority that has no say over an endpoint
    // causes no call for it.
    using GrantCallback = std::function<void(const ReceivedGrant &)>;

    CreditClient(NodeControl &node, CreditClientOptions options, GrantCallback onGrant);
    ~CreditClient();
    CreditClient(const CreditClient &) = delete;
    CreditClient &operator=(const CreditClient &) = delete;

    // Starts the fiber on the control worker. Call after NodeControl::start().
    void start();
    // Stops sending and calling back.
    void stop();

    // Replaces the demands, one for each endpoint that the entry uses or wants to use.
    void setDemands(std::vector<peer::EndpointDemand> demands);

    // Sends changed demands at once instead of at the end of the interval.
    void flush();

    // Tells the authority of an endpoint what was seen there; lost where there is no link.
    void report(const peer::EndpointEvent &event);

    // Hand in what NodeCallbacks::onMessage got. Returns true where it was a grant.
    bool handleMessage(const MemberName &from, const peer::Message &message);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescue::node
