#include "entrydaemon.h"

#include "fescue/core/deadline.h"
#include "fescue/core/drain.h"
#include "fescue/node/daemonprogram.h"
#include "fescue/observe/log.h"

#include <cstdlib>

namespace {

using namespace fescue;

// Carries out one step of the shutdown. Returns true where it is the last.
bool perform(DrainStep step, entry::EntryDaemon &daemon)
{
    switch (step) {
    case DrainStep::None:
        break;
    case DrainStep::LeaveDirectory:
        observe::logChange("leaving");
        daemon.leaveDirectory();
        break;
    case DrainStep::RefuseNew:
        observe::logChange("refusing-new", {{"open", daemon.open()}});
        daemon.refuseNew();
        break;
    case DrainStep::ReportOpen:
        observe::logChange("still-open", {{"open", daemon.open()}});
        break;
    case DrainStep::Exit:
        observe::logChange("stopped");
        return true;
    }
    return false;
}

// Runs until the shutdown that a signal starts has finished. Returns the exit code.
int serve(entry::EntryDaemon &daemon, const DaemonSettings &settings,
          const node::StopSignals &signals)
{
    const SteadyClock clock;
    DrainMachine drain(daemon.directoryTtl());
    Deadline grace;
    for (;;) {
        const bool signalled = signals.wait();
        const Millis now = clock.now();
        drain.raiseDirectoryTtl(daemon.directoryTtl());
        if (daemon.leftDirectory())
            drain.withdrawalConfirmed(now);
        if (signalled && !grace.isSet())
            grace = Deadline::after(now, settings.drainGrace);
        if (perform(signalled ? drain.stop(now) : drain.tick(now, daemon.open()), daemon))
            return EXIT_SUCCESS;
        if (grace.hasPassed(now)) {
            observe::logChange(observe::LogLevel::Error, "drain-grace-over",
                               {{"open", daemon.open()}});
            return EXIT_FAILURE;
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    return node::runDaemon<entry::EntryDaemon>(
        {"fescue-entry", "Serves callers: directory, generations, and calls to plain services."},
        argc, argv, serve);
}
