#pragma once

#include "fescue/config/settings.h"
#include "fescue/net/endpointaddress.h"
#include "fescue/net/httpserver.h"
#include "fescue/node/nodeoptions.h"

namespace fescue::node {

[[nodiscard]] net::Address toAddress(const HostPort &hostPort);

// The bounds that the settings put on callers, as the HTTP server takes them.
[[nodiscard]] net::ServerLimits serverLimits(const LimitSettings &settings);

// What the settings of a daemon say about its control part. The addresses under which it can be
// reached are left to the caller, since they are known only once it listens.
[[nodiscard]] NodeOptions nodeOptions(const DaemonSettings &settings, peer::Role role,
                                      Incarnation incarnation);

} // namespace fescue::node
