#include "fescue/peer/peerlinks.h"

#include "tests/net/nettest.h"
#include "tests/standins/relay/faultrelay.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fescue::peer {
namespace {

// Ends a test that would hang; no verdict depends on it otherwise.
constexpr std::chrono::seconds hangGuard {30};

struct SeenMessage
{
    MemberName from;
    Message message;
};

struct SeenLink
{
    MemberName member;
    LinkState state = LinkState::Up;
    bool operator==(const SeenLink &) const = default;
};

Hello greeting(std::string_view name, std::uint64_t incarnation)
{
    Hello hello;
    hello.member = MemberName(name);
    hello.incarnation = Incarnation {incarnation};
    hello.zone = ZoneName("z1");
    return hello;
}

// One daemon's links, with what they reported.
class Node
{
public:
    explicit Node(std::string_view name, std::uint64_t incarnation = 1, LinkOptions options = {})
        : m_links(greeting(name, incarnation), options, callbacks())
    {
        const Result<std::uint16_t> port = m_links.listen("127.0.0.1:0");
        EXPECT_TRUE(port.has_value());
        m_port = port.value_or(0);
        m_links.start();
    }

    ~Node() { m_links.stop(); }

    [[nodiscard]] PeerLinks &links() { return m_links; }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    void want(const Node &other) { wantAt(other, other.address()); }

    void wantAt(const Node &other, const std::string &address)
    {
        const Hello &hello = other.m_links.self();
        m_links.setPeers({{hello.member, address, hello.incarnation, false}});
    }

    template <typename Predicate>
    [[nodiscard]] bool waitFor(Predicate predicate)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, hangGuard, predicate);
    }

    [[nodiscard]] bool waitForLink(std::string_view member, LinkState state, std::ptrdiff_t times)
    {
        const SeenLink wanted {MemberName(member), state};
        return waitFor([this, &wanted, times] {
            return std::count(m_seenLinks.begin(), m_seenLinks.end(), wanted) >= times;
        });
    }

    [[nodiscard]] bool waitForMessages(std::size_t n)
    {
        return waitFor([this, n] { return m_messages.size() >= n; });
    }

    [[nodiscard]] bool waitForAcknowledgement(int times)
    {
        return waitFor([this, times] { return m_acknowledged >= times; });
    }

    [[nodiscard]] std::vector<SeenMessage> messages()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_messages;
    }

private:
    LinkCallbacks callbacks()
    {
        LinkCallbacks callbacks;
        callbacks.onMessage = [this](const MemberName &from, const Message &message) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_messages.push_back({from, message});
            m_changed.notify_all();
        };
        callbacks.onLink = [this](const Hello &hello, LinkState state) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_seenLinks.push_back({hello.member, state});
            m_changed.notify_all();
        };
        callbacks.onHeartbeat = [this](const MemberName &, const Heartbeat &,
                                       std::optional<Millis> askedAt) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_acknowledged += askedAt ? 1 : 0;
            m_changed.notify_all();
        };
        return callbacks;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<SeenMessage> m_messages;
    std::vector<SeenLink> m_seenLinks;
    int m_acknowledged = 0;
    std::uint16_t m_port = 0;
    PeerLinks m_links;
};

std::uint64_t received(const PeerLinks &links, const Message &like)
{
    return links.counters().received.at(like.index()).messages;
}

TEST(PeerLinks, MessagesArriveInOrderBothWays)
{
    Node a("a");
    Node b("b");
    a.want(b);
    ASSERT_TRUE(a.waitForLink("b", LinkState::Up, 1));
    ASSERT_TRUE(b.waitForLink("a", LinkState::Up, 1));
    constexpr std::uint64_t count = 200;
    for (std::uint64_t i = 1; i <= count; ++i) {
        EXPECT_TRUE(a.links().send(MemberName("b"), VersionNotice {ConfigVersion {i}}));
        EXPECT_TRUE(b.links().send(MemberName("a"), VersionNotice {ConfigVersion {i}}));
    }
    ASSERT_TRUE(a.waitForMessages(count));
    ASSERT_TRUE(b.waitForMessages(count));
    for (std::uint64_t i = 1; i <= count; ++i) {
        EXPECT_EQ(a.messages()[i - 1].message, Message(VersionNotice {ConfigVersion {i}}));
        EXPECT_EQ(b.messages()[i - 1].message, Message(VersionNotice {ConfigVersion {i}}));
        EXPECT_EQ(b.messages()[i - 1].from, MemberName("a"));
    }
    EXPECT_EQ(received(b.links(), VersionNotice {}), count);
}

TEST(PeerLinks, LargestConfigurationPasses)
{
    Node a("a");
    Node b("b");
    a.want(b);
    ASSERT_TRUE(a.waitForLink("b", LinkState::Up, 1));
    const ConfigBody body {ConfigVersion {3}, 7, std::string(1 << 20, 'x')};
    EXPECT_TRUE(a.links().send(MemberName("b"), body));
    ASSERT_TRUE(b.waitForMessages(1));
    EXPECT_EQ(b.messages()[0].message, Message(body));
    EXPECT_FALSE(a.links().send(MemberName("b"),
                                ConfigBody {ConfigVersion {3}, 7, std::string(2 << 20, 'x')}));
}

