#include "net/workerscheduler.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace fescue::net {

namespace {

constexpr std::chrono::milliseconds longestSleep {50};

bool isTask(const boost::fibers::context &fiber) noexcept
{
    return !fiber.is_context(boost::fibers::type::pinned_context);
}

} // namespace

void WorkerScheduler::awakened(boost::fibers::context *fiber) noexcept
{
    fiber->ready_link(m_ready);
    if (isTask(*fiber))
        ++m_readyTasks;
}

boost::fibers::context *WorkerScheduler::pick_next() noexcept
{
    if (m_ready.empty())
        return nullptr;
    boost::fibers::context *fiber = &m_ready.front();
    m_ready.pop_front();
    if (isTask(*fiber))
        --m_readyTasks;
    return fiber;
}

bool WorkerScheduler::has_ready_fibers() const noexcept
{
    return !m_ready.empty();
}

void WorkerScheduler::suspend_until(const std::chrono::steady_clock::time_point &until) noexcept
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    m_context->run_one_until(std::min(until, now + longestSleep));
}

void WorkerScheduler::notify() noexcept
{
    if (m_notified.exchange(true))
        return;
    boost::asio::post(*m_context, [this] { m_notified.store(false); });
}

} // namespace fescue::net
