#include "fescue/net/workerpool.h"

#include "net/worker.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fescue::net {

namespace {

Worker &requireWorker()
{
    Worker *worker = Worker::current();
    if (worker == nullptr)
        throw std::logic_error("called outside the threads of a worker pool");
    return *worker;
}

} // namespace

WorkerPool::WorkerPool(std::size_t workers)
{
    const std::size_t n = std::max<std::size_t>(workers, 1);
    for (std::size_t i = 0; i < n; ++i)
        m_workers.push_back(std::make_unique<Worker>(i));
    for (const std::unique_ptr<Worker> &worker : m_workers)
        worker->start();
}

WorkerPool::~WorkerPool()
{
    stop();
    join();
}

std::size_t WorkerPool::size() const noexcept
{
    return m_workers.size();
}

boost::asio::io_context &WorkerPool::context(std::size_t worker) noexcept
{
    return m_workers[worker]->context();
}

void WorkerPool::spawn(std::size_t worker, std::function<void()> task)
{
    m_workers[worker]->spawn(std::move(task));
}

void WorkerPool::spawnAny(std::function<void()> task)
{
    const std::size_t n = m_next.fetch_add(1, std::memory_order_relaxed);
    spawn(n % m_workers.size(), std::move(task));
}

void WorkerPool::stop()
{
    for (const std::unique_ptr<Worker> &worker : m_workers)
        worker->stop();
}

void WorkerPool::join()
{
    for (const std::unique_ptr<Worker> &worker : m_workers)
        worker->join();
}

void sleepFor(Millis span)
{
    Worker &worker = requireWorker();
    Wait wait;
    wait.operation = &wait;
    wait.cancel = [](void *operation) { Worker::complete(*static_cast<Wait *>(operation)); };
    worker.suspendUntilDone(wait, deadlineAfter(span));
    if (worker.stopping())
        throw WorkerStopped();
}

std::size_t currentWorker()
{
    return requireWorker().index();
}

boost::asio::io_context &currentContext()
{
    return requireWorker().context();
}

bool onWorker() noexcept
{
    return Worker::current() != nullptr;
}

bool stopRequested() noexcept
{
    const Worker *worker = Worker::current();
    return worker != nullptr && worker->stopping();
}

} // namespace fescue::net
