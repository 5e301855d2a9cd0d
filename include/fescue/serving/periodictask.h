#pragma once

#include "fescue/net/workerpool.h"
#include "fescue/observe/log.h"
#include "fescue/observe/metrics.h"

#include <exception>
#include <string>
#include <string_view>

namespace fescue::serving {

// Pause after a step of a periodic task that has failed, so that an error that lasts does not keep
// the worker busy.
inline constexpr Millis failedStepPause = 1_s;

// Logs and counts an error that has left a step of a task.
inline void noteTaskFailure(observe::Metrics &metrics, std::string_view task,
                            const std::exception &error)
{
    metrics.counter("fescue_task_failures_total", {{"task", std::string(task)}}).Increment();
    observe::logChange(observe::LogLevel::Error, "task-failed",
                       {{"task", task}, {"reason", std::string_view(error.what())}});
}

// Repeats a step on a fiber until the worker stops. An error that leaves the step does not end the
// task.
template <typename F>
void repeatUntilStopped(observe::Metrics &metrics, std::string_view task, F step)
{
    while (!net::stopRequested()) {
        bool failed = false;
        try {
            step();
        } catch (const net::WorkerStopped &) {
            throw;
        } catch (const std::exception &e) {
            noteTaskFailure(metrics, task, e);
            failed = true;
        }
        // A fiber cannot be suspended while it handles an exception.
        if (failed)
            net::sleepFor(failedStepPause);
    }
}

} // namespace fescue::serving
