#pragma once

#include "fescue/net.h"

#include <exception>
#include <functional>
#include <future>

#include <gtest/gtest.h>

namespace fescue::net {

// Runs a task on a fiber of a worker and waits for it from the test's thread.
inline void runOn(WorkerPool &pool, std::size_t worker, const std::function<void()> &task)
{
    std::promise<void> done;
    pool.spawn(worker, [&] {
        std::exception_ptr failure;
        try {
            task();
        } catch (...) {
            failure = std::current_exception();
        }
        if (failure)
            done.set_exception(failure);
        else
            done.set_value();
    });
    done.get_future().get();
}

inline const Address anyPort {"127.0.0.1", 0};

} // namespace fescue::net
