#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace fescue::node {

// Runs tasks of any thread on one worker, in the order in which they were posted, one at a time.
class Inbox
{
public:
    using Task = std::function<void()>;

    // `spawn` starts a fiber on the worker.
    explicit Inbox(std::function<void(Task)> spawn) : m_spawn(std::move(spawn)) { }

    // Callable from any thread.
    void post(Task task)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_tasks.push_back(std::move(task));
            if (std::exchange(m_running, true))
                return;
        }
        m_spawn([this] { run(); });
    }

private:
    void run()
    {
        for (;;) {
            Task task;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (m_tasks.empty()) {
                    m_running = false;
                    return;
                }
                task = std::move(m_tasks.front());
                m_tasks.pop_front();
            }
            runOne(task);
        }
    }

    // A task that fails does not keep later ones from running.
    void runOne(const Task &task)
    {
        try {
            task();
        } catch (...) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_running = false;
            throw;
        }
    }

    std::function<void(Task)> m_spawn;
    std::mutex m_mutex;
    std::deque<Task> m_tasks;
    bool m_running = false;
};

} // namespace fescue::node
