#include "admission/admissiondaemon.h"

#include "fescue/config/settings.h"
#include "fescue/observe/log.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

namespace {

using namespace fescue;

constexpr int exitUsage = 2;
constexpr long signalWaitNanoseconds = 50'000'000;
// Longest time that a shutdown waits for the store to take the keys of the endpoints back. After it
// they end with the lease.
constexpr Millis handOverLimit = 5_s;

struct Options
{
    std::string config;
    std::string portsFile;
    bool check = false;
};

// Waits for a signal to stop, for at most signalWaitNanoseconds.
bool stopSignalled(const sigset_t &signals)
{
    const timespec wait {0, signalWaitNanoseconds};
    return sigtimedwait(&signals, nullptr, &wait) > 0;
}

int serve(admission::AdmissionDaemon &daemon, const sigset_t &signals)
{
    while (!stopSignalled(signals)) { }
    observe::logChange("leaving", {{"owned", daemon.owned()}});
    daemon.leave();
    const SteadyClock clock;
    const Millis stopBy = clock.now() + handOverLimit;
    // The first wait lets the control worker take the mark in.
    do {
        static_cast<void>(stopSignalled(signals));
    } while (daemon.owned() > 0 && clock.now() < stopBy);
    observe::logChange("stopped", {{"owned", daemon.owned()}});
    return EXIT_SUCCESS;
}

bool writePorts(const std::string &path, const admission::AdmissionDaemon &daemon)
{
    if (path.empty())
        return true;
    const nlohmann::json ports = {{"listen", daemon.httpAddress().toString()},
                                  {"peer", daemon.peerAddress()}};
    std::ofstream file(path);
    file << ports.dump() << '\n';
    return file.good();
}

int run(const Options &options)
{
    const Checked<DaemonSettings> settings = loadSettings(options.config);
    if (!settings) {
        std::cerr << toString(settings.error());
        return exitUsage;
    }
    if (options.check) {
        std::cout << options.config << ": valid\n";
        return EXIT_SUCCESS;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    observe::initLog(settings->name.text(),
                     observe::parseLogLevel(settings->logLevel).value_or(observe::LogLevel::Info));
    admission::AdmissionDaemon daemon(*settings);
    const Result<void> started = daemon.start();
    if (!started) {
        std::cerr << started.error().toString() << '\n';
        return EXIT_FAILURE;
    }
    observe::logChange(
        "started", {{"listen", daemon.httpAddress().toString()}, {"peer", daemon.peerAddress()}});
    if (!writePorts(options.portsFile, daemon)) {
        std::cerr << options.portsFile << ": cannot be written\n";
        return EXIT_FAILURE;
    }
    return serve(daemon, signals);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app {"Splits what each endpoint can bear among the entries, and gives it its orders."};
    app.set_version_flag("--version", std::string {"fescue-admission " FESCUE_VERSION});
    app.add_option("--config", options.config, "settings of this daemon (INI)")->required();
    app.add_option("--ports-file", options.portsFile,
                   "writes the addresses in use to this file once listening");
    app.add_flag("--check", options.check, "checks the settings and exits");
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
