#pragma once

#include "fescue/net/httpserver.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace fescue::test {

// An engine on a loopback port whose answers a test scripts. It records the requests it gets.
class ScriptedEngine
{
public:
    using Script = std::function<void(const net::HttpRequest &, net::ResponseWriter &)>;

    ScriptedEngine(net::WorkerPool &pool, Script script)
        : m_script(std::move(script)),
          m_server(pool, {"127.0.0.1", 0}, {},
                   [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                       record(request.method + ' ' + request.target + '?' + request.query);
                       m_script(request, writer);
                   })
    {
        if (!m_server.start())
            std::abort();
    }

    [[nodiscard]] std::string address() const { return m_server.address().toString(); }
    [[nodiscard]] std::vector<std::string> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    // Sends the head of a stream.
    static void sendHead(net::ResponseWriter &writer, const std::string &incarnation = "7")
    {
        const std::vector<net::Header> headers = {{"Content-Type", "text/event-stream"},
                                                  {"X-Incarnation", incarnation},
                                                  {"X-Stream-Id", "s1"}};
        static_cast<void>(writer.startStream(200, headers));
    }

    // Sends tokens [from, to).
    static void sendTokens(net::ResponseWriter &writer, int from, int to)
    {
        for (int n = from; n < to; ++n) {
            const std::string text = "t" + std::to_string(n);
            static_cast<void>(writer.write("id: " + std::to_string(n)
                                           + "\ndata: {\"choices\":[{\"text\":\"" + text
                                           + "\",\"index\":0}]}\n\n"));
        }
    }

    static void sendEnd(net::ResponseWriter &writer)
    {
        static_cast<void>(writer.write("data: [DONE]\n\n"));
        static_cast<void>(writer.finish());
    }

private:
    void record(std::string request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(std::move(request));
    }

    Script m_script;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    net::HttpServer m_server;
};

} // namespace fescue::test
