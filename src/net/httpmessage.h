#pragma once

#include "fescue/net/httptypes.h"

#include <span>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace fescue::net {

// Copies header fields out of a message of the HTTP library.
[[nodiscard]] std::vector<Header> takeHeaders(const boost::beast::http::fields &fields);

// Adds header fields to a message of the HTTP library. Leaves out those that the library sets
// itself (Content-Length, Transfer-Encoding, Connection) and those that contain a line break.
void addHeaders(boost::beast::http::fields &fields, std::span<const Header> headers);

// Returns why the length of a message's body cannot be told from its transfer coding, or an empty
// text. Only chunks are decoded, and HTTP/1.0 has no transfer codings. Boost.Beast reads a message
// with another coding as one without a body, or up to the end of the connection.
[[nodiscard]] std::string_view findCodingFault(const boost::beast::http::fields &fields,
                                               unsigned version);
// The same for a request, whose fields for the length and the host may also stand only once.
[[nodiscard]] std::string_view findRequestFault(const boost::beast::http::fields &fields,
                                                unsigned version);

} // namespace fescue::net
