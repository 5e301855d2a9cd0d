#pragma once

#include "fescue/config/servicefile.h"

#include <span>
#include <string>
#include <vector>

namespace fescue {

// The text of one service file.
struct ServiceFileText
{
    std::string name;
    std::string text;
};

// What all service files declare together. The states of zones and VMs are in the snapshot where
// the files name them, and belong to the published snapshot otherwise.
struct Declaration
{
    Snapshot snapshot;
    std::vector<ZoneName> zonesWithState;
    std::vector<VmName> vmsWithState;
};

// Collects the files into one declaration, or returns every error of every file. An item belongs
// to exactly one file. The version of the snapshot is 0.
[[nodiscard]] Checked<Declaration> collectDeclaration(std::span<const ServiceFileText> files);

// Returns the snapshot to publish on top of the current one: its version is the next, and zones
// and VMs that the files say nothing about stay in or out of service as they are. A VM that is
// out stays so even where no endpoint names it any more.
[[nodiscard]] Snapshot nextSnapshot(const Declaration &declaration, const Snapshot &current);

// Whether a zone or a VM takes new work.
enum class ServiceState : std::uint8_t
{
    In,
    Out,
};

// Returns the next version of a snapshot with the state of one zone changed; fails where the
// snapshot does not have the zone.
[[nodiscard]] Result<Snapshot> withZoneState(const Snapshot &current, const ZoneName &zone,
                                             ServiceState state);

// The same for a VM. VMs are not declared one by one: any name is accepted, so that a VM can be
// taken out before its first endpoint is published.
[[nodiscard]] Result<Snapshot> withVmState(const Snapshot &current, const VmName &vm,
                                           ServiceState state);

} // namespace fescue