TEST(PeerLinks, NothingIsSentWithoutALink)
{
    Node a("a");
    EXPECT_FALSE(a.links().send(MemberName("b"), VersionNotice {}));
    EXPECT_EQ(a.links().broadcast(VersionNotice {}), 0U);
}

TEST(PeerLinks, BothDialAndOneLinkStays)
{
    Node a("a");
    Node b("b");
    a.want(b);
    b.want(a);
    ASSERT_TRUE(a.waitForAcknowledgement(4));
    ASSERT_TRUE(b.waitForAcknowledgement(4));
    EXPECT_EQ(a.links().upMembers(), std::vector<MemberName> {MemberName("b")});
    EXPECT_EQ(b.links().upMembers(), std::vector<MemberName> {MemberName("a")});
    EXPECT_EQ(a.links().counters().linksSilent, 0U);
}

TEST(PeerLinks, HeartbeatsAreAcknowledgedBothWays)
{
    Node a("a");
    Node b("b");
    a.want(b);
    EXPECT_TRUE(a.waitForAcknowledgement(2));
    EXPECT_TRUE(b.waitForAcknowledgement(2));
}

TEST(PeerLinks, SilentLinkIsReplacedWhileNewOnesWork)
{
    Node a("a");
    Node b("b");
    net::WorkerPool pool(1);
    std::unique_ptr<standins::FaultRelay> relay;
    net::runOn(pool, 0, [&] {
        relay = std::make_unique<standins::FaultRelay>(pool, net::Address {"127.0.0.1", b.port()});
    });
    a.wantAt(b, relay->address().toString());
    ASSERT_TRUE(a.waitForLink("b", LinkState::Up, 1));
    ASSERT_TRUE(b.waitForLink("a", LinkState::Up, 1));
    net::runOn(pool, 0, [&] { relay->silenceOpen(); });
    ASSERT_TRUE(a.waitForLink("b", LinkState::Up, 2));
    EXPECT_TRUE(a.links().send(MemberName("b"), VersionNotice {ConfigVersion {9}}));
    ASSERT_TRUE(b.waitForMessages(1));
    EXPECT_GE(a.links().counters().linksSilent, 1U);
    net::runOn(pool, 0, [&] {
        EXPECT_GE(relay->accepted(), 2);
        relay.reset();
    });
}

TEST(PeerLinks, RestartedPeerIsDialledAgain)
{
    Node a("a");
    std::unique_ptr<Node> b = std::make_unique<Node>("b", 1);
    a.want(*b);
    ASSERT_TRUE(a.waitForLink("b", LinkState::Up, 1));
    b.reset();
    ASSERT_TRUE(a.waitForLink("b", LinkState::Left, 1));
    b = std::make_unique<Node>("b", 2);
    a.want(*b);
    EXPECT_TRUE(a.waitForLink("b", LinkState::Up, 2));
}

TEST(PeerLinks, UnwantedLinkIsClosedByItsDialler)
{
    Node a("a");
    Node b("b");
    a.want(b);
    ASSERT_TRUE(b.waitForLink("a", LinkState::Up, 1));
    a.links().setPeers({});
    EXPECT_TRUE(b.waitForLink("a", LinkState::Left, 1));
    EXPECT_TRUE(a.waitForLink("b", LinkState::Down, 1));
}

TEST(PeerLinks, OtherMemberAtTheAddressIsNotAccepted)
{
    Node a("a");
    Node b("b");
    a.links().setPeers({{MemberName("c"), b.address(), Incarnation {1}, false}});
    ASSERT_TRUE(b.waitForLink("a", LinkState::Down, 2));
    EXPECT_FALSE(a.links().isUp(MemberName("c")));
    EXPECT_FALSE(a.links().isUp(MemberName("b")));
}

TEST(PeerLinks, SeedAddressAcceptsWhoeverAnswers)
{
    Node a("a");
    Node b("b");
    a.links().setPeers({{MemberName("seed"), b.address(), Incarnation {}, true}});
    EXPECT_TRUE(a.waitForLink("b", LinkState::Up, 1));
    EXPECT_TRUE(a.links().isUp(MemberName("b")));
}

TEST(PeerLinks, BadListenAddressIsAnError)
{
    PeerLinks links(greeting("a", 1), {}, {});
    const Result<std::uint16_t> bad = links.listen("nowhere:1");
    ASSERT_FALSE(bad.has_value());
    EXPECT_EQ(bad.error().code, ResultCode::SettingsInvalid);
    Node b("b");
    const Result<std::uint16_t> taken = links.listen(b.address());
    ASSERT_FALSE(taken.has_value());
    EXPECT_EQ(taken.error().code, ResultCode::AddressInUse);
}

} // namespace
} // namespace fescue::peer
