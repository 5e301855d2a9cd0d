// Stand-in for a plain service.
#include "tests/standins/standin.h"

#include <algorithm>
#include <chrono>

namespace fescue::standins {

namespace {

// Counts how often the work of each idempotency key ran.
class ServiceStandIn
{
public:
    explicit ServiceStandIn(Millis delay) : m_delay(delay) { }

    void handle(const net::HttpRequest &request, net::ResponseWriter &writer)
    {
        if (request.target == "/control")
            control(request, writer);
        else if (request.target == "/control/counts")
            sendJson(writer, {{"counts", m_counts}, {"total", m_total}, {"max_running", m_max}});
        else if (request.target == "/v1/load")
            sendJson(writer,
                     {{"incarnation", m_incarnation}, {"running", m_running}, {"cold", m_cold}});
        else
            run(request, writer);
    }

private:
    void control(const net::HttpRequest &request, net::ResponseWriter &writer)
    {
        const Json json = Json::parse(request.body);
        m_delay = {json.value("delay_ms", m_delay.count)};
        m_loseAnswers = json.value("lose_answer_next", m_loseAnswers);
        m_hangs = json.value("hang_next", m_hangs);
        m_cold = json.value("cold", m_cold);
        if (json.value("restart", false))
            ++m_incarnation;
        sendJson(writer, Json::object());
    }

    void run(const net::HttpRequest &request, net::ResponseWriter &writer)
    {
        const std::string key(request.header("Idempotency-Key"));
        const std::uint64_t run = ++m_counts[key];
        ++m_total;
        m_max = std::max(m_max, ++m_running);
        const bool hangs = std::exchange(m_hangs, m_hangs - std::min(m_hangs, 1U)) > 0;
        const bool loses =
            std::exchange(m_loseAnswers, m_loseAnswers - std::min(m_loseAnswers, 1U)) > 0;
        if (m_delay > 0_ms)
            net::sleepFor(m_delay);
        --m_running;
        if (hangs)
            hang(writer);
        else if (loses)
            writer.abort();
        else
            sendJson(writer,
                     {{"path", request.target},
                      {"key", key},
                      {"run", run},
                      {"request_id", std::string(request.header("X-Request-Id"))}});
    }

    Millis m_delay;
    std::uint32_t m_loseAnswers = 0;
    std::uint32_t m_hangs = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_max = 0;
    std::uint64_t m_total = 0;
    bool m_cold = false;
    std::int64_t m_incarnation =
        std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace

} // namespace fescue::standins

int main(int argc, char **argv)
{
    fescue::standins::StandInOptions options;
    std::int64_t delayMs = 0;
    CLI::App app("Stand-in for a plain service, see docs/PROTOCOLS.md", "fescue-standin-service");
    options.addTo(app);
    app.add_option("--delay-ms", delayMs, "time that each call takes");
    CLI11_PARSE(app, argc, argv);
    fescue::standins::ServiceStandIn service(fescue::Millis {delayMs});
    return fescue::standins::serve(
        options,
        [&service](const fescue::net::HttpRequest &request, fescue::net::ResponseWriter &writer) {
            service.handle(request, writer);
        });
}
