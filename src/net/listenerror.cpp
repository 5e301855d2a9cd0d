#include "fescue/net/listenerror.h"

namespace fescue::net {

Error listenError(const Address &address, const std::error_code &reason)
{
    Error error;
    error.systemError = reason.value();
    if (reason == std::errc::address_in_use) {
        error.code = ResultCode::AddressInUse;
        error.message =
            "another process listens on " + address.toString() + "; stop it or choose another port";
        return error;
    }
    error.code = ResultCode::AddressUnavailable;
    error.message = "cannot listen on " + address.toString() + ": " + reason.message();
    return error;
}

} // namespace fescue::net
