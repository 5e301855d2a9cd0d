#pragma once

#include "fescue/config/accountkeys.h"
#include "fescue/core/directory.h"
#include "fescue/core/eligibility.h"
#include "fescue/core/membertable.h"
#include "fescue/core/snapshot.h"
#include "fescue/core/vmlist.h"
#include "fescue/net/endpointaddress.h"
#include "fescue/policy/entryadmission.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace fescue::gateway {

// What the data path of an entry knows about the system at one time. Never changes once published.
struct GatewayView
{
    std::shared_ptr<const Snapshot> snapshot = std::make_shared<Snapshot>();
    // Null before the first configuration.
    std::shared_ptr<const AccountDirectory> accounts;
    std::vector<MemberView> members;
    VmList vms;
    FreshnessVerdict freshness = FreshnessVerdict::Isolated;
    bool ready = false;
    // Endpoints that may get new work, with the order of zones as this entry sees it.
    std::vector<ServiceEndpoint> eligible;
    std::map<EndpointName, net::Address> addresses;

    // Whether an endpoint may get new work.
    [[nodiscard]] Eligibility judge(const EndpointName &endpoint) const;
    // Address of a configured endpoint, whether it may get new work or not.
    [[nodiscard]] std::optional<net::Address> addressOf(const EndpointName &endpoint) const;
    [[nodiscard]] std::vector<DirectoryEntry> directory(const DirectoryQuery &query) const;
    // True where this life of the member may still be at work.
    [[nodiscard]] bool mayLive(const MemberName &member, Incarnation incarnation) const;
};

using GatewayViewPtr = std::shared_ptr<const GatewayView>;

// Fills in what follows from the snapshot, the VM list and the verdict, as an entry in `zone`
// needs it. The account directory of the previous view is kept where the snapshot is the same.
void completeView(GatewayView &view, const ZoneName &zone, const GatewayView &previous);

// The latest view, for all workers.
class GatewayViews
{
public:
    [[nodiscard]] GatewayViewPtr current() const;
    void publish(GatewayViewPtr view);

private:
    mutable std::mutex m_mutex;
    GatewayViewPtr m_view = std::make_shared<GatewayView>();
};

} // namespace fescue::gateway
