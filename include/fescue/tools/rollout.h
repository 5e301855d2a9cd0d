#pragma once

#include "fescue/config/hostport.h"
#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/result.h"
#include "fescue/tools/blockingstore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::tools {

constexpr std::string_view membersPrefix = "members/";
// An accepted configuration is in force everywhere within this time.
constexpr Millis rolloutLimit = 3_s;

// A daemon as its key in the store describes it.
struct MemberAddress
{
    MemberName name;
    HostPort http;
    // Why the address is not known; empty where it is.
    std::string problem;
};

// What one daemon says about itself, or why it did not.
struct MemberStatus
{
    MemberName name;
    HostPort http;
    std::string role;
    std::optional<ConfigVersion> version;
    // Empty where the daemon answered.
    std::string problem;

    [[nodiscard]] bool hasAtLeast(ConfigVersion wanted) const noexcept
    {
        return version && *version >= wanted;
    }
};

// Reads the value of a member's key.
[[nodiscard]] Result<MemberAddress> parseMemberAddress(std::string_view name,
                                                       std::string_view json);

// Reads the answer to GET /status.
[[nodiscard]] MemberStatus parseMemberStatus(const MemberAddress &member, std::string_view json);

// Returns the daemons that are registered in the store, those with an unreadable address included.
[[nodiscard]] Result<std::vector<MemberAddress>> readMembers(BlockingStore &store);

// Asks every daemon for its version, several at a time, in the order given.
[[nodiscard]] std::vector<MemberStatus> askMembers(const std::vector<MemberAddress> &members,
                                                   Millis timeout);

// Asks the daemons until all of them have the version in force, at most for the given time. The
// list of daemons is read anew each time, so that one that has left is not waited for.
[[nodiscard]] Result<std::vector<MemberStatus>> awaitVersion(BlockingStore &store,
                                                             ConfigVersion version, Millis limit);

} // namespace fescue::tools
