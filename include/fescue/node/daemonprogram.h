#pragma once

#include "fescue/config/settings.h"
#include "fescue/core/result.h"

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>

namespace fescue::node {

// Name and purpose of a daemon program, for its command line.
struct ProgramInfo
{
    std::string_view name;
    std::string_view description;
};

// The signals that ask a daemon to stop. SIGHUP does not: it is logged and has no effect.
class StopSignals
{
public:
    // Blocks the signals for this thread and all that it starts.
    StopSignals() noexcept;
    // Waits for a signal, for at most 50 ms. Returns true where one that asks to stop came.
    [[nodiscard]] bool wait() const;

private:
    sigset_t m_signals;
};

// The addresses of a daemon that has started.
struct ListenAddresses
{
    std::string listen;
    std::string peer;
};

// What the command line asks for: the settings to run with, or an exit code.
struct ProgramStart
{
    DaemonSettings settings;
    std::string portsFile;
};

// Reads command line and settings; handles --help, --version, --check and mistakes.
[[nodiscard]] tl::expected<ProgramStart, int> readCommandLine(const ProgramInfo &info, int argc,
                                                              char **argv);

// Logs the start and writes the file that --ports-file asks for. Returns false where it cannot.
[[nodiscard]] bool announce(const ProgramStart &start, const ListenAddresses &addresses);

// Runs a daemon from its command line to its end: constructs it from the settings, starts it, and
// hands it to serve(daemon, settings, signals), whose result is the exit code.
template <typename Daemon, typename Serve>
[[nodiscard]] int runDaemon(const ProgramInfo &info, int argc, char **argv, Serve serve)
{
    // Blocked first, so that a signal that comes while settings are read is not lost.
    const StopSignals signals;
    const tl::expected<ProgramStart, int> start = readCommandLine(info, argc, argv);
    if (!start)
        return start.error();
    Daemon daemon(start->settings);
    const Result<void> started = daemon.start();
    if (!started) {
        std::cerr << started.error().toString() << '\n';
        return EXIT_FAILURE;
    }
    if (!announce(*start, daemon.addresses()))
        return EXIT_FAILURE;
    return serve(daemon, start->settings, signals);
}

} // namespace fescue::node
