#pragma once

#include "fescue/serving/storesession.h"
#include "tests/serving/onworker.h"
#include "tests/serving/scriptedstore.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>

namespace fescue::test {

// Maximum wait for the background work of a session.
inline constexpr Millis longestWait = 10_s;

// A session of one process with a scripted store.
class StoreSessionFixture : public testing::Test
{
protected:
    StoreSessionFixture() : pool(1), state(makeSettings(), pool, metrics)
    {
        ScriptedStore::current = &store;
        store.put("config", "5");
        self.name = MemberName("entry-0");
        self.incarnation = {1};
        session = std::make_unique<serving::StoreSession<StoreProtocol>>(
            state, self,
            serving::StoreSessionHooks {
                [] {}, [](const EndpointName &) {},
                [](std::span<const MemberView *const>, std::string_view) {}});
    }

    ~StoreSessionFixture() override
    {
        pool.stop();
        pool.join();
    }

    static serving::NodeSettings makeSettings()
    {
        serving::NodeSettings settings;
        settings.name = MemberName("entry-0");
        return settings;
    }

    void onWorker(const std::function<void()> &task) { runOnWorker(pool, task); }

    // Waits on the worker until a condition holds. Returns false if it does not hold within
    // longestWait.
    bool eventually(const std::function<bool()> &condition)
    {
        bool holds = false;
        onWorker([&] {
            const Millis until = serving::ServingState::now() + longestWait;
            while (!(holds = condition()) && serving::ServingState::now() < until)
                net::sleepFor(5_ms);
        });
        return holds;
    }

    ScriptedStore store;
    observe::Metrics metrics;
    net::WorkerPool pool;
    serving::ServingState state;
    MemberInfo self;
    std::unique_ptr<serving::StoreSession<StoreProtocol>> session;
};

} // namespace fescue::test
