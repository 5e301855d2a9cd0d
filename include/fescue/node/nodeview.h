#pragma once

#include "fescue/core/snapshot.h"
#include "fescue/node/memberinfo.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::node {

// Whether this daemon may rely on what it knows.
enum class Freshness : std::uint8_t
{
    // The store, or a peer that vouches for it, was reached lately.
    Fresh,
    // The store is down for all: nothing can have been changed, so work goes on.
    Outage,
    // This daemon is cut off: changes may have been accepted that it does not know.
    Isolated,
};

// Returns "fresh", "outage" or "isolated".
[[nodiscard]] std::string_view toString(Freshness freshness) noexcept;

// A virtual machine as the platform last listed it.
struct VmInfo
{
    VmName name;
    ZoneName zone;
    bool leaving = false;
    bool operator==(const VmInfo &) const = default;
};

// Everything that a daemon knows about the system at one time. Never changes once published.
struct NodeView
{
    // Never null; version 0 before the first configuration.
    std::shared_ptr<const Snapshot> snapshot = std::make_shared<Snapshot>();
    // Live members, this daemon included, sorted by name.
    std::vector<MemberInfo> members;
    // Sorted by name; empty before the first answer of the platform.
    std::vector<VmInfo> vms;
    Freshness freshness = Freshness::Isolated;
    bool ready = false;
    bool leaving = false;
    // Why the daemon is not ready, for operators.
    std::string notReadyReason;

    [[nodiscard]] const MemberInfo *findMember(const MemberName &name) const noexcept;
    [[nodiscard]] const VmInfo *findVm(const VmName &name) const noexcept;
    // True where the platform says that the VM is being taken away.
    [[nodiscard]] bool isVmLeaving(const VmName &name) const noexcept;
    // The admission daemon that should own an endpoint; null where there is none. Members that are
    // leaving own nothing.
    [[nodiscard]] const MemberInfo *authorityOf(const EndpointName &endpoint) const;
};

using NodeViewPtr = std::shared_ptr<const NodeView>;

} // namespace fescue::node
