#include "fescue/config/hostport.h"

#include <arpa/inet.h>
#include <charconv>

namespace fescue {

namespace {

bool isIp(int family, const std::string &ip) noexcept
{
    in6_addr address = {};
    return inet_pton(family, ip.c_str(), &address) == 1;
}

bool readPort(std::string_view text, std::uint16_t &port) noexcept
{
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), port);
    return read.ec == std::errc {} && read.ptr == text.data() + text.size();
}

} // namespace

std::string HostPort::toString() const
{
    const bool v6 = ip.find(':') != std::string::npos;
    return (v6 ? '[' + ip + ']' : ip) + ':' + std::to_string(port);
}

Result<HostPort> parseHostPort(std::string_view text)
{
    const std::string shown = '"' + std::string(text) + '"';
    const std::size_t colon = text.rfind(':');
    HostPort address;
    if (colon == std::string_view::npos || !readPort(text.substr(colon + 1), address.port))
        return fail(ResultCode::ConfigBadValue,
                    shown + " is not an address; write IP:PORT, as in 10.0.0.1:7000");
    std::string_view host = text.substr(0, colon);
    const bool v6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (v6)
        host = host.substr(1, host.size() - 2);
    address.ip = host;
    const bool terminated = host.find('\0') == std::string_view::npos;
    if (!terminated || !isIp(v6 ? AF_INET6 : AF_INET, address.ip))
        return fail(ResultCode::ConfigBadValue,
                    shown + " does not start with an IP number; names are not resolved");
    return address;
}

} // namespace fescue
