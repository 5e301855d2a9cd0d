#pragma once

#include "fescue/core/clock.h"

#include <atomic>
#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace fescue::net {

class Worker;

// Thrown out of a wait of a fiber whose pool is stopping. The pool catches it at the start of the
// fiber, so that a task unwinds and ends; tasks need not catch it.
class WorkerStopped : public std::exception
{
public:
    [[nodiscard]] const char *what() const noexcept override { return "the worker pool stops"; }
};

// A fixed number of threads. Each thread has one io_context and runs its handlers and its fibers
// in turn, so that objects used by one worker only need no lock. A fiber never changes its worker.
//
// A timed wait of Boost.Fiber may end 50 ms late on an idle worker; sleepFor() does not. A fiber
// must not wait inside a catch block, since the list of caught exceptions belongs to the thread.
//
// Sockets and clients that belong to a context must be destroyed before the pool.
class WorkerPool
{
public:
    // Starts the threads; 0 is taken as 1.
    explicit WorkerPool(std::size_t workers);
    // Stops and joins.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] boost::asio::io_context &context(std::size_t worker) noexcept;

    // Runs the task on a new fiber of that worker. Callable from any thread. An exception that
    // leaves the task ends its fiber and is written to the standard error. After stop() the task
    // is dropped.
    void spawn(std::size_t worker, std::function<void()> task);
    // Runs the task on a new fiber of the next worker in turn.
    void spawnAny(std::function<void()> task);

    // Ends all waits of this library with WorkerStopped or an error and lets the threads end when
    // their fibers have. A fiber that waits on a primitive of Boost.Fiber must be woken by its
    // owner. Callable from any thread and more than once.
    void stop();
    // Waits until all threads have ended. Not callable from a worker.
    void join();

private:
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<std::size_t> m_next {0};
};

// Suspends the calling fiber of a worker. Throws WorkerStopped where the pool is stopping.
void sleepFor(Millis span);

// Index of the worker that runs the caller. Only callable on a worker.
[[nodiscard]] std::size_t currentWorker();
// The io_context of the worker that runs the caller. Only callable on a worker.
[[nodiscard]] boost::asio::io_context &currentContext();
// True on a thread of a pool.
[[nodiscard]] bool onWorker() noexcept;
// True where the caller's pool has been told to stop.
[[nodiscard]] bool stopRequested() noexcept;

} // namespace fescue::net
