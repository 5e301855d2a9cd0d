#pragma once

#include "fescue/core/memberinfo.h"
#include "fescue/core/result.h"
#include "fescue/peer/messages.h"

#include <string>
#include <string_view>

namespace fescue::node {

// Prefix of the keys of members in the store.
constexpr std::string_view memberKeyPrefix = "members/";

// Returns the role of a member: only entries have an address for callers.
[[nodiscard]] peer::Role roleOf(const MemberInfo &member) noexcept;

// Returns the value of a member's key: one JSON object. The HTTP address is where operators ask it
// for its status; entries serve callers there as well.
[[nodiscard]] std::string toJson(const MemberInfo &member, std::string_view httpAddress);

// Reads the value of a member's key. Fails with StoreProtocol where it is not one.
[[nodiscard]] Result<MemberInfo> parseMember(std::string_view json);

} // namespace fescue::node
