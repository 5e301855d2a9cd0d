#include "fescue/net/endpointaddress.h"

#include <charconv>
#include <system_error>

#include <boost/asio/ip/address.hpp>

namespace fescue::net {

namespace {

// Maximum length of an address, an IPv6 one with its port, that an error quotes.
constexpr std::size_t maxQuotedBytes = 64;

tl::unexpected<Error> badAddress(std::string_view text)
{
    return fail(ResultCode::SettingsInvalid,
                "\"" + std::string(text.substr(0, maxQuotedBytes))
                    + "\" is not an IP number and a port, like 127.0.0.1:80");
}

} // namespace

std::string Address::toString() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + ip + "]" : ip;
    return host + ":" + std::to_string(port);
}

Result<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return badAddress(text);
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    Address address;
    const std::from_chars_result read =
        std::from_chars(portText.data(), portText.data() + portText.size(), address.port);
    if (read.ec != std::errc {} || read.ptr != portText.data() + portText.size())
        return badAddress(text);
    boost::system::error_code ec;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(std::string(host), ec);
    if (ec || ip.is_v6() != bracketed)
        return badAddress(text);
    address.ip = ip.to_string();
    return address;
}

} // namespace fescue::net
