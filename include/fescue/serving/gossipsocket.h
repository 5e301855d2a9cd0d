#pragma once

#include "fescue/core/result.h"
#include "fescue/net/endpointaddress.h"

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/ip/udp.hpp>

namespace fescue::serving {

// Sends and receives datagrams between entry processes on one worker.
class GossipSocket
{
public:
    using Receiver = std::function<void(std::string_view)>;

    GossipSocket(boost::asio::io_context &context, Receiver receiver);

    // Errors: AddressInUse, SettingsInvalid.
    [[nodiscard]] Result<void> open(const net::Address &address);
    // Sends without waiting. Returns false where the datagram could not be handed to the kernel;
    // the next one makes up for it.
    bool send(const net::Address &peer, std::string_view bytes);

private:
    void receive();

    // Longest datagram that is taken.
    static constexpr std::size_t maxBytes = 16384;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, maxBytes> m_buffer {};
    Receiver m_receiver;
};

} // namespace fescue::serving
