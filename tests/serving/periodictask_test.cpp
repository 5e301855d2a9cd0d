#include "fescue/serving/gossipsocket.h"
#include "tests/serving/onworker.h"

#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace {

using namespace fescue;
using namespace fescue::serving;

// Guards against a process that ends, or gets no more datagrams, after one that its receiver cannot
// handle.
TEST(GossipSocketTest, ReceivesAfterAnErrorOfTheReceiver)
{
    using boost::asio::ip::udp;
    net::WorkerPool pool(1);
    std::vector<std::string> received;
    std::unique_ptr<GossipSocket> socket;
    boost::asio::io_context context;
    const udp::endpoint anyPort(boost::asio::ip::make_address("127.0.0.1"), 0);
    // A port that is free now; the socket under test does not tell which one it got.
    const std::uint16_t port = udp::socket(context, anyPort).local_endpoint().port();
    test::runOnWorker(pool, [&] {
        socket = std::make_unique<GossipSocket>(pool.context(0), [&](std::string_view bytes) {
            received.emplace_back(bytes);
            if (bytes == "odd")
                throw std::runtime_error("scripted");
        });
        EXPECT_TRUE(socket->open({"127.0.0.1", port}));
    });
    udp::socket sender(context, anyPort);
    for (const char *bytes : {"odd", "good"})
        sender.send_to(boost::asio::buffer(bytes, std::strlen(bytes)),
                       udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    test::runOnWorker(pool, [&] {
        for (int n = 0; n < 1'000 && received.size() < 2; ++n)
            net::sleepFor(5_ms);
    });
    EXPECT_EQ(received, (std::vector<std::string> {"odd", "good"}));
    pool.stop();
    pool.join();
}

} // namespace
