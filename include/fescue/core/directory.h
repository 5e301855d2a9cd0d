#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"
#include "fescue/core/snapshot.h"
#include "fescue/core/vmlist.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace fescue {

// One address of a directory answer.
struct DirectoryEntry
{
    MemberName entry;
    ZoneName zone;
    std::string address;
    bool operator==(const DirectoryEntry &) const = default;
};

// What callers ask the directory for.
struct DirectoryQuery
{
    AccountName account;
    ServiceName service;
};

// Most addresses that one answer holds.
inline constexpr std::size_t maxDirectoryEntries = 4;

// Returns the entries that a caller should connect to, best first. Callers of one account and
// service meet at the same entry while it lives; the second address lies in another zone where one
// can be had. Entries in zones and VMs out of service, on leaving VMs, and leaving entries are
// never named. Suspect entries come last, and only where fewer than two others live.
[[nodiscard]] std::vector<DirectoryEntry> answerDirectory(const DirectoryQuery &query,
                                                          std::span<const MemberView> members,
                                                          const Snapshot &snapshot,
                                                          const VmList &vms);

} // namespace fescue
