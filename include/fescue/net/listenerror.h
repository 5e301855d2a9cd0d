#pragma once

#include "fescue/core/result.h"
#include "fescue/net/endpointaddress.h"

#include <system_error>

namespace fescue::net {

// Returns the error of a socket that could not be bound to an address. Codes: AddressInUse,
// AddressUnavailable with the system's error number.
[[nodiscard]] Error listenError(const Address &address, const std::error_code &reason);

} // namespace fescue::net
