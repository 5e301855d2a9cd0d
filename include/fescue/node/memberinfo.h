#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/result.h"
#include "fescue/peer/messages.h"

#include <string>
#include <string_view>

namespace fescue::node {

// A daemon as its key in the store describes it.
struct MemberInfo
{
    MemberName name;
    peer::Role role = peer::Role::Entry;
    ZoneName zone;
    VmName vm;
    std::string httpAddress;
    std::string peerAddress;
    Incarnation incarnation;
    // True once its shutdown has begun: it gets no new work.
    bool leaving = false;
    bool operator==(const MemberInfo &) const = default;
};

// Returns the value of the member's key: one JSON object.
[[nodiscard]] std::string toJson(const MemberInfo &member);

// Reads the value of a member's key. Fails with StoreProtocol where it is not one.
[[nodiscard]] Result<MemberInfo> parseMember(std::string_view json);

} // namespace fescue::node
