#pragma once

#include "fescue/emulator/enginemodel.h"
#include "tests/standins/standin.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace fescue::standins {

struct EngineStandInOptions
{
    emulator::EngineSettings engine;
    bool checksFencing = false;
    // The length of an output is drawn from this range by the hash of the prompt, unless the
    // prompt says "#out=N".
    std::uint32_t minOutput = 16;
    std::uint32_t maxOutput = 64;
};

// Text of a token: it names the prompt and the index, so that a whole answer can be checked.
[[nodiscard]] std::string tokenText(std::string_view prompt, std::uint32_t index);
// Number of tokens that the engine generates for a prompt.
[[nodiscard]] std::uint32_t outputLength(const EngineStandInOptions &options,
                                         std::string_view prompt, std::uint32_t maxTokens);

// A model engine behind its HTTP protocol, with switches for its faults. Runs on one worker.
// Stream numbers count from 1 again in each incarnation.
class EngineStandIn
{
public:
    explicit EngineStandIn(const EngineStandInOptions &options);

    // Runs the engine's steps; ends with the worker pool.
    void run();
    void handle(const net::HttpRequest &request, net::ResponseWriter &writer);

private:
    struct Stream
    {
        std::string prompt;
        std::uint32_t requests = 0;
    };

    void runSteps();
    // Time of the engine, which stands still while it is stalled.
    [[nodiscard]] Millis engineNow() const;
    // Advances the engine and wakes the fibers that wait for its tokens.
    void advance();
    void noteColdLoad();
    void complete(const net::HttpRequest &request, net::ResponseWriter &writer);
    void handleStream(const net::HttpRequest &request, net::ResponseWriter &writer);
    void writeTokens(emulator::StreamId id, std::uint32_t from, net::ResponseWriter &writer);
    // Waits until the stream has more tokens than given, has ended, or is gone.
    [[nodiscard]] emulator::StreamStatus awaitTokens(emulator::StreamId id, std::uint32_t have,
                                                     Incarnation incarnation);
    [[nodiscard]] bool isSilenced(const net::ResponseWriter &writer) const noexcept;
    void order(const net::HttpRequest &request, net::ResponseWriter &writer);
    void control(const net::HttpRequest &request, net::ResponseWriter &writer);
    [[nodiscard]] Json load() const;
    [[nodiscard]] Json cacheEvents(std::uint64_t after) const;
    [[nodiscard]] Json stats() const;

    EngineStandInOptions m_options;
    emulator::EngineModel m_engine;
    std::map<emulator::StreamId, Stream> m_streams;
    std::uint64_t m_lastStream = 0;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_stopped = false;

    Millis m_silentSince {-1};
    Millis m_stalledSince {-1};
    Millis m_stalledTotal {0};

    std::uint64_t m_fence = 0;
    Json m_orders = Json::array();
    std::uint64_t m_started = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_overloads = 0;
    std::uint64_t m_cancelled = 0;
    std::uint32_t m_maxLoadCold = 0;
    std::uint32_t m_maxRunning = 0;
};

} // namespace fescue::standins
