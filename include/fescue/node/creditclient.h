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
    // Interval at which the demands are looked at.
    Millis checkInterval = 100_ms;
    // A demand that wants more is sent when it is looked at, but not again within this time.
    Millis coalesceInterval = 200_ms;
    // Every demand is repeated after this time, so that its credit is renewed before the term ends.
    Millis refreshInterval = 600_ms;
};

// What the client needs from the entry. Both are called on the control worker and must not wait.
struct CreditClientHooks
{
    // Returns one demand for each endpoint that the entry uses or wants to use, sent at that time.
    std::function<std::vector<EntryDemand>(Millis)> demands;
    // A grant for this entry, to be applied to its wallet.
    std::function<void(const CreditGrant &)> granted;
};

// Carries the demands of an entry to the authorities of its endpoints, and their grants back. Holds
// links to exactly the authorities of the endpoints that it has a demand for. An authority that
// does not own an endpoint grants nothing for it, and is asked again. Every method may be called
// from any thread.
class CreditClient
{
public:
    CreditClient(NodeControl &node, CreditClientHooks hooks, CreditClientOptions options = {});
    ~CreditClient();
    CreditClient(const CreditClient &) = delete;
    CreditClient &operator=(const CreditClient &) = delete;

    // Starts on the control worker. Call after NodeControl::start().
    void start();
    // Ends sending and calling back. A hook that runs may still finish, unless the control worker
    // has been stopped.
    void stop();

    // Sends demands that want more without waiting for the next look at them.
    void flush();

    // Tells the authority of an endpoint what was seen there; lost where there is no link.
    void report(const peer::EndpointEvent &event);

    // Takes what NodeCallbacks::onMessage got. Returns true where it was an answer to demands.
    bool handleMessage(const MemberName &from, const peer::Message &message);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace fescue::node
