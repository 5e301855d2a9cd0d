#include "fescue/serving/gossip.h"
#include "tests/clients/clientscripts.h"
#include "tests/clients/processmeter.h"
#include "tests/lifecycle/edgesystem.h"

#include <csignal>
#include <gtest/gtest.h>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace fescue::test {

namespace {

constexpr std::size_t megabyte = std::size_t {1024} * 1024;
// The smallest VM of the deployments.
constexpr std::size_t memoryMegabytes = 88;
// Lower than any VM has, so that a small crowd shows what the kernel holds for it.
constexpr std::size_t lowMemoryMegabytes = 48;
constexpr std::size_t kernelClients = 256;
constexpr std::size_t maxDescriptors = 600;
// Of the descriptors the platform reserves 200 for files; sockets and pipes share the others.
constexpr std::size_t maxConnections = maxDescriptors - 200;
// Clients of a crowd that sends bodies or takes large answers, of one that sends heads, and of one
// that sends nothing.
constexpr std::size_t bodyClients = 64;
constexpr std::size_t headClients = 256;
constexpr std::size_t idleClients = 500;
constexpr std::size_t mixedClients = 336;
constexpr std::size_t datagrams = 40000;
constexpr std::size_t largeAnswerBytes = 4 * megabyte;
// Limit on the arrival of a request. Slow clients take longer.
constexpr Millis headTimeout = 1_s;
// Time for which a crowd stays after its last byte.
constexpr Millis stayTime = 300_ms;
// Ends a test that waits for an answer that does not come.
constexpr Millis patience = 30_s;
constexpr Millis pollPause = 50_ms;

std::vector<ClientCrowd::Target> targetsOf(const soak::EntryProcess &process,
                                           std::initializer_list<ClientKind> kinds,
                                           std::span<const Door> doors)
{
    std::vector<ClientCrowd::Target> targets;
    for (const ClientKind kind : kinds) {
        for (const Door door : doors) {
            const bool isFront = door == Door::Post || door == Door::Read || door == Door::Draft
                || door == Door::NoRoute;
            const net::Address address = isFront ? process.front()
                : door == Door::Ready            ? process.ready()
                : door == Door::Directory        ? process.directory()
                : door == Door::Metrics          ? process.metrics()
                                                 : process.peer();
            targets.push_back({address, scriptOf(kind, door)});
        }
    }
    return targets;
}

// One process with lowered limits, before services whose reads have large answers.
class CrowdedSystem
{
public:
    explicit CrowdedSystem(std::string_view name, std::size_t megabytes = memoryMegabytes)
        : m_limit(megabytes * megabyte),
          m_system("clients-" + std::string(name), 1,
                   {.memoryMegabytes = megabytes, .maxDescriptors = maxDescriptors})
    {
        m_system.setHeadTimeout(headTimeout);
        m_system.setReadAnswerBytes(largeAnswerBytes);
        m_system.startAll();
        m_meter.emplace(process().pid(), process().options().ip);
    }

    [[nodiscard]] EdgeSystem &system() noexcept { return m_system; }
    [[nodiscard]] soak::EntryProcess &process() { return m_system.entry(0); }

    // The process lives, and stayed within its limits.
    void expectWithinLimits(std::string_view what)
    {
        ASSERT_FALSE(process().hasEnded()) << what << ": ended with " << process().lastStatus();
        const std::uint64_t peak = process().peakResidentBytes();
        const ProcessUse most = m_meter->most();
        std::cout << what << ": resident at most " << peak / megabyte << " MB, with unread bytes "
                  << most.bytes / megabyte << " MB, " << most.connections << " connections\n";
        EXPECT_LT(peak, m_limit) << what;
        EXPECT_LT(most.bytes, m_limit) << what;
        EXPECT_LE(most.connections, maxConnections) << what;
    }

    // The process stays within its limit also with the bytes that it has sent and nobody took.
    void expectWithinLimitsWithUnsent(std::string_view what)
    {
        ASSERT_NO_FATAL_FAILURE(expectWithinLimits(what));
        const std::uint64_t most = m_meter->most().bytesWithUnsent;
        std::cout << what << ": with unsent bytes " << most / megabyte << " MB\n";
        EXPECT_LT(most, m_limit) << what;
    }

    // An ordinary request and the check of the readiness are answered.
    void expectOrdinaryServed(std::string_view what)
    {
        EXPECT_TRUE(m_system.waitUntilReady(0, patience)) << what;
        const Millis until = SteadyClock {}.now() + patience;
        int status = 0;
        while (status != 200 && SteadyClock {}.now() < until) {
            RawCaller caller(process().front());
            status = caller.call("ordinary-" + std::to_string(++m_calls), {}).status;
            if (status != 200)
                sleepThread(pollPause);
        }
        EXPECT_EQ(status, 200) << what;
    }

private:
    std::size_t m_limit;
    EdgeSystem m_system;
    std::optional<ProcessMeter> m_meter;
    std::size_t m_calls = 0;
};

// Lets a crowd of one kind come to each address in turn.
void expectBounded(std::string_view name, ClientKind kind, std::size_t clients)
{
    CrowdedSystem crowded(name);
    for (const Door door : allDoors) {
        const std::string_view what = nameOf(door);
        {
            ClientCrowd crowd(targetsOf(crowded.process(), {kind}, {&door, 1}), clients);
            crowd.waitUntilSettled();
            sleepThread(stayTime);
        }
        ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimits(what));
        crowded.expectOrdinaryServed(what);
        if (testing::Test::HasFailure())
            break;
    }
}

