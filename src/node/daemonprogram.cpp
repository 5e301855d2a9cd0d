#include "fescue/node/daemonprogram.h"

#include "fescue/observe/log.h"

#include <CLI/CLI.hpp>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>

namespace fescue::node {

namespace {

constexpr int exitUsage = 2;
constexpr long signalWaitNanoseconds = 50'000'000;

} // namespace

StopSignals::StopSignals() noexcept
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    sigaddset(&m_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool StopSignals::wait() const
{
    const timespec limit {0, signalWaitNanoseconds};
    const int signal = sigtimedwait(&m_signals, nullptr, &limit);
    if (signal == SIGHUP)
        observe::logChange("hang-up-ignored", {{"reason", "settings are read once"}});
    return signal == SIGTERM || signal == SIGINT;
}

tl::expected<ProgramStart, int> readCommandLine(const ProgramInfo &info, int argc, char **argv)
{
    std::string config;
    bool check = false;
    ProgramStart start;
    CLI::App app {std::string(info.description)};
    app.set_version_flag("--version", std::string(info.name) + ' ' + FESCUE_VERSION);
    app.add_option("--config", config, "settings of this daemon (INI)")->required();
    app.add_option("--ports-file", start.portsFile,
                   "writes the addresses in use to this file once listening");
    app.add_flag("--check", check, "checks the settings and exits");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return tl::unexpected<int>(app.exit(error) == 0 ? EXIT_SUCCESS : exitUsage);
    }
    Checked<DaemonSettings> settings = loadSettings(config);
    if (!settings) {
        std::cerr << toString(settings.error());
        return tl::unexpected<int>(exitUsage);
    }
    if (check) {
        std::cout << config << ": valid\n";
        return tl::unexpected<int>(EXIT_SUCCESS);
    }
    start.settings = std::move(*settings);
    const observe::LogLevel level =
        observe::parseLogLevel(start.settings.logLevel).value_or(observe::LogLevel::Info);
    observe::initLog(start.settings.name.text(), level);
    return start;
}

bool announce(const ProgramStart &start, const ListenAddresses &addresses)
{
    observe::logChange("started", {{"listen", addresses.listen}, {"peer", addresses.peer}});
    if (start.portsFile.empty())
        return true;
    const nlohmann::json ports = {{"listen", addresses.listen}, {"peer", addresses.peer}};
    std::ofstream file(start.portsFile);
    file << ports.dump() << '\n';
    if (!file.flush().good())
        std::cerr << start.portsFile << ": cannot be written\n";
    return file.good();
}

} // namespace fescue::node
