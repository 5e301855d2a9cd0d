#pragma once

#include "fescue/core/result.h"
#include "fescue/net/endpointaddress.h"

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/ip/udp.hpp>

namespace fescue::serving {

// UDP socket that sends and receives datagrams between entry processes. Runs on one worker.
class GossipSocket
{
public:
    using Receiver = std::function<void(std::string_view)>;

    GossipSocket(boost::asio::io_context &context, Receiver receiver);

    // May be called again after a failure. Errors: AddressInUse, AddressUnavailable,
    // SettingsInvalid.
    [[nodiscard]] Result<void> open(const net::Address &address);
    // The address with the port that the kernel chose. Must not be called before open().
    [[nodiscard]] net::Address address() const;
    // Stops receiving.
    void close() noexcept;
    // Sends without blocking. Returns false if the kernel did not accept the datagram; the caller
    // need not retry, since the next datagram contains the current state.
    bool send(const net::Address &peer, std::string_view bytes);

private:
    void receive();
    // Hands a datagram to the receiver; one that fails concerns no other.
    void handle(std::string_view bytes);

    // Maximum length of a received datagram.
    static constexpr std::size_t maxBytes = 16384;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, maxBytes> m_buffer {};
    Receiver m_receiver;
};

} // namespace fescue::serving
