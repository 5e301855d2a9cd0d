#pragma once

#include "fescue/net/workerpool.h"
#include "fescue/serving/edgedaemon.h"
#include "fescue/serving/startdecision.h"
#include "platform/protocol.h"
#include "settingssource.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace fescue {

// One entry process from its start to its end: waits for what its start lacks, serves, follows its
// settings and signals, and stops. Everything but run() runs on the one worker.
class EdgeProgram
{
public:
    explicit EdgeProgram(std::string settingsFile);

    // Serves until a signal or an error ends the process. Returns its exit status.
    [[nodiscard]] int run();

private:
    using Daemon = serving::EdgeDaemon<platform::Protocol>;

    enum class Phase : std::uint8_t
    {
        Start,
        Serving,
        Stop,
    };

    [[nodiscard]] static std::string_view toString(Phase phase) noexcept;

    void start();
    // Does what is left of the start. Fails if something is missing.
    [[nodiscard]] Result<void> tryStart();
    // Reads the settings where that is due. Fails if there are none yet.
    [[nodiscard]] Result<void> readSettings();
    void replaceDaemon(const serving::NodeSettings &settings);
    void logStarting(std::string_view waitsFor);
    void waitAfter(const Error &error);
    void endAfter(Error error);

    void awaitSignal();
    void handleSignals();
    void handleStop(std::string_view signal, Millis cameAt);
    void handleChangedSettings();
    void followSettings();
    void reload(std::string_view trigger);
    void rejectSettings(std::string_view trigger, const Error &error);
    void end(int status, std::string_view reason);

    SettingsSource m_source;
    Phase m_phase = Phase::Start;
    int m_status = 0;
    Incarnation m_incarnation;
    std::optional<serving::NodeSettings> m_settings;
    bool m_startingLogged = false;
    serving::RetryPace m_startPace;
    serving::RetryPace m_rejectedPace;
    // Waits of the start, by what was missing.
    std::map<std::string, std::uint64_t> m_startWaits;
    // When the first signal to stop came.
    std::optional<Millis> m_stopCameAt;
    bool m_lateStopLogged = false;
    bool m_lateChangeLogged = false;
    boost::fibers::mutex m_wakeMutex;
    boost::fibers::condition_variable m_wake;
    net::WorkerPool m_pool;
    boost::asio::posix::stream_descriptor m_signals;
    std::array<char, 64> m_signalBytes {};
    std::unique_ptr<Daemon> m_daemon;
    // Daemons whose settings changed before they had started. Fibers of their connections may still
    // refer to them.
    std::vector<std::unique_ptr<Daemon>> m_replaced;
};

} // namespace fescue
