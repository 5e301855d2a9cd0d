#pragma once

#include "fescue/net/httptypes.h"

#include <span>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace fescue::net {

// Copies header fields out of a message of the HTTP library.
[[nodiscard]] std::vector<Header> takeHeaders(const boost::beast::http::fields &fields);

// Adds header fields to a message of the HTTP library. Leaves out those that the library sets
// itself (Content-Length, Transfer-Encoding, Connection) and those that contain a line break.
void addHeaders(boost::beast::http::fields &fields, std::span<const Header> headers);

} // namespace fescue::net
