#include "signalinbox.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace fescue {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr std::int64_t nanosPerMilli = 1'000'000;

struct Slot
{
    int number;
    // 0 stands for a signal that has not come.
    std::atomic<std::int64_t> cameAtMillis;
};

static_assert(std::atomic<std::int64_t>::is_always_lock_free, "handlers of signals use it");

// All of this is used before any constructor runs.
constinit std::array<Slot, 3> slots {{{SIGTERM, 0}, {SIGINT, 0}, {SIGHUP, 0}}};
constinit std::array<int, 2> pipeEnds {-1, -1};

std::int64_t steadyMillis() noexcept
{
    timespec now {};
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * millisPerSecond + now.tv_nsec / nanosPerMilli;
}

// Calls only what may be called while a signal is handled.
void receive(int number) noexcept
{
    const int callersError = errno;
    for (Slot &slot : slots) {
        if (slot.number == number) {
            std::int64_t none = 0;
            slot.cameAtMillis.compare_exchange_strong(none, steadyMillis());
        }
    }
    // A full pipe is readable, which is enough.
    [[maybe_unused]] const ssize_t n = write(pipeEnds[1], "", 1);
    errno = callersError;
}

void setAction(void (*handler)(int)) noexcept
{
    struct sigaction action
    { };
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    for (const Slot &slot : slots)
        sigaction(slot.number, &action, nullptr);
}

void install(int /*argc*/, char ** /*argv*/, char ** /*envp*/) noexcept
{
    if (pipe2(pipeEnds.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        pipeEnds = {-1, -1};
    setAction(receive);
}

// The loader runs what stands in this section before the initialisers of all libraries.
using EarlyFunction = void (*)(int, char **, char **);
[[gnu::section(".preinit_array"), gnu::used]] const EarlyFunction earlyInstall = install;

sigset_t inboxSignals() noexcept
{
    sigset_t set {};
    sigemptyset(&set);
    for (const Slot &slot : slots)
        sigaddset(&set, slot.number);
    return set;
}

} // namespace

std::optional<Millis> SignalInbox::take(int number) noexcept
{
    for (Slot &slot : slots) {
        const std::int64_t at = slot.number == number ? slot.cameAtMillis.exchange(0) : 0;
        if (at != 0)
            return Millis {at};
    }
    return std::nullopt;
}

int SignalInbox::descriptor() noexcept
{
    return pipeEnds[0];
}

void SignalInbox::restoreDefaults() noexcept
{
    setAction(SIG_DFL);
}

SignalBlock::SignalBlock() noexcept
{
    const sigset_t set = inboxSignals();
    pthread_sigmask(SIG_BLOCK, &set, &m_before);
}

SignalBlock::~SignalBlock()
{
    pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
}

} // namespace fescue
