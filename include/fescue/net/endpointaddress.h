#pragma once

#include "fescue/core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescue::net {

// An IP number and a TCP port. Port 0 asks for any free port when listening.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;

    // Returns "ip:port", with brackets around an IPv6 number.
    [[nodiscard]] std::string toString() const;
};

// Reads "ip:port" or "[ipv6]:port". Host names are refused with SettingsInvalid.
[[nodiscard]] Result<Address> parseAddress(std::string_view text);

} // namespace fescue::net
