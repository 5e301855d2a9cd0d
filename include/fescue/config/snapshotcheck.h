#pragma once

#include "fescue/core/resultcode.h"
#include "fescue/core/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescue {

// Kinds of items in a snapshot, in the words of the service files.
enum class ItemKind : std::uint8_t
{
    Zone,
    Vm,
    Service,
    Call,
    Endpoint,
    Account,
    System,
};

// Returns the section kind of the service files, for example "endpoint".
[[nodiscard]] std::string_view toString(ItemKind kind) noexcept;

// One thing that is wrong with an item of a snapshot. The name of a call is "SERVICE /path", that
// of the system settings is empty. The key is the one in the service files.
struct Fault
{
    ItemKind kind = ItemKind::System;
    std::string name;
    std::string key;
    std::string message;
    ResultCode code = ResultCode::ConfigBadValue;

    // Returns ‘[kind name] key: message’.
    [[nodiscard]] std::string toString() const;
};

// Shortest secret for event ids.
constexpr std::size_t minSecretBytes = 16;
constexpr std::size_t keyHashBytes = 32;
// A name of a service and a path fit in one section title of a service file.
constexpr std::size_t maxPathBytes = 256;

// Checks the values of each item and the references between them, and that all names are unique
// and sorted.
[[nodiscard]] std::vector<Fault> checkSnapshot(const Snapshot &snapshot);

// Puts zones, VMs, services, calls, endpoints and accounts into the order that look-ups need.
void sortSnapshot(Snapshot &snapshot);

} // namespace fescue
