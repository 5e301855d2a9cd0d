#include "net/httpmessage.h"

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

} // namespace fescue::net
