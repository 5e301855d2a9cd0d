#include "admission/admissiondaemon.h"

#include "fescue/core/deadline.h"
#include "fescue/node/daemonprogram.h"
#include "fescue/observe/log.h"

#include <cstdlib>

namespace {

using namespace fescue;

// Longest time that a shutdown waits for the store to take the keys of the endpoints back. After it
// they end with the lease.
constexpr Millis handOverLimit = 5_s;

// Runs until the shutdown that a signal starts has finished. Returns the exit code.
int serve(admission::AdmissionDaemon &daemon, const DaemonSettings &,
          const node::StopSignals &signals)
{
    while (!signals.wait()) { }
    observe::logChange("leaving", {{"owned", daemon.owned()}});
    daemon.leave();
    const SteadyClock clock;
    const Deadline handOver = Deadline::after(clock.now(), handOverLimit);
    // The first wait lets the control worker take the mark in.
    do {
        static_cast<void>(signals.wait());
    } while (daemon.owned() > 0 && !handOver.hasPassed(clock.now()));
    observe::logChange("stopped", {{"owned", daemon.owned()}});
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    return node::runDaemon<admission::AdmissionDaemon>(
        {"fescue-admission",
         "Decides how much of each endpoint the entries may use, and gives it orders."},
        argc, argv, serve);
}
