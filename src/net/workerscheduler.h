#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace fescue::net {

// Runs ready fibers in turn. The thread sleeps in its io_context only, and a fiber made ready by
// another thread wakes it there. The function names are those of Boost.Fiber.
class WorkerScheduler : public boost::fibers::algo::algorithm
{
public:
    explicit WorkerScheduler(boost::asio::io_context &context) noexcept : m_context(&context) { }

    // True where a fiber other than the thread's own two is ready.
    [[nodiscard]] bool hasReadyTask() const noexcept { return m_readyTasks > 0; }

    void awakened(boost::fibers::context *fiber) noexcept override;
    boost::fibers::context *pick_next() noexcept override;
    [[nodiscard]] bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point &until) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context *m_context;
    boost::fibers::scheduler::ready_queue_type m_ready;
    std::size_t m_readyTasks = 0;
    std::atomic<bool> m_notified {false};
};

} // namespace fescue::net
