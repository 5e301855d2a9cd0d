#include "fescue/serving/slotdesk.h"
#include "tests/serving/onworker.h"

#include <array>
#include <gtest/gtest.h>
#include <memory>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("desk");

// Two processes that share out the slots of a service, with datagrams that may be dropped.
class SlotDesks : public testing::Test
{
protected:
    struct Process
    {
        explicit Process(SlotDesks &test, const char *name)
            : state(makeSettings(name), test.pool, metrics),
              desk(state, [&test](const MemberName &to, const std::string &bytes) {
                  return test.send(to, bytes);
              })
        { }

        static NodeSettings makeSettings(const char *name)
        {
            NodeSettings settings;
            settings.name = MemberName(name);
            settings.zone = ZoneName("north");
            return settings;
        }

        observe::Metrics metrics;
        ServingState state;
        SlotDesk desk;
    };

    SlotDesks()
    {
        for (const char *name : {"a", "b"})
            processes.push_back(std::make_unique<Process>(*this, name));
        onWorker([this] {
            for (const std::unique_ptr<Process> &process : processes) {
                ServingConfig config;
                config.version = {1};
                ServiceSpec spec;
                spec.name = service;
                config.services = {spec};
                EXPECT_TRUE(process->state.applyConfig(config));
                for (const std::unique_ptr<Process> &member : processes)
                    heartbeat(process->state, member->state.settings.name);
                list(process->state, "e1", 2);
                process->state.ledger.add(EndpointName("e1"), {1, 0, 0});
            }
        });
    }

    ~SlotDesks() override
    {
        pool.stop();
        pool.join();
    }

    static void heartbeat(ServingState &state, const MemberName &name)
    {
        MemberInfo info;
        info.name = name;
        info.incarnation = {1};
        info.zone = ZoneName("north");
        info.peerAddress = "127.0.0.1:1";
        state.members.heartbeat(ServingState::now(), info);
    }

    static void list(ServingState &state, const char *name, std::uint32_t slots)
    {
        EndpointRecord record;
        record.name = EndpointName(name);
        record.service = service;
        record.zone = ZoneName("north");
        record.slots = slots;
        state.endpoints.listed(ServingState::now(), record);
    }

    bool send(const MemberName &to, const std::string &bytes)
    {
        ++sent;
        if (dropped > 0) {
            --dropped;
            return true;
        }
        for (const std::unique_ptr<Process> &process : processes) {
            Process *receiver = process.get();
            if (receiver->state.settings.name == to)
                pool.spawn(0, [receiver, bytes] { EXPECT_TRUE(receiver->desk.handle(bytes)); });
        }
        return true;
    }

    SlotGrant acquire(std::size_t process, Millis patience = 5_s)
    {
        SlotGrant grant;
        onWorker([&] {
            const Millis deadline = ServingState::now() + patience;
            grant = processes.at(process)->desk.acquire(
                {service, AccountName("a"), 2, deadline, 100_ms, {}, [] { return false; }});
        });
        return grant;
    }

    // Returns the process that is not the broker.
    std::size_t asker() { return acquire(0).broker == MemberName("a") ? 1 : 0; }

    void onWorker(const std::function<void()> &task) { test::runOnWorker(pool, task); }

    net::WorkerPool pool {1};
    std::vector<std::unique_ptr<Process>> processes;
    int sent = 0;
    int dropped = 0;
};

TEST_F(SlotDesks, AllProcessesAskTheSameBroker)
{
    const SlotGrant first = acquire(0);
    const SlotGrant second = acquire(1);
    EXPECT_EQ(first.outcome, SlotOutcome::Granted);
    EXPECT_EQ(second.outcome, SlotOutcome::Granted);
    EXPECT_EQ(first.broker, second.broker);
    EXPECT_EQ(first.endpoint, EndpointName("e1"));
}

TEST_F(SlotDesks, RequestIsRefusedWhileAllSlotsAreUsed)
{
    std::vector<SlotGrant> grants;
    for (int n = 0; n < 8; ++n) {
        grants.push_back(acquire(n % 2, 300_ms));
        if (grants.back().outcome != SlotOutcome::Granted)
            break;
    }
    EXPECT_EQ(grants.back().outcome, SlotOutcome::Refused);
    EXPECT_GE(grants.size(), 3U);
}

TEST_F(SlotDesks, SlotThatIsGivenBackGoesToTheOtherProcess)
{
    std::vector<SlotGrant> grants;
    while (grants.empty() || grants.back().outcome == SlotOutcome::Granted)
        grants.push_back(acquire(0, 300_ms));
    onWorker([&] { processes.at(0)->desk.giveBack(service, grants.front(), SlotUse::Served); });
    EXPECT_EQ(acquire(1).outcome, SlotOutcome::Granted);
}

TEST_F(SlotDesks, LostAnswerIsRepeated)
{
    const std::size_t other = asker();
    dropped = 1;
    EXPECT_EQ(acquire(other).outcome, SlotOutcome::Granted);
}

// The broker is killed, or the link to it is cut.
TEST_F(SlotDesks, RequestDoesNotWaitForABrokerThatIsSilent)
{
    const std::size_t other = asker();
    dropped = 1000;
    const SlotGrant grant = acquire(other);
    EXPECT_EQ(grant.outcome, SlotOutcome::Granted);
    EXPECT_EQ(grant.broker, processes.at(other)->state.settings.name);
}

TEST_F(SlotDesks, ServiceWithASlotForEachProcessIsNotShared)
{
    onWorker([this] {
        for (const std::unique_ptr<Process> &process : processes)
            list(process->state, "e2", 64);
    });
    EXPECT_EQ(acquire(0).outcome, SlotOutcome::Unshared);
    EXPECT_EQ(sent, 0);
}

TEST_F(SlotDesks, NobodyIsAskedWithoutPressure)
{
    onWorker([this] { processes.at(0)->state.ledger.subtract(EndpointName("e1"), {1, 0, 0}); });
    EXPECT_EQ(acquire(0).outcome, SlotOutcome::Unshared);
    onWorker([this] {
        processes.at(0)->state.pressedEndpoints.pause(ServingState::now(), EndpointName("e1"), {},
                                                      60_s);
    });
    EXPECT_EQ(acquire(0).outcome, SlotOutcome::Granted);
}

TEST_F(SlotDesks, CallerThatLeavesNoLongerWaits)
{
    while (acquire(0, 300_ms).outcome == SlotOutcome::Granted) { }
    SlotGrant grant;
    onWorker([&] {
        grant = processes.at(0)->desk.acquire(
            {service, AccountName("a"), 2, ServingState::now() + 10_s, 10_s, {}, [] {
                 return true;
             }});
    });
    EXPECT_EQ(grant.outcome, SlotOutcome::CallerGone);
}

} // namespace
