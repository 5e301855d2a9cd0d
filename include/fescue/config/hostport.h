#pragma once

#include "fescue/core/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fescue {

// An IP number and a TCP port. Port 0 asks the operating system for a free one when listening.
struct HostPort
{
    std::string ip;
    std::uint16_t port = 0;
    bool operator==(const HostPort &) const = default;

    // Returns "ip:port", with brackets around an IPv6 number.
    [[nodiscard]] std::string toString() const;
};

// Reads "10.0.0.1:80" or "[fd00::1]:80". Names are refused: addresses are IP numbers everywhere.
[[nodiscard]] Result<HostPort> parseHostPort(std::string_view text);

} // namespace fescue
