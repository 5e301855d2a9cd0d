#pragma once

#include "tests/net/nettest.h"
#include "tests/net/rawengine.h"

#include <string>

namespace fescue::net {

// Sends a request to a server that writes these bytes and closes the connection in order; returns
// what the client makes of them.
inline Result<HttpResponse> readRawAnswer(const std::string &bytes,
                                          const std::string &method = "GET")
{
    test::RawEngine server([&bytes](std::string_view, const test::RawEngine::Write &write) {
        write(bytes);
        return false;
    });
    WorkerPool pool(1);
    Result<HttpResponse> response = fail(ResultCode::Internal, "not run");
    {
        HttpClient client;
        HttpRequest request;
        request.method = method;
        runOn(pool, 0, [&] { response = client.request(server.address(), request, 5_s); });
    }
    pool.stop();
    pool.join();
    return response;
}

} // namespace fescue::net
