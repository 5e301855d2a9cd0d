#include "net/httpmessage.h"

#include <iterator>

#include <boost/beast/core/string.hpp>

namespace fescue::net {

namespace http = boost::beast::http;

namespace {

bool isSafe(std::string_view text) noexcept
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool isSetByLibrary(http::field field) noexcept
{
    return field == http::field::content_length || field == http::field::transfer_encoding
        || field == http::field::connection;
}

} // namespace

std::vector<Header> takeHeaders(const http::fields &fields)
{
    std::vector<Header> headers;
    headers.reserve(static_cast<std::size_t>(std::distance(fields.begin(), fields.end())));
    for (const http::fields::value_type &field : fields)
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return headers;
}

void addHeaders(http::fields &fields, std::span<const Header> headers)
{
    for (const Header &header : headers) {
        const bool isValid = !header.name.empty() && isSafe(header.name) && isSafe(header.value);
        if (isValid && !isSetByLibrary(http::string_to_field(header.name)))
            fields.insert(header.name, header.value);
    }
}

std::string_view findCodingFault(const http::fields &fields, unsigned version)
{
    constexpr unsigned http11 = 11;
    const std::size_t codings = fields.count(http::field::transfer_encoding);
    if (codings == 0)
        return {};
    if (version < http11)
        return "HTTP/1.0 has no transfer coding";
    const bool isChunked =
        codings == 1 && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
    if (!isChunked)
        return "the transfer coding is not chunked";
    return fields.count(http::field::content_length) > 0 ? "a length stands beside chunks"
                                                         : std::string_view();
}

std::string_view findRequestFault(const http::fields &fields, unsigned version)
{
    if (const std::string_view fault = findCodingFault(fields, version); !fault.empty())
        return fault;
    if (fields.count(http::field::content_length) > 1)
        return "the length stands more than once";
    return fields.count(http::field::host) > 1 ? "the host stands more than once"
                                               : std::string_view();
}

} // namespace fescue::net
