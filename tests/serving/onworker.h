#pragma once

#include "fescue/net/workerpool.h"

#include <functional>
#include <future>

namespace fescue::test {

// Runs a task on the first worker of a pool and waits for its end.
inline void runOnWorker(net::WorkerPool &pool, const std::function<void()> &task)
{
    std::promise<void> done;
    pool.spawn(0, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace fescue::test