// Lets a crowd of one kind come to the addresses in turn, and counts what the kernel holds.
void expectKernelBounded(std::string_view name, ClientKind kind, std::span<const Door> doors)
{
    CrowdedSystem crowded(name, lowMemoryMegabytes);
    for (const Door door : doors) {
        const std::string_view what = nameOf(door);
        {
            ClientCrowd crowd(targetsOf(crowded.process(), {kind}, {&door, 1}), kernelClients);
            crowd.waitUntilSettled();
            sleepThread(stayTime);
        }
        ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimitsWithUnsent(what));
        crowded.expectOrdinaryServed(what);
        if (testing::Test::HasFailure())
            break;
    }
}

constexpr std::array<Door, 2> kernelDoors {Door::Read, Door::Ready};

constexpr std::initializer_list<ClientKind> mixedKinds {ClientKind::WholeBodies,
                                                        ClientKind::OneByteChunks,
                                                        ClientKind::BodiesThatStopShort,
                                                        ClientKind::ChunksOverLimit,
                                                        ClientKind::ManyFields,
                                                        ClientKind::ManyQueryFields,
                                                        ClientKind::ChunkExtensions,
                                                        ClientKind::RequestsSentAhead,
                                                        ClientKind::UnreadAnswers,
                                                        ClientKind::SlowHeads,
                                                        ClientKind::SlowBodies,
                                                        ClientKind::HalfClosed,
                                                        ClientKind::Reset,
                                                        ClientKind::Idle};

} // namespace

// Guards against a process over its memory because many bodies of legal size arrive at once.
TEST(Clients, WholeBodies)
{
    expectBounded("whole", ClientKind::WholeBodies, bodyClients);
}

TEST(Clients, BodiesInPieces)
{
    expectBounded("pieces", ClientKind::BodiesInPieces, bodyClients);
}

TEST(Clients, ChunksOfOneByte)
{
    expectBounded("small-chunks", ClientKind::OneByteChunks, bodyClients);
}

// Guards against bodies that are held until a time limit because their last byte does not come.
TEST(Clients, BodiesThatStopShort)
{
    expectBounded("short", ClientKind::BodiesThatStopShort, bodyClients);
}

TEST(Clients, ChunksThatStopShort)
{
    expectBounded("short-chunks", ClientKind::ChunksThatStopShort, bodyClients);
}

TEST(Clients, AnnouncedOverLimit)
{
    expectBounded("announced", ClientKind::AnnouncedOverLimit, bodyClients);
}

TEST(Clients, ChunksOverLimit)
{
    expectBounded("over", ClientKind::ChunksOverLimit, bodyClients);
}

// Guards against fields that take much more memory when parsed than on the wire.
TEST(Clients, ManyFields)
{
    expectBounded("fields", ClientKind::ManyFields, headClients);
}

TEST(Clients, ManyQueryFields)
{
    expectBounded("queries", ClientKind::ManyQueryFields, headClients);
}

TEST(Clients, ManyJsonFields)
{
    expectBounded("json", ClientKind::ManyJsonFields, bodyClients);
}

TEST(Clients, ManyPromptParts)
{
    expectBounded("parts", ClientKind::ManyPromptParts, headClients);
}

TEST(Clients, ChunkExtensions)
{
    expectBounded("extensions", ClientKind::ChunkExtensions, bodyClients);
}

TEST(Clients, ManyTrailers)
{
    expectBounded("trailers", ClientKind::ManyTrailers, headClients);
}

// Guards against requests that the kernel holds because nobody reads the answers to earlier ones.
TEST(Clients, RequestsSentAhead)
{
    expectBounded("ahead", ClientKind::RequestsSentAhead, bodyClients);
}

// Guards against answers that are held because nobody reads them.
TEST(Clients, UnreadAnswers)
{
    expectBounded("unread", ClientKind::UnreadAnswers, bodyClients);
}

TEST(Clients, SlowHeads)
{
    expectBounded("slow-heads", ClientKind::SlowHeads, headClients);
}

TEST(Clients, SlowBodies)
{
    expectBounded("slow-bodies", ClientKind::SlowBodies, bodyClients);
}

TEST(Clients, SlowReads)
{
    expectBounded("slow-reads", ClientKind::SlowReads, bodyClients);
}

TEST(Clients, HalfClosed)
{
    expectBounded("half", ClientKind::HalfClosed, bodyClients);
}

TEST(Clients, Reset)
{
    expectBounded("reset", ClientKind::Reset, bodyClients);
}

