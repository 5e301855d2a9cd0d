#include "entrydaemon.h"

#include "fescue/config/settings.h"
#include "fescue/core/drain.h"
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

// Runs until the shutdown that a signal starts has finished. Returns the exit code.
int serve(entry::EntryDaemon &daemon, const DaemonSettings &settings, const sigset_t &signals)
{
    const SteadyClock clock;
    DrainMachine drain(daemon.directoryTtl());
    Millis stopBy {0};
    for (;;) {
        const bool signalled = stopSignalled(signals);
        drain.raiseDirectoryTtl(daemon.directoryTtl());
        const Millis now = clock.now();
        if (daemon.leftDirectory())
            drain.withdrawalConfirmed(now);
        if (signalled && stopBy == Millis {0})
            stopBy = now + settings.drainGrace;
        DrainStep step = signalled ? drain.stop(now) : drain.tick(now, daemon.open());
        if (step == DrainStep::LeaveDirectory) {
            observe::logChange("leaving");
            daemon.leaveDirectory();
        } else if (step == DrainStep::RefuseNew) {
            observe::logChange("refusing-new", {{"open", daemon.open()}});
            daemon.refuseNew();
        } else if (step == DrainStep::ReportOpen) {
            observe::logChange("still-open", {{"open", daemon.open()}});
        } else if (step == DrainStep::Exit) {
            observe::logChange("stopped");
            return EXIT_SUCCESS;
        }
        if (stopBy > Millis {0} && now >= stopBy) {
            observe::logChange(observe::LogLevel::Error, "drain-grace-over",
                               {{"open", daemon.open()}});
            return EXIT_FAILURE;
        }
    }
}

bool writePorts(const std::string &path, const entry::EntryDaemon &daemon)
{
    if (path.empty())
        return true;
    const nlohmann::json ports = {{"listen", daemon.callerAddress().toString()},
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
    entry::EntryDaemon daemon(*settings);
    const Result<void> started = daemon.start();
    if (!started) {
        std::cerr << started.error().toString() << '\n';
        return EXIT_FAILURE;
    }
    observe::logChange(
        "started", {{"listen", daemon.callerAddress().toString()}, {"peer", daemon.peerAddress()}});
    if (!writePorts(options.portsFile, daemon)) {
        std::cerr << options.portsFile << ": cannot be written\n";
        return EXIT_FAILURE;
    }
    return serve(daemon, *settings, signals);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app {"Serves callers: directory, generations, and calls to plain services."};
    app.set_version_flag("--version", std::string {"fescue-entry " FESCUE_VERSION});
    app.add_option("--config", options.config, "settings of this daemon (INI)")->required();
    app.add_option("--ports-file", options.portsFile,
                   "writes the addresses in use to this file once listening");
    app.add_flag("--check", options.check, "checks the settings and exits");
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
