#include "edgeprogram.h"
#include "fescue/observe/log.h"
#include "fescue/observe/uncaughtexceptions.h"
#include "platform/settings.h"
#include "signalinbox.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

using namespace fescue;

constexpr int exitUsage = 2;
// Blocks of at least this size are given back to the system when they are freed.
constexpr int largeBlockBytes = 256 * 1024;
// Free memory that the process keeps at the end of its heap.
constexpr int keptFreeBytes = 1024 * 1024;
// Name in the log until the settings tell the one of this VM.
constexpr std::string_view programName = "fescue-edge";

int check(const std::string &file)
{
    const Result<serving::NodeSettings> settings = platform::loadSettings(file);
    if (!settings) {
        std::cerr << settings.error().toString() << '\n';
        return exitUsage;
    }
    std::cout << file << ": valid\n";
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    std::string file = platform::settingsPath();
    bool checkOnly = false;
    CLI::App app {"Serves callers on the users' platform."};
    app.set_version_flag("--version", std::string("fescue-edge ") + FESCUE_VERSION);
    app.add_option("--settings", file, "settings file, in place of the platform's");
    app.add_flag("--check", checkOnly, "checks the settings and exits");
    CLI11_PARSE(app, argc, argv);
    if (checkOnly) {
        SignalInbox::restoreDefaults();
        return check(file);
    }
    // Left to itself, the allocator keeps large blocks once one of them was freed.
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
    std::signal(SIGPIPE, SIG_IGN);
    observe::logUncaughtExceptions();
    {
        const SignalBlock block;
        observe::initLog(programName, observe::LogLevel::Info);
    }
    EdgeProgram program(file);
    // Connections and fibers end with the process; nothing on this machine outlives it.
    std::_Exit(program.run());
}
