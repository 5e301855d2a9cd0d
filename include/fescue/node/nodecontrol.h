#pragma once

#include "fescue/net/storeclient.h"
#include "fescue/net/workerpool.h"
#include "fescue/node/nodeoptions.h"
#include "fescue/node/nodeview.h"
#include "fescue/observe/metrics.h"
#include "fescue/observe/timeline.h"
#include "fescue/peer/peerlinks.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescue::node {

// What happened to the lease of a daemon.
enum class LeaseChange : std::uint8_t
{
    Granted,
    Renewed,
    Lost,
};

// What a program wants to hear. All are called on the control worker, on one of its fibers, one at
// a time, and must not wait.
struct NodeCallbacks
{
    // After each change of the view.
    std::function<void(const NodeViewPtr &)> onView;
    // Messages that the control part does not handle itself: credits and signs of endpoints.
    std::function<void(const MemberName &, const peer::Message &)> onMessage;
    std::function<void(const peer::Hello &, peer::LinkState)> onLink;
    // With the time at which the request to the store was sent.
    std::function<void(LeaseChange, Millis)> onLease;
};

// The control part of a daemon: its registration, the configuration, the members, the list of VMs
// and the judgement whether all that can be relied on. It runs on one worker and one thread for
// links of its own, so that load on the data path does not delay it.
class NodeControl
{
public:
    NodeControl(NodeOptions options, observe::Timeline &timeline, observe::Metrics &metrics,
                NodeCallbacks callbacks);
    ~NodeControl();
    NodeControl(const NodeControl &) = delete;
    NodeControl &operator=(const NodeControl &) = delete;

    // Listens for peers and starts. Does not wait for the store.
    [[nodiscard]] Result<void> start();

    // Gives up the registration, closes the links and ends the worker. Not callable on it.
    void stop();

    // Marks this daemon as leaving: members learn it, and the view says so at once.
    void setLeaving();
    // True once the store has confirmed that this daemon is marked as leaving.
    [[nodiscard]] bool leavingConfirmed() const noexcept;

    // The latest view; never null. Callable from any thread.
    [[nodiscard]] NodeViewPtr currentView() const;

    // The body of GET /status.
    [[nodiscard]] std::string status() const;

    // Members to hold links with besides the neighbours; replaces the previous list.
    void setExtraPeers(std::vector<MemberName> members);

    [[nodiscard]] peer::PeerLinks &links() noexcept;
    // The pool of the control worker, which has index 0. For control work of the program.
    [[nodiscard]] net::WorkerPool &controlPool() noexcept;
    [[nodiscard]] net::HttpClient &httpClient() noexcept;
    // "ip:port" of the listener for other daemons.
    [[nodiscard]] const std::string &peerAddress() const noexcept;
    [[nodiscard]] const NodeOptions &options() const noexcept;
    // The lease of the registration, 0 while there is none. Control worker only.
    [[nodiscard]] net::LeaseId lease() const noexcept;
    // A client of the store whose calls are counted with those of the control part.
    [[nodiscard]] net::StoreClient store() noexcept;
    // Calls of the store that the control part made.
    [[nodiscard]] net::CallCounts storeCalls() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fescue::node
