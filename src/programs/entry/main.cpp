#include "entrydaemon.h"

#include "fescue/core/drain.h"
#include "fescue/node/daemonprogram.h"
#include "fescue/observe/log.h"

#include <cstdlib>
#include <optional>

namespace {

using namespace fescue;

// Carries out one step of the shutdown. Returns the exit code where it is the last.
std::optional<int> perform(DrainStep step, const DrainMachine &drain, entry::EntryDaemon &daemon)
{
    switch (step) {
    case DrainStep::None:
        break;
    case DrainStep::LeaveDirectory:
        observe::logChange("leaving");
        daemon.leaveDirectory(drain.lastCallEnd());
        break;
    case DrainStep::RefuseNew:
        observe::logChange("refusing-new", {{"open", daemon.open()}});
        daemon.refuseNew();
        break;
    case DrainStep::ReportOpen:
        observe::logChange("still-open", {{"open", daemon.open()}});
        break;
    case DrainStep::CloseConnections:
        daemon.closeConnections();
        break;
    case DrainStep::RefuseAll:
        observe::logChange(observe::LogLevel::Warning, "refusing-all", {{"open", daemon.open()}});
        daemon.refuseNew();
        daemon.refuseWaiting();
        daemon.closeConnections();
        break;
    case DrainStep::Exit:
        observe::logChange("stopped");
        return EXIT_SUCCESS;
    case DrainStep::GiveUp:
        observe::logChange(observe::LogLevel::Error, "drain-grace-over", {{"open", daemon.open()}});
        return EXIT_FAILURE;
    }
    return std::nullopt;
}

// Runs until the shutdown that a signal starts has finished. Returns the exit code.
int serve(entry::EntryDaemon &daemon, const DaemonSettings &settings,
          const node::StopSignals &signals)
{
    const SteadyClock clock;
    DrainLimits limits;
    limits.grace = settings.drainGrace;
    DrainMachine drain(daemon.directoryTtl(), limits);
    for (;;) {
        const bool signalled = signals.wait();
        const Millis now = clock.now();
        drain.raiseDirectoryTtl(daemon.directoryTtl());
        if (daemon.leftDirectory())
            drain.withdrawalConfirmed(now);
        // Asked for before open(): a request that ends its connection in between is still counted.
        if (daemon.connectionsClosed())
            drain.connectionsClosed();
        const DrainStep step = signalled ? drain.stop(now) : drain.tick(now, daemon.open());
        const std::optional<int> exitCode = perform(step, drain, daemon);
        if (exitCode)
            return *exitCode;
    }
}

} // namespace

int main(int argc, char **argv)
{
    return node::runDaemon<entry::EntryDaemon>(
        {"fescue-entry", "Serves callers: directory, generations, and calls to plain services."},
        argc, argv, serve);
}
