#pragma once

#include "fescue/gateway/plaincall.h"

namespace fescue::gateway {

// The request as admission sees it.
[[nodiscard]] Request admissionRequest(const GatewayParts &parts, const PlainRequest &request,
                                       RequestId id);

// Sends a call to an endpoint once and reads the whole answer. Fails with ConnectFailed only where
// no byte was sent.
[[nodiscard]] Result<net::HttpResponse> exchange(GatewayParts &parts, const PlainRequest &request,
                                                 const EndpointName &endpoint);

// Digest of what a call asks for: method, path, query and body.
[[nodiscard]] std::string requestDigest(const PlainRequest &request);

// A random text that no other call has.
[[nodiscard]] std::string newNonce();

} // namespace fescue::gateway
