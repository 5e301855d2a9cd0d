#include "fescue/observe/log.h"
#include "fescue/observe/timeline.h"
#include "fescue/serving/edgedaemon.h"
#include "platform/protocol.h"
#include "platform/settings.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <optional>
#include <unistd.h>

namespace {

using namespace fescue;
using Daemon = serving::EdgeDaemon<platform::Protocol>;

constexpr int exitUsage = 2;

// How often the settings file is looked at, since it may change without a signal.
constexpr Millis settingsPollInterval = 2_s;

// Tells when a file was written; nothing where it is not there.
std::optional<std::filesystem::file_time_type> writtenAt(const std::string &file)
{
    std::error_code ec;
    const std::filesystem::file_time_type time = std::filesystem::last_write_time(file, ec);
    return ec ? std::nullopt : std::optional(time);
}

// Handles the signals of the platform on the worker: stop, and settings that have changed.
class Signals
{
public:
    Signals(net::WorkerPool &pool, Daemon &daemon, std::string settingsFile)
        : m_pool(&pool), m_daemon(&daemon), m_settingsFile(std::move(settingsFile)),
          m_settingsTime(writtenAt(m_settingsFile)), m_set(pool.context(0), SIGTERM, SIGINT, SIGHUP)
    { }

    void start()
    {
        wait();
        m_pool->spawn(0, [this] { followSettings(); });
    }

private:
    void wait()
    {
        m_set.async_wait([this](const boost::system::error_code &ec, int signal) {
            if (!ec)
                handle(signal);
        });
    }

    void handle(int signal)
    {
        wait();
        if (signal == SIGHUP) {
            m_settingsTime = writtenAt(m_settingsFile);
            reload("signal");
        } else if (!m_stopping) {
            m_stopping = true;
            m_pool->spawn(0, [this] {
                m_daemon->drain(serving::ServingState::now());
                m_pool->stop();
            });
        }
    }

    void followSettings()
    {
        while (!m_stopping) {
            net::sleepFor(settingsPollInterval);
            const std::optional<std::filesystem::file_time_type> time = writtenAt(m_settingsFile);
            if (!time || time == m_settingsTime)
                continue;
            m_settingsTime = time;
            reload("file changed");
        }
    }

    void reload(std::string_view reason)
    {
        const Result<serving::NodeSettings> settings = platform::loadSettings(m_settingsFile);
        if (settings) {
            m_daemon->reload(*settings, reason);
            return;
        }
        observe::logChange(observe::LogLevel::Error, "reload-rejected",
                           {{"trigger", reason}, {"reason", settings.error().toString()}});
    }

    net::WorkerPool *m_pool;
    Daemon *m_daemon;
    std::string m_settingsFile;
    std::optional<std::filesystem::file_time_type> m_settingsTime;
    boost::asio::signal_set m_set;
    bool m_stopping = false;
};

int serve(const serving::NodeSettings &settings, const std::string &file)
{
    std::signal(SIGPIPE, SIG_IGN);
    const Incarnation incarnation {static_cast<std::uint64_t>(observe::wallMillisNow())};
    int exitCode = EXIT_SUCCESS;
    net::WorkerPool pool(1);
    Daemon daemon(settings, pool, incarnation);
    Signals signals(pool, daemon, file);
    pool.spawn(0, [&] {
        signals.start();
        const Result<void> started = daemon.start();
        if (started)
            return;
        std::cerr << started.error().toString() << '\n';
        exitCode = EXIT_FAILURE;
        pool.stop();
    });
    pool.join();
    observe::flushLog();
    // Connections and fibers end with the process; nothing on this machine outlives it.
    std::_Exit(exitCode);
}

} // namespace

int main(int argc, char **argv)
{
    std::string file = platform::settingsPath();
    bool check = false;
    CLI::App app {"Serves callers on the users' platform."};
    app.set_version_flag("--version", std::string("fescue-edge ") + FESCUE_VERSION);
    app.add_option("--settings", file, "settings file, in place of the platform's");
    app.add_flag("--check", check, "checks the settings and exits");
    CLI11_PARSE(app, argc, argv);
    const Result<serving::NodeSettings> settings = platform::loadSettings(file);
    if (!settings) {
        std::cerr << settings.error().toString() << '\n';
        return exitUsage;
    }
    if (check) {
        std::cout << file << ": valid\n";
        return EXIT_SUCCESS;
    }
    observe::initLog(settings->name.text(), observe::LogLevel::Info);
    return serve(*settings, file);
}
