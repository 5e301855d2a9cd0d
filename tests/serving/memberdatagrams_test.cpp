#include "fescue/serving/memberdatagrams.h"
#include "tests/serving/onworker.h"

#include <array>
#include <gtest/gtest.h>
#include <memory>

namespace {

using namespace fescue;
using namespace fescue::serving;

// Two processes that know each other and exchange datagrams over loopback addresses.
class Datagrams : public testing::Test
{
protected:
    struct Process
    {
        Process(net::WorkerPool &pool, const char *name)
            : state(makeSettings(name), pool, metrics), datagrams(pool.context(0), state)
        { }

        static NodeSettings makeSettings(const char *name)
        {
            NodeSettings settings;
            settings.name = MemberName(name);
            settings.zone = ZoneName("north");
            settings.peerAddress = {"127.0.0.1", 0};
            return settings;
        }

        double counted(const char *name) { return metrics.counter(name).Value(); }

        observe::Metrics metrics;
        ServingState state;
        MemberDatagrams datagrams;
    };

    Datagrams()
    {
        onWorker([this] {
            ASSERT_TRUE(a.datagrams.open());
            ASSERT_TRUE(b.datagrams.open());
            addMember("a", "north", a.datagrams.address());
            addMember("b", "north", b.datagrams.address());
            b.datagrams.setHandler(DatagramKind::Slot, [this](std::string_view bytes) {
                received.emplace_back(bytes);
                return bytes != "bad";
            });
        });
    }

    ~Datagrams() override
    {
        pool.stop();
        pool.join();
    }

    // Makes both processes know a member.
    void addMember(const std::string &name, const char *zone, const net::Address &address)
    {
        MemberInfo info;
        info.name = MemberName(name);
        info.zone = ZoneName(zone);
        info.peerAddress = address.toString();
        for (Process *process : {&a, &b})
            process->state.members.heartbeat(ServingState::now(), info);
    }

    // Returns when `n` datagrams have been received, or after a long time.
    void waitForReceived(std::size_t n)
    {
        onWorker([&] {
            const Millis until = ServingState::now() + 20_s;
            while (received.size() < n && ServingState::now() < until)
                net::sleepFor(1_ms);
        });
    }

    void onWorker(const std::function<void()> &task) { test::runOnWorker(pool, task); }

    net::WorkerPool pool {1};
    Process a {pool, "a"};
    Process b {pool, "b"};
    std::vector<std::string> received;
};

TEST_F(Datagrams, ReachTheHandlerOfTheirKind)
{
    onWorker([this] {
        EXPECT_TRUE(a.datagrams.send(MemberName("b"), DatagramKind::Slot, "first"));
        const std::array<std::string, 2> messages {"second", "third"};
        a.datagrams.spread(DatagramKind::Slot, messages, true);
    });
    waitForReceived(3);
    EXPECT_EQ(received, (std::vector<std::string> {"first", "second", "third"}));
    EXPECT_EQ(a.counted("fescue_datagrams_sent_total"), 3);
}

TEST_F(Datagrams, ThatNobodyHandlesOrThatAreMalformedAreCounted)
{
    onWorker([this] {
        a.datagrams.send(MemberName("b"), DatagramKind::Gossip, "nobody handles it");
        a.datagrams.send(MemberName("b"), DatagramKind::Slot, "bad");
        a.datagrams.send(MemberName("b"), DatagramKind::Slot, "good");
    });
    waitForReceived(2);
    EXPECT_EQ(b.counted("fescue_datagrams_malformed_total"), 2);
}

TEST_F(Datagrams, AreNotSentToUnknownMembersNorToThisProcess)
{
    onWorker([this] {
        EXPECT_FALSE(a.datagrams.send(MemberName("x"), DatagramKind::Slot, "bytes"));
        EXPECT_FALSE(a.datagrams.send(MemberName("a"), DatagramKind::Slot, "bytes"));
    });
    EXPECT_EQ(a.counted("fescue_datagrams_sent_total"), 0);
}

// In a large system a message for all goes to the processes of this zone and to a few relays.
TEST_F(Datagrams, StayInTheZoneOfALargeSystemBesideItsRelays)
{
    constexpr int others = 40;
    onWorker([this] {
        for (int n = 0; n < others; ++n)
            addMember("south-" + std::to_string(n), "south", b.datagrams.address());
        const std::string message = "news";
        a.datagrams.spread(DatagramKind::Slot, {&message, 1}, false);
    });
    waitForReceived(1);
    EXPECT_EQ(a.counted("fescue_datagrams_sent_total"), 1);
    onWorker([this] {
        const std::string message = "news for all";
        a.datagrams.spread(DatagramKind::Slot, {&message, 1}, true);
    });
    const double withRelays = a.counted("fescue_datagrams_sent_total") - 1;
    EXPECT_GT(withRelays, 1);
    EXPECT_LT(withRelays, others / 2);
}

} // namespace
