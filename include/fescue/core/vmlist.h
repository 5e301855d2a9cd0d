#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace fescue {

enum class VmState : std::uint8_t
{
    Live,
    Leaving,
    // The list has shown the VM before and no longer does.
    Removed,
    // The list has not shown the VM yet; it lags.
    NotListed,
};

// One line of the platform's list.
struct VmListItem
{
    VmName vm;
    ZoneName zone;
    bool leaving = false;
    bool operator==(const VmListItem &) const = default;
};

// The platform's list of VMs. It lags, and may be answered from an older state.
class VmList
{
public:
    // Takes over a list. False where a list of a greater revision has been taken over before.
    bool apply(Millis now, std::uint64_t revision, std::span<const VmListItem> items);

    [[nodiscard]] VmState state(const VmName &vm) const;

    // Time since a list was last taken over; empty where none was.
    [[nodiscard]] std::optional<Millis> age(Millis now) const noexcept;

    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    // VMs that the list shows now, leaving ones included.
    [[nodiscard]] std::size_t size() const noexcept { return m_listed; }

private:
    std::uint64_t m_revision = 0;
    std::optional<Millis> m_appliedAt;
    std::map<VmName, VmState> m_states;
    std::size_t m_listed = 0;
};

} // namespace fescue
