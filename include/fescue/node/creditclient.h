#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/peer/messages.h"
#include "fescue/policy/credit.h"

#include <functional>
#include <memory>
#include <vector>

namespace fescue::node {

class NodeControl;

struct CreditClientOptions
{
    // A demand that wants more is sent at once, but not again within this time.
    Millis coalesceInterval = 200_ms;
    // Every demand is repeated after this time, so that its credit is renewed before the term ends.
    Millis refreshInterval = 600_ms;
};

// Carries the demands of an entry to the authorities of its endpoints, and their grants back. Holds
// links to exactly the authorities of the endpoints that it has a demand for. An authority that
// does not own an endpoint grants nothing for it, and is asked again. Every method may be called
// from any thread.
class CreditClient
{
public:
    // Called on the control worker with a grant for this entry; must not wait.
    using GrantCallback = std::function<void(const CreditGrant &)>;

    CreditClient(NodeControl &node, CreditClientOptions options, GrantCallback onGrant);
    ~CreditClient();
    CreditClient(const CreditClient &) = delete;
    CreditClient &operator=(const CreditClient &) = delete;

    // Starts on the control worker. Call after NodeControl::start().
    void start();
    // Ends sending and calling back. A callback that runs may still finish, unless the control
    // worker has been stopped.
    void stop();

    // Replaces the demands: one for each endpoint that the entry uses or wants to use. A grant ends
    // its term after the time at which the demand says that it was sent, so give fresh demands
    // several times within each refresh interval.
    void setDemands(std::vector<EntryDemand> demands);

    // Tells the authority of an endpoint what was seen there; lost where there is no link.
    void report(const peer::EndpointEvent &event);

    // Takes what NodeCallbacks::onMessage got. Returns true where it was an answer to demands.
    bool handleMessage(const MemberName &from, const peer::Message &message);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescue::node
