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
              desk(state, {2}, [&test](const MemberName &to, const std::string &bytes) {
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
        info.incarnation = {2};
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
        atSend();
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
                {service, AccountName("a"), 2, deadline, 100_ms, {}, {}, [] { return false; }});
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
    // Called at each datagram, on the worker.
    std::function<void()> atSend = [] {};
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

// Both datagrams of each return are lost on the way to the broker.
TEST_F(SlotDesks, SlotsWhoseReturnsAreLostAreFreeAfterTheNextReport)
{
    const std::size_t other = asker();
    // The slot of asker() is held as well, by either process.
    std::vector<SlotGrant> grants(2);
    for (SlotGrant &grant : grants)
        grant = acquire(other);
    ASSERT_EQ(grants.back().outcome, SlotOutcome::Granted);
    dropped = 1000;
    onWorker([&] {
        for (const SlotGrant &grant : grants)
            processes.at(other)->desk.giveBack(service, grant, SlotUse::Served);
    });
    dropped = 0;
    EXPECT_EQ(acquire(1 - other, 300_ms).outcome, SlotOutcome::Refused);
    onWorker([&] { processes.at(other)->desk.tick(ServingState::now()); });
    EXPECT_EQ(acquire(1 - other, 300_ms).outcome, SlotOutcome::Granted);
}

// A process has been restarted, and an answer to its former life arrives late.
TEST_F(SlotDesks, AnswerToAnEarlierLifeIsNotTaken)
{
    const std::size_t other = asker();
    Process &process = *processes.at(other);
    dropped = 1000;
    atSend = [&process] {
        for (std::uint64_t number = 0; number < 10; ++number) {
            const SlotAnswer late {{process.state.settings.name, {1}, number},
                                   SlotVerdict::Granted,
                                   EndpointName("elsewhere")};
            EXPECT_TRUE(process.desk.handle(encodeSlotMessage({service, late})));
        }
    };
    EXPECT_EQ(acquire(other).endpoint, EndpointName("e1"));
}

TEST_F(SlotDesks, UnknownProcessGetsNoSlot)
{
    const std::size_t broker = 1 - asker();
    const SlotAsk unknown {
        {MemberName("x"), {1}, 1}, ZoneName("north"), AccountName("a"), 0, 5_s, 1_s, {}, {}};
    SlotAsk formerLife = unknown;
    formerLife.key = {processes.at(1 - broker)->state.settings.name, {1}, 1};
    const int before = sent;
    onWorker([&] {
        for (const SlotAsk &ask : {unknown, formerLife})
            EXPECT_TRUE(processes.at(broker)->desk.handle(encodeSlotMessage({service, ask})));
    });
    EXPECT_EQ(sent, before);
}

TEST_F(SlotDesks, CallerThatLeavesNoLongerWaits)
{
    while (acquire(0, 300_ms).outcome == SlotOutcome::Granted) { }
    SlotGrant grant;
    onWorker([&] {
        grant = processes.at(0)->desk.acquire(
            {service, AccountName("a"), 2, ServingState::now() + 10_s, 10_s, {}, {}, [] {
                 return true;
             }});
    });
    EXPECT_EQ(grant.outcome, SlotOutcome::CallerGone);
}

} // namespace