// Guards against descriptors that are all held by connections that send nothing.
TEST(Clients, Idle)
{
    expectBounded("idle", ClientKind::Idle, idleClients);
}

// Guards against callers that find no connection because a crowd from one IP number holds all.
TEST(Clients, OrdinaryOnesAreServedBesideIdleOnes)
{
    CrowdedSystem crowded("beside");
    constexpr std::array<Door, 2> doors {Door::Post, Door::Ready};
    ClientCrowd crowd(targetsOf(crowded.process(), {ClientKind::Idle}, doors), 2 * idleClients);
    crowd.waitUntilSettled();
    crowded.expectOrdinaryServed("beside");
    ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimits("beside"));
}

// Guards against the same for all kinds at all addresses at once.
TEST(Clients, Mixed)
{
    CrowdedSystem crowded("mixed");
    {
        ClientCrowd crowd(targetsOf(crowded.process(), mixedKinds, allDoors), mixedClients);
        crowd.waitUntilSettled();
        sleepThread(stayTime);
    }
    ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimits("mixed"));
    crowded.expectOrdinaryServed("mixed");
}

// Guards against a process that cannot end because of its clients.
TEST(Clients, MixedBesideStop)
{
    CrowdedSystem crowded("stop");
    ClientCrowd crowd(targetsOf(crowded.process(), mixedKinds, allDoors), mixedClients);
    sleepThread(stayTime);
    ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimits("before the stop"));
    crowded.process().signal(SIGTERM);
    EXPECT_TRUE(crowded.system().waitUntilEnded(0, patience));
    EXPECT_EQ(crowded.process().lastStatus(), 0);
}

TEST(Clients, MixedBesideReload)
{
    CrowdedSystem crowded("reload");
    {
        ClientCrowd crowd(targetsOf(crowded.process(), mixedKinds, allDoors), mixedClients);
        crowded.process().writeSettings(2);
        crowded.process().signal(SIGHUP);
        crowd.waitUntilSettled();
        sleepThread(stayTime);
    }
    ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimits("reload"));
    crowded.expectOrdinaryServed("reload");
}

TEST(Clients, MixedBesideOutageOfTheStore)
{
    CrowdedSystem crowded("outage");
    crowded.system().setStoreMode(soak::StoreMode::Hang);
    {
        ClientCrowd crowd(targetsOf(crowded.process(), mixedKinds, allDoors), mixedClients);
        crowd.waitUntilSettled();
        sleepThread(stayTime);
    }
    crowded.system().setStoreMode(soak::StoreMode::Serve);
    ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimits("outage"));
    crowded.expectOrdinaryServed("outage");
}

// Guards against requests that the kernel holds while earlier ones are served, in small memory.
TEST(Clients, KernelHoldsFewRequestsSentAhead)
{
    expectKernelBounded("kernel-ahead", ClientKind::RequestsSentAhead, kernelDoors);
}

// Guards against bodies that arrive faster than they are read.
TEST(Clients, KernelHoldsFewBytesOfBodies)
{
    expectKernelBounded("kernel-bodies", ClientKind::BodiesThatStopShort, kernelDoors);
}

// Guards against answers that the kernel holds because nobody reads them.
TEST(Clients, KernelHoldsFewBytesOfUnreadAnswers)
{
    expectKernelBounded("kernel-answers", ClientKind::UnreadAnswers, kernelDoors);
}

// Guards against tables that grow with each name in a datagram.
TEST(Clients, Datagrams)
{
    using boost::asio::ip::udp;
    CrowdedSystem crowded("datagrams");
    boost::asio::io_context context;
    udp::socket socket(context, udp::endpoint(udp::v4(), 0));
    const net::Address peer = crowded.process().peer();
    const udp::endpoint remote(boost::asio::ip::make_address(peer.ip), peer.port);
    std::size_t sent = 0;
    for (std::size_t i = 0; i < datagrams; ++i) {
        serving::Gossip gossip;
        const std::string name = "stranger-" + std::to_string(i);
        gossip.member.name = MemberName(name);
        gossip.member.zone = ZoneName(name);
        gossip.member.peerAddress = "127.0.0.3:9";
        for (std::size_t j = 0; j < 20; ++j) {
            const std::string part = name + '-' + std::to_string(j);
            gossip.retries.push_back({ServiceName(part), 1});
            gossip.refusingEndpoints.push_back({EndpointName(part), Incarnation {1}});
            gossip.leaving.push_back({EndpointName(part), Incarnation {1}});
        }
        const std::array<std::string, 4> texts {'G' + serving::encodeGossip(gossip), "N{", "Q[",
                                                std::string(1400, '\xff')};
        boost::system::error_code ec;
        sent += socket.send_to(boost::asio::buffer(texts[i % texts.size()]), remote, 0, ec) > 0;
    }
    EXPECT_EQ(sent, datagrams);
    crowded.expectOrdinaryServed("datagrams");
    ASSERT_NO_FATAL_FAILURE(crowded.expectWithinLimits("datagrams"));
}

} // namespace fescue::test
