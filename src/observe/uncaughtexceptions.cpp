#include "fescue/observe/uncaughtexceptions.h"

#include "fescue/observe/log.h"

#include <cstdlib>
#include <exception>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace fescue::observe {

namespace {

std::string currentReason()
{
    const std::exception_ptr current = std::current_exception();
    if (!current)
        return "ended without an exception";
    try {
        std::rethrow_exception(current);
    } catch (const std::exception &e) {
        return e.what();
    } catch (...) {
        return "an exception without a text";
    }
}

// Writes to the standard error unless that would block.
void writeError(const std::string &line) noexcept
{
    pollfd output {STDERR_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
        [[maybe_unused]] const ssize_t n = write(STDERR_FILENO, line.data(), line.size());
    }
}

[[noreturn]] void endWithReason() noexcept
{
    const std::string reason = currentReason();
    writeError("uncaught exception: " + reason + '\n');
    logChange(LogLevel::Error, "uncaught-exception", {{"reason", reason}});
    static_cast<void>(flushLog(logFlushLimit));
    std::abort();
}

} // namespace

void logUncaughtExceptions() noexcept
{
    std::set_terminate(endWithReason);
}

} // namespace fescue::observe
