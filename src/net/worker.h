#pragma once

#include "fescue/net/workerpool.h"
#include "net/stackpool.h"

#include <atomic>
#include <limits>
#include <map>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace fescue::net {

class WorkerScheduler;

constexpr Millis noDeadline {std::numeric_limits<std::int64_t>::max()};

// Current time of the clock that all deadlines of this library refer to.
[[nodiscard]] inline Millis steadyNow() noexcept
{
    return SteadyClock {}.now();
}

// The deadline that lies a span ahead.
[[nodiscard]] inline Millis deadlineAfter(Millis span) noexcept
{
    return span >= noDeadline ? noDeadline : steadyNow() + span;
}

// One suspended fiber and the way to end its wait early. Lives on the stack of that fiber.
struct Wait
{
    boost::fibers::context *fiber = nullptr;
    // Makes the awaited operation complete soon.
    void (*cancel)(void *operation) = nullptr;
    void *operation = nullptr;
    // Place in the worker's table while listed.
    std::multimap<Millis, Wait *>::iterator position = {};
    bool listed = false;
    bool done = false;
    bool timedOut = false;
};

// One thread of a pool with its io_context, its fibers and their pending waits.
class Worker
{
public:
    using WaitTable = std::multimap<Millis, Wait *>;

    explicit Worker(std::size_t index);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    // The worker of the calling thread, or null.
    [[nodiscard]] static Worker *current() noexcept;

    [[nodiscard]] std::size_t index() const noexcept { return m_index; }
    [[nodiscard]] boost::asio::io_context &context() noexcept { return m_context; }
    [[nodiscard]] bool stopping() const noexcept { return m_stopping.load(); }

    void start();
    void spawn(std::function<void()> task);
    void stop();
    void join();

    // Suspends the calling fiber until wait.done; cancels its operation at the deadline or when
    // the worker stops.
    void suspendUntilDone(Wait &wait, Millis deadline);
    // Marks a wait as done and makes its fiber ready.
    static void complete(Wait &wait) noexcept;

private:
    void run();
    void step(WorkerScheduler &scheduler);
    void startFiber(std::function<void()> task);
    void runTask(const std::function<void()> &task) noexcept;
    void expireWaits(Millis now);
    void cancelWaits();

    std::size_t m_index;
    boost::asio::io_context m_context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    StackPool m_stacks;
    WaitTable m_waits;
    std::size_t m_fibers = 0;
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};

} // namespace fescue::net
