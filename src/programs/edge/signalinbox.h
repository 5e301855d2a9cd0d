#pragma once

#include "fescue/core/clock.h"

#include <csignal>
#include <optional>

namespace fescue {

// The signals that the platform sends to this process: SIGTERM, SIGINT and SIGHUP. They are handled
// from the first code of the program on, before the initialisers of its libraries, and wait here
// until they are taken.
class SignalInbox
{
public:
    // Returns when a signal came for the first time since it was taken last, by the steady clock;
    // nothing if it has not come.
    [[nodiscard]] static std::optional<Millis> take(int number) noexcept;

    // Returns a descriptor that is readable after a signal has come, -1 if the system gave none.
    [[nodiscard]] static int descriptor() noexcept;

    // Gives the signals their default effect again, for runs that only print something.
    static void restoreDefaults() noexcept;
};

// Keeps the signals of the inbox away from the calling thread, and from those that it starts, so
// that other threads get them. Ends with its life.
class SignalBlock
{
public:
    SignalBlock() noexcept;
    ~SignalBlock();
    SignalBlock(const SignalBlock &) = delete;
    SignalBlock &operator=(const SignalBlock &) = delete;

private:
    sigset_t m_before {};
};

} // namespace fescue
