#include "fescue/serving/memberdatagrams.h"

#include "fescue/serving/storefeed.h"

#include <set>

namespace fescue::serving {

namespace {

std::string datagramOf(DatagramKind kind, std::string_view bytes)
{
    std::string datagram(1, static_cast<char>(kind));
    datagram += bytes;
    return datagram;
}

} // namespace

MemberDatagrams::MemberDatagrams(boost::asio::io_context &context, ServingState &state)
    : m_state(&state), m_socket(context, [this](std::string_view datagram) { receive(datagram); }),
      m_sent(state.metrics.counter("fescue_datagrams_sent_total")),
      m_notSent(state.metrics.counter("fescue_datagrams_not_sent_total")),
      m_malformed(state.metrics.counter("fescue_datagrams_malformed_total"))
{ }

void MemberDatagrams::setHandler(DatagramKind kind, Handler handler)
{
    m_handlers[static_cast<char>(kind)] = std::move(handler);
}

Result<void> MemberDatagrams::open()
{
    if (m_isOpen)
        return {};
    Result<void> opened = m_socket.open(m_state->settings.peerAddress);
    m_isOpen = opened.has_value();
    return opened;
}

void MemberDatagrams::close() noexcept
{
    m_socket.close();
    m_isOpen = false;
}

bool MemberDatagrams::sendDatagram(const MemberInfo &member, const std::string &datagram)
{
    if (member.name == m_state->settings.name)
        return false;
    const Result<net::Address> address = net::parseAddress(member.peerAddress);
    const bool sent = address && m_socket.send(*address, datagram);
    (sent ? m_sent : m_notSent).Increment();
    return sent;
}

bool MemberDatagrams::send(const MemberInfo &member, DatagramKind kind, std::string_view bytes)
{
    return sendDatagram(member, datagramOf(kind, bytes));
}

bool MemberDatagrams::send(const MemberName &member, DatagramKind kind, std::string_view bytes)
{
    const MemberInfo *info = m_state->members.find(ServingState::now(), member);
    return info != nullptr && send(*info, kind, bytes);
}

void MemberDatagrams::send(std::span<const MemberView *const> members, DatagramKind kind,
                           std::string_view bytes)
{
    const std::string datagram = datagramOf(kind, bytes);
    for (const MemberView *member : members)
        sendDatagram(member->info, datagram);
}

void MemberDatagrams::spread(DatagramKind kind, std::span<const std::string> messages,
                             bool toOtherZones)
{
    const std::vector<MemberView> members = m_state->members.members(ServingState::now());
    const NodeSettings &settings = m_state->settings;
    const bool all = !m_state->isLarge();
    const std::set<MemberName> relays =
        !all && toOtherZones ? FeedPolicy::relays(settings.name, members) : std::set<MemberName>();
    std::vector<const MemberView *> receivers;
    for (const MemberView &member : members) {
        const bool sameZone = member.info.zone == settings.zone;
        if (all || sameZone || relays.contains(member.info.name))
            receivers.push_back(&member);
    }
    for (const std::string &message : messages)
        send(receivers, kind, message);
}

void MemberDatagrams::receive(std::string_view datagram)
{
    const auto it = datagram.empty() ? m_handlers.end() : m_handlers.find(datagram.front());
    if (it == m_handlers.end() || !it->second(datagram.substr(1)))
        m_malformed.Increment();
}

} // namespace fescue::serving
