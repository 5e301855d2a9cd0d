#include "net/worker.h"

#include "net/workerscheduler.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

namespace fescue::net {

namespace {

// Bounds the delay of timed waits of Boost.Fiber, which the loop does not know of.
constexpr Millis longestSleep {50};

thread_local Worker *threadWorker = nullptr;

} // namespace

Worker::Worker(std::size_t index) : m_index(index), m_guard(m_context.get_executor()) { }

Worker::~Worker()
{
    stop();
    join();
}

Worker *Worker::current() noexcept
{
    return threadWorker;
}

void Worker::start()
{
    m_thread = std::thread([this] { run(); });
}

void Worker::spawn(std::function<void()> task)
{
    boost::asio::post(m_context, [this, task = std::move(task)]() mutable {
        if (!stopping())
            startFiber(std::move(task));
    });
}

void Worker::stop()
{
    if (m_stopping.exchange(true))
        return;
    boost::asio::post(m_context, [] {});
}

void Worker::join()
{
    if (m_thread.joinable())
        m_thread.join();
}

void Worker::startFiber(std::function<void()> task)
{
    ++m_fibers;
    boost::fibers::fiber fiber(boost::fibers::launch::post, std::allocator_arg,
                               PooledStack(m_stacks), [this, task = std::move(task)]() mutable {
                                   runTask(task);
                                   task = nullptr;
                                   --m_fibers;
                               });
    fiber.detach();
}

void Worker::runTask(const std::function<void()> &task) noexcept
{
    try {
        task();
    } catch (const WorkerStopped &) {
        // The task has been unwound as intended.
    } catch (const std::exception &e) {
        std::fprintf(stderr, "a task of worker %zu failed: %s\n", m_index, e.what());
    }
}

void Worker::run()
{
    threadWorker = this;
    const boost::intrusive_ptr<WorkerScheduler> scheduler(new WorkerScheduler(m_context));
    boost::fibers::context::active()->get_scheduler()->set_algo(scheduler);
    while (!stopping() || m_fibers > 0) {
        if (stopping())
            cancelWaits();
        step(*scheduler);
    }
    // Tasks that never started are dropped while what they refer to lives.
    m_context.poll();
    threadWorker = nullptr;
}

void Worker::step(WorkerScheduler &scheduler)
{
    const Millis now = steadyNow();
    // Where this process did not run for a while, what has arrived since then is not late.
    if (!m_waits.empty() && m_waits.begin()->first <= now)
        m_context.poll();
    expireWaits(now);
    if (scheduler.hasReadyTask()) {
        m_context.poll();
    } else {
        Millis sleep = longestSleep;
        if (!m_waits.empty())
            sleep = std::clamp(m_waits.begin()->first - now, Millis {0}, longestSleep);
        m_context.run_one_for(std::chrono::milliseconds(sleep.count));
    }
    boost::this_fiber::yield();
}

void Worker::expireWaits(Millis now)
{
    while (!m_waits.empty() && m_waits.begin()->first <= now) {
        Wait &wait = *m_waits.begin()->second;
        m_waits.erase(m_waits.begin());
        wait.listed = false;
        if (wait.done)
            continue;
        wait.timedOut = true;
        wait.cancel(wait.operation);
    }
}

void Worker::cancelWaits()
{
    const WaitTable waits = std::exchange(m_waits, {});
    for (const std::pair<const Millis, Wait *> &entry : waits) {
        entry.second->listed = false;
        entry.second->cancel(entry.second->operation);
    }
}

void Worker::suspendUntilDone(Wait &wait, Millis deadline)
{
    wait.fiber = boost::fibers::context::active();
    wait.position = m_waits.emplace(deadline, &wait);
    wait.listed = true;
    while (!wait.done)
        wait.fiber->suspend();
    if (wait.listed)
        m_waits.erase(wait.position);
}

void Worker::complete(Wait &wait) noexcept
{
    wait.done = true;
    if (wait.fiber != nullptr)
        boost::fibers::context::active()->schedule(wait.fiber);
}

} // namespace fescue::net
