#include "tests/lifecycle/edgesystem.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <iostream>
#include <list>

namespace fescue::test {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t openFileLimit = 300;
// The settings reserve 200 descriptors for files.
constexpr std::size_t descriptorsOfSettings = openFileLimit + 200;
constexpr std::size_t idleConnections = 600;
// Longest time until a new caller is refused while all descriptors for callers are taken.
constexpr Millis refusedWithin = 2_s;

// Connections that send nothing.
class IdleCrowd
{
public:
    IdleCrowd(const net::Address &address, std::size_t n)
    {
        const tcp::endpoint remote(boost::asio::ip::make_address(address.ip), address.port);
        for (std::size_t i = 0; i < n; ++i) {
            boost::system::error_code ec;
            m_sockets.emplace_back(m_context).connect(remote, ec);
            if (ec)
                m_sockets.pop_back();
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_sockets.size(); }
    void close() { m_sockets.clear(); }

private:
    boost::asio::io_context m_context;
    std::list<tcp::socket> m_sockets;
};

} // namespace

// Guards against calls that cannot be passed on because idle connections hold all descriptors.
TEST(Descriptors, IdleConnectionsLeaveRoomForKeptOnes)
{
    EdgeSystem system("descriptors", 1,
                      {.maxDescriptors = descriptorsOfSettings, .openFileLimit = openFileLimit});
    system.startAll();
    RawCaller kept(system.entry(0).front());
    ASSERT_EQ(kept.call("kept", {}).status, 200);
    IdleCrowd idle(system.entry(0).front(), idleConnections);
    constexpr int calls = 40;
    int served = 0;
    for (int i = 0; i < calls; ++i) {
        served += kept.call("kept-" + std::to_string(i), {}).status == 200;
        sleepThread(20_ms);
    }
    RawCaller added(system.entry(0).front());
    const CallRecord refused = added.call("added", {});
    const Millis refusedAfter = refused.endedAt - refused.sentAt;
    std::cout << idle.size() << " idle connections: served " << served << " of " << calls
              << " calls on a kept connection; a new caller saw " << refused.status << " after "
              << refusedAfter.count << " ms\n";
    EXPECT_EQ(served, calls);
    EXPECT_EQ(refused.status, 503);
    EXPECT_FALSE(refused.retryAfter.empty());
    EXPECT_LT(refusedAfter, refusedWithin);
    EXPECT_FALSE(added.isOpen());
    EXPECT_FALSE(system.runOf("added"));
    idle.close();
    sleepThread(500_ms);
    RawCaller later(system.entry(0).front());
    EXPECT_EQ(later.call("later", {}).status, 200);
    EXPECT_FALSE(system.entry(0).hasEnded());
}

} // namespace fescue::test
