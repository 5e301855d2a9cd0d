#include "fescue/peer/messages.h"

#include <array>

namespace fescue::peer {

namespace {

constexpr std::array<std::string_view, messageTypeCount> typeNames {
    "hello",        "heartbeat",       "version-notice", "config-request",
    "config-body",  "members-request", "members-body",   "credit-demand",
    "credit-grant", "endpoint-event",  "goodbye",
};

} // namespace

std::string_view toString(Role role) noexcept
{
    return role == Role::Entry ? "entry" : "admission";
}

std::string_view messageTypeName(std::size_t index) noexcept
{
    return index < typeNames.size() ? typeNames[index] : std::string_view {"unknown"};
}

} // namespace fescue::peer
