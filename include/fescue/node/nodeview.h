#pragma once

#include "fescue/core/freshness.h"
#include "fescue/core/memberinfo.h"
#include "fescue/core/snapshot.h"
#include "fescue/core/vmlist.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::node {

// Returns "fresh", "outage" or "isolated".
[[nodiscard]] std::string_view toString(FreshnessVerdict verdict) noexcept;

// Everything that a daemon knows about the system at one time. Never changes once published.
struct NodeView
{
    // Never null; version 0 before the first configuration.
    std::shared_ptr<const Snapshot> snapshot = std::make_shared<Snapshot>();
    // Members that are not gone, this daemon included, sorted by name.
    std::vector<MemberView> members;
    VmList vms;
    FreshnessVerdict freshness = FreshnessVerdict::Isolated;
    // True once a configuration is in force that this daemon may start with. Stays true.
    bool ready = false;
    // True once this daemon's own shutdown has begun.
    bool leaving = false;

    [[nodiscard]] const MemberInfo *findMember(const MemberName &name) const noexcept;
    // The admission daemon that should own an endpoint; null where there is none. Members that are
    // leaving own nothing.
    [[nodiscard]] const MemberInfo *authorityOf(const EndpointName &endpoint) const;
};

using NodeViewPtr = std::shared_ptr<const NodeView>;

} // namespace fescue::node
