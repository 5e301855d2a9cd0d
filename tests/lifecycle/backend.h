#pragma once

#include "fescue/net.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace fescue::test {

// What a back end did for one call.
struct BackEndRun
{
    Millis begunAt {0};
    std::optional<Millis> endedAt;
};

// A plain service that works on each request for a drawn time and records what reaches it. Its
// handler runs on the first worker of the pool; the records may be read from any thread.
class BackEnd
{
public:
    BackEnd(net::WorkerPool &pool, std::string id);

    void setWork(Millis shortest, Millis longest);
    void setAnswerBytes(std::size_t n) { m_answerBytes = n; }
    [[nodiscard]] net::Address address() const { return m_server.address(); }
    [[nodiscard]] const std::string &id() const noexcept { return m_id; }
    // Returns what was done for a call; nothing if it has not arrived.
    [[nodiscard]] std::optional<BackEndRun> runOf(const std::string &callId) const;

private:
    void handle(const net::HttpRequest &request, net::ResponseWriter &writer);
    [[nodiscard]] Millis drawWork();

    std::string m_id;
    std::atomic<std::int64_t> m_shortestWork {15};
    std::atomic<std::int64_t> m_longestWork {15};
    std::atomic<std::size_t> m_answerBytes {800};
    std::mt19937_64 m_random {1};
    // Guards m_runs.
    mutable std::mutex m_mutex;
    std::map<std::string, BackEndRun> m_runs;
    net::HttpServer m_server;
};

} // namespace fescue::test
