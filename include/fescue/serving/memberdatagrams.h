#pragma once

#include "fescue/serving/gossipsocket.h"
#include "fescue/serving/servingstate.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace fescue::serving {

// First byte of each datagram between entry processes.
enum class DatagramKind : char
{
    Gossip = 'G',
    StoreUpdate = 'N',
    Leaving = 'L',
    ZoneLoads = 'Z',
    Quarantine = 'Q',
    LoadChange = 'C',
    Rollout = 'R',
    Slot = 'S',
};

// Sends datagrams to the other entry processes, and hands those that arrive to the part of this
// process that their kind belongs to. Runs on the one worker.
class MemberDatagrams
{
public:
    // Handles the datagram that follows its kind. Returns false if it is malformed.
    using Handler = std::function<bool(std::string_view)>;

    MemberDatagrams(boost::asio::io_context &context, ServingState &state);

    // Datagrams of a kind without a handler count as malformed.
    void setHandler(DatagramKind kind, Handler handler);
    // Receives from now on. May be called again after a failure; see GossipSocket::open().
    [[nodiscard]] Result<void> open();
    void close() noexcept;
    [[nodiscard]] net::Address address() const { return m_socket.address(); }

    // Sends to a member. Returns false if that fails, or if the member is this process or unknown.
    bool send(const MemberInfo &member, DatagramKind kind, std::string_view bytes);
    bool send(const MemberName &member, DatagramKind kind, std::string_view bytes);
    void send(std::span<const MemberView *const> members, DatagramKind kind,
              std::string_view bytes);
    // Sends to all members. In a large system sends to those of this zone and, if `toOtherZones`,
    // to the relays of the other zones, which forward the messages.
    void spread(DatagramKind kind, std::span<const std::string> messages, bool toOtherZones);

private:
    bool sendDatagram(const MemberInfo &member, const std::string &datagram);
    void receive(std::string_view datagram);

    ServingState *m_state;
    GossipSocket m_socket;
    bool m_isOpen = false;
    std::map<char, Handler> m_handlers;
    observe::Counter &m_sent;
    observe::Counter &m_notSent;
    observe::Counter &m_malformed;
};

} // namespace fescue::serving
