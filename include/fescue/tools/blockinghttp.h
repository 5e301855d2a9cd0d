#pragma once

#include "fescue/config/hostport.h"
#include "fescue/core/clock.h"
#include "fescue/core/result.h"

#include <string>
#include <string_view>

namespace fescue::tools {

// One request of a one-shot program.
struct HttpCall
{
    std::string_view method = "GET";
    std::string target = "/";
    std::string body;
    // Value of If-Match; empty: none.
    std::string ifMatch;
    // Value of If-None-Match; empty: none.
    std::string ifNoneMatch;
};

struct HttpReply
{
    int status = 0;
    std::string body;
};

// Sends one request on a connection of its own and waits for the whole answer, at most for the
// given time. Errors: ConnectFailed (nothing was sent), LinkSilent (no answer in time), LinkClosed
// and MessageMalformed; with the last three the request may have taken effect.
[[nodiscard]] Result<HttpReply> callHttp(const HostPort &address, const HttpCall &call,
                                         Millis timeout);

} // namespace fescue::tools
