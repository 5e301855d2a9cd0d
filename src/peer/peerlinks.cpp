#include "fescue/peer/peerlinks.h"

#include "fescue/peer/codec.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace fescue::peer {

namespace {

namespace asio = boost::asio;

constexpr long dialTimeoutMs = 1000;

// Configuration of both roles, so that accepted and dialled connections have one type. No
// extension is configured; enable_extensions stays on, since without it this client refuses every
// handshake.
// The names are the library's.
// NOLINTBEGIN(readability-identifier-naming)
struct LinkConfig : public websocketpp::config::asio_client
{
    using type = LinkConfig;
    using base = websocketpp::config::asio_client;

    struct transport_config : public base::transport_config
    {
        static const long timeout_socket_post_init = dialTimeoutMs;
        static const long timeout_connect = dialTimeoutMs;
        static const long timeout_socket_shutdown = dialTimeoutMs;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    static const long timeout_open_handshake = dialTimeoutMs;
    static const long timeout_close_handshake = dialTimeoutMs;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    static const std::size_t max_message_size = maxMessageBytes;
    static const std::size_t max_http_body_size = 4096;
    static const bool silent_close = true;
};
// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<LinkConfig>;
using Client = websocketpp::client<LinkConfig>;
using Connection = Server::connection_type;
static_assert(std::is_same_v<Connection, Client::connection_type>);

struct SentHeartbeat
{
    std::uint64_t number = 0;
    Millis at;
};

constexpr std::size_t maxSentHeartbeats = 16;

// One WebSocket connection, from the dial or the accept on.
struct Link
{
    Connection::ptr connection;
    // The member that was dialled; none for an accepted link.
    std::optional<MemberName> dialled;
    // The greeting of the other side, once it has come.
    std::optional<Hello> remote;
    // Set once the connection is open.
    std::optional<LinkMonitor> monitor;
    // The latest heartbeats that were sent, oldest first.
    std::deque<SentHeartbeat> sent;

    // The member at the other end, as far as it is known.
    [[nodiscard]] std::optional<MemberName> member() const
    {
        return remote ? std::optional<MemberName>(remote->member) : dialled;
    }
};

using LinkPtr = std::shared_ptr<Link>;

struct Target
{
    PeerTarget peer;
    ReconnectTimer reconnect;
};

std::optional<asio::ip::tcp::endpoint> parseAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == address.size())
        return std::nullopt;
    boost::system::error_code ec;
    const asio::ip::address ip =
        asio::ip::make_address(std::string(address.substr(0, colon)).c_str(), ec);
    if (ec)
        return std::nullopt;
    std::uint32_t port = 0;
    for (const char digit : address.substr(colon + 1)) {
        if (digit < '0' || digit > '9' || port > 65535)
            return std::nullopt;
        port = port * 10 + static_cast<std::uint32_t>(digit - '0');
    }
    if (port > 65535)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

} // namespace

// The thread of the links owns connections and timers. m_mutex guards the tables, which other
// threads read; no callback runs while it is held.
class PeerLinks::Impl
{
public:
    Impl(Hello self, LinkOptions options, LinkCallbacks callbacks)
        : m_self(std::move(self)), m_options(options), m_callbacks(std::move(callbacks)),
          m_work(asio::make_work_guard(m_io)), m_timer(m_io), m_random(std::random_device {}())
    {
        m_server.init_asio(&m_io);
        m_client.init_asio(&m_io);
        m_server.set_reuse_addr(true);
        m_server.set_validate_handler(
            [this](const websocketpp::connection_hdl &) { return mayAccept(); });
        m_server.set_open_handler(
            [this](const websocketpp::connection_hdl &handle) { accepted(handle); });
        m_server.set_tcp_post_init_handler([this](const websocketpp::connection_hdl &handle) {
            setNoDelay(m_server.get_con_from_hdl(handle));
        });
        m_client.set_tcp_post_init_handler([this](const websocketpp::connection_hdl &handle) {
            setNoDelay(m_client.get_con_from_hdl(handle));
        });
    }

    Result<std::uint16_t> listen(std::string_view address);
    void start();
    void stop();
    void abandon();
    void setPeers(std::vector<PeerTarget> targets);
    bool send(const MemberName &member, const Message &message);
    std::size_t broadcast(const Message &message);

    bool isUp(const MemberName &member) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_byMember.contains(member);
    }

    std::vector<MemberName> upMembers() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<MemberName> members;
        members.reserve(m_byMember.size());
        for (const std::pair<const MemberName, LinkPtr> &entry : m_byMember)
            members.push_back(entry.first);
        return members;
    }

    LinkCounters counters() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_counters;
    }

    const Hello &self() const noexcept { return m_self; }

private:
    static void setNoDelay(const Connection::ptr &connection)
    {
        boost::system::error_code ec;
        connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ec);
    }

    bool mayAccept() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return !m_stopping && m_links.size() < m_options.maxLinks;
    }

    void run();
    void accepted(const websocketpp::connection_hdl &handle);
    void attach(const LinkPtr &link);
    void opened(const LinkPtr &link);
    void received(const LinkPtr &link, const std::string &bytes);
    void heartbeatReceived(const LinkPtr &link, const Heartbeat &heartbeat);
    void greeted(const LinkPtr &link, const Hello &hello);
    bool acceptsAny(const Link &link) const;
    bool replaces(const Link &fresh, const Link &existing) const;
    void closed(const LinkPtr &link, LinkState state = LinkState::Down);
    void drop(const LinkPtr &link);
    void closeWith(const LinkPtr &link, GoodbyeReason reason);
    LinkPtr forget(const LinkPtr &link, bool &wasUp);
    void write(const LinkPtr &link, const std::string &bytes);
    void sendNow(const LinkPtr &link, const Message &message);
    void count(const Message &message, std::size_t bytes);
    void scheduleTick();
    void tick();
    void checkLink(const LinkPtr &link, Millis now);
    void sendHeartbeat(const LinkPtr &link, Millis now);
    void dialMissing(Millis now);
    void dial(const PeerTarget &target);
    void dialFailed(const MemberName &member);
    void closeUnwanted(const std::set<MemberName> &wanted);

    Hello m_self;
    const LinkOptions m_options;
    const LinkCallbacks m_callbacks;
    const SteadyClock m_clock;

    asio::io_context m_io {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    Server m_server;
    Client m_client;
    asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::thread m_thread;
    std::atomic<bool> m_stopping {false};

    mutable std::mutex m_mutex;
    std::set<LinkPtr> m_links;
    std::map<MemberName, LinkPtr> m_byMember;
    std::map<MemberName, Target> m_targets;
    LinkCounters m_counters;
};

Result<std::uint16_t> PeerLinks::Impl::listen(std::string_view address)
{
    const std::optional<asio::ip::tcp::endpoint> endpoint = parseAddress(address);
    if (!endpoint)
        return fail(ResultCode::SettingsInvalid,
                    "not an IP number with a port: " + std::string(address));
    websocketpp::lib::error_code ec;
    m_server.listen(*endpoint, ec);
    if (ec)
        return fail(ResultCode::AddressInUse,
                    "cannot listen on " + std::string(address) + ": " + ec.message());
    boost::system::error_code localEc;
    const asio::ip::tcp::endpoint local = m_server.get_local_endpoint(localEc);
    m_self.peerAddress = local.address().to_string() + ":" + std::to_string(local.port());
    m_server.start_accept(ec);
    if (ec)
        return fail(ResultCode::Internal, "cannot accept links: " + ec.message());
    return local.port();
}

void PeerLinks::Impl::start()
{
    scheduleTick();
    m_thread = std::thread([this] { run(); });
}

void PeerLinks::Impl::run()
{
    while (!m_io.stopped()) {
        try {
            m_io.run();
        } catch (const std::exception &) {
            // A handler of the library threw; its connection ends by silence.
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_counters.handlerFailures;
        }
    }
}

void PeerLinks::Impl::stop()
{
    if (m_stopping.exchange(true))
        return;
    if (!m_thread.joinable())
        return;
    asio::post(m_io, [this] {
        websocketpp::lib::error_code ec;
        m_server.stop_listening(ec);
        std::set<LinkPtr> links;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            links = m_links;
        }
        for (const LinkPtr &link : links)
            closeWith(link, GoodbyeReason::Leaving);
        // Lets the last frames leave; what is still open then is cut.
        constexpr std::chrono::milliseconds flushTime {100};
        m_timer.expires_after(flushTime);
        m_timer.async_wait([this](const boost::system::error_code &) { m_io.stop(); });
    });
    m_thread.join();
}

void PeerLinks::Impl::abandon()
{
    if (m_stopping.exchange(true) || !m_thread.joinable())
        return;
    m_io.stop();
    m_thread.join();
}

void PeerLinks::Impl::setPeers(std::vector<PeerTarget> targets)
{
    std::set<MemberName> wanted;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::map<MemberName, Target> next;
        for (PeerTarget &peer : targets) {
            if (peer.member == m_self.member)
                continue;
            wanted.insert(peer.member);
            const std::map<MemberName, Target>::iterator old = m_targets.find(peer.member);
            const bool same = old != m_targets.end() && old->second.peer == peer;
            const MemberName member = peer.member;
            next.insert_or_assign(
                member,
                same ? old->second : Target {std::move(peer), ReconnectTimer(m_options.redial)});
        }
        m_targets.swap(next);
    }
    asio::post(m_io, [this, wanted = std::move(wanted)] {
        closeUnwanted(wanted);
        dialMissing(m_clock.now());
    });
}

void PeerLinks::Impl::closeUnwanted(const std::set<MemberName> &wanted)
{
    std::vector<LinkPtr> unwanted;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const LinkPtr &link : m_links) {
            const bool known = link->dialled && wanted.contains(*link->dialled);
            if (link->dialled && !known && !wanted.contains(*link->member()))
                unwanted.push_back(link);
        }
    }
    for (const LinkPtr &link : unwanted)
        closeWith(link, GoodbyeReason::NotWanted);
}

bool PeerLinks::Impl::send(const MemberName &member, const Message &message)
{
    std::string bytes = encode(message);
    if (bytes.size() > maxMessageBytes)
        return false;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<MemberName, LinkPtr>::iterator it = m_byMember.find(member);
    if (it == m_byMember.end() || m_stopping)
        return false;
    count(message, bytes.size());
    asio::post(m_io, [this, link = it->second, bytes = std::move(bytes)] { write(link, bytes); });
    return true;
}

std::size_t PeerLinks::Impl::broadcast(const Message &message)
{
    std::size_t n = 0;
    for (const MemberName &member : upMembers()) {
        if (send(member, message))
            ++n;
    }
    return n;
}

// Needs m_mutex.
void PeerLinks::Impl::count(const Message &message, std::size_t bytes)
{
    TrafficCount &traffic = m_counters.sent[message.index()];
    ++traffic.messages;
    traffic.bytes += bytes;
}

void PeerLinks::Impl::sendNow(const LinkPtr &link, const Message &message)
{
    const std::string bytes = encode(message);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        count(message, bytes.size());
    }
    write(link, bytes);
}

void PeerLinks::Impl::write(const LinkPtr &link, const std::string &bytes)
{
    if (link->connection->get_buffered_amount() > m_options.maxBufferedBytes) {
        drop(link);
        return;
    }
    // A failed write closes the connection, which the close handler reports.
    static_cast<void>(link->connection->send(bytes, websocketpp::frame::opcode::binary));
}

void PeerLinks::Impl::accepted(const websocketpp::connection_hdl &handle)
{
    const LinkPtr link = std::make_shared<Link>();
    link->connection = m_server.get_con_from_hdl(handle);
    attach(link);
    opened(link);
}

void PeerLinks::Impl::attach(const LinkPtr &link)
{
    const std::weak_ptr<Link> weak = link;
    link->connection->set_message_handler(
        [this, weak](const websocketpp::connection_hdl &, const Connection::message_ptr &message) {
            if (const LinkPtr self = weak.lock())
                received(self, message->get_payload());
        });
    const std::function<void(websocketpp::connection_hdl)> ended =
        [this, weak](const websocketpp::connection_hdl &) {
            if (const LinkPtr self = weak.lock())
                closed(self);
        };
    link->connection->set_close_handler(ended);
    link->connection->set_fail_handler(ended);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_links.insert(link);
}

void PeerLinks::Impl::opened(const LinkPtr &link)
{
    link->monitor.emplace(m_clock.now(), m_options.limits);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counters.linksOpened;
    }
    sendNow(link, m_self);
}

void PeerLinks::Impl::received(const LinkPtr &link, const std::string &bytes)
{
    if (link->monitor)
        link->monitor->received(m_clock.now());
    const Result<Message> message = decode(bytes);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_links.contains(link))
            return;
        if (message) {
            TrafficCount &traffic = m_counters.received[message->index()];
            ++traffic.messages;
            traffic.bytes += bytes.size();
        } else {
            ++m_counters.messagesRejected;
        }
    }
    if (!message) {
        drop(link);
        return;
    }
    if (const Hello *hello = std::get_if<Hello>(&*message)) {
        greeted(link, *hello);
        return;
    }
    if (!link->remote) {
        drop(link);
        return;
    }
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&*message)) {
        heartbeatReceived(link, *heartbeat);
        return;
    }
    if (const Goodbye *goodbye = std::get_if<Goodbye>(&*message)) {
        const bool duplicate = goodbye->reason == GoodbyeReason::Duplicate;
        closed(link, duplicate ? LinkState::Down : LinkState::Left);
        return;
    }
    if (m_callbacks.onMessage)
        m_callbacks.onMessage(link->remote->member, *message);
}

void PeerLinks::Impl::heartbeatReceived(const LinkPtr &link, const Heartbeat &heartbeat)
{
    link->monitor->received(m_clock.now(), LinkHeartbeat {heartbeat.number, heartbeat.received});
    std::optional<Millis> askedAt;
    for (const SentHeartbeat &sent : link->sent) {
        if (sent.number <= heartbeat.received)
            askedAt = sent.at;
    }
    if (m_callbacks.onHeartbeat)
        m_callbacks.onHeartbeat(link->remote->member, heartbeat, askedAt);
}

bool PeerLinks::Impl::acceptsAny(const Link &link) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<MemberName, Target>::const_iterator it = m_targets.find(*link.dialled);
    return it != m_targets.end() && it->second.peer.anyMember;
}

bool PeerLinks::Impl::replaces(const Link &fresh, const Link &existing) const
{
    if (fresh.remote->incarnation != existing.remote->incarnation)
        return fresh.remote->incarnation > existing.remote->incarnation;
    const bool freshIsOurs = fresh.dialled.has_value();
    const bool existingIsOurs = existing.dialled.has_value();
    if (freshIsOurs == existingIsOurs)
        return true;
    const bool ownIsLower = m_self.member < fresh.remote->member;
    return freshIsOurs == ownIsLower;
}

void PeerLinks::Impl::greeted(const LinkPtr &link, const Hello &hello)
{
    const bool otherProcess = link->dialled && *link->dialled != hello.member && !acceptsAny(*link);
    if (link->remote || hello.member == m_self.member) {
        drop(link);
        return;
    }
    if (otherProcess) {
        // The own greeting may still be in the queue; a close lets it leave first.
        closed(link);
        return;
    }
    link->remote = hello;
    LinkPtr loser;
    bool restarted = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        LinkPtr &slot = m_byMember[hello.member];
        if (slot && !replaces(*link, *slot)) {
            loser = link;
        } else {
            restarted = slot && slot->remote->incarnation != hello.incarnation;
            loser = std::exchange(slot, link);
        }
        const std::map<MemberName, Target>::iterator target = m_targets.find(hello.member);
        if (target != m_targets.end())
            target->second.reconnect.established();
    }
    if (loser != link && (!loser || restarted) && m_callbacks.onLink) {
        if (restarted)
            m_callbacks.onLink(*loser->remote, LinkState::Down);
        m_callbacks.onLink(hello, LinkState::Up);
    }
    if (loser)
        closeWith(loser, GoodbyeReason::Duplicate);
}

// Takes a link out of the tables; wasUp says whether it carried its member. Returns null where it
// was out already.
LinkPtr PeerLinks::Impl::forget(const LinkPtr &link, bool &wasUp)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    wasUp = false;
    if (m_links.erase(link) == 0)
        return nullptr;
    if (link->remote) {
        const std::map<MemberName, LinkPtr>::iterator it = m_byMember.find(link->remote->member);
        if (it != m_byMember.end() && it->second == link) {
            m_byMember.erase(it);
            wasUp = true;
        }
    }
    return link;
}

void PeerLinks::Impl::closed(const LinkPtr &link, LinkState state)
{
    bool wasUp = false;
    if (!forget(link, wasUp))
        return;
    if (wasUp)
        dialFailed(link->remote->member);
    if (link->dialled)
        dialFailed(*link->dialled);
    if (wasUp && m_callbacks.onLink)
        m_callbacks.onLink(*link->remote, state);
    websocketpp::lib::error_code ec;
    link->connection->close(websocketpp::close::status::normal, "", ec);
}

void PeerLinks::Impl::drop(const LinkPtr &link)
{
    closed(link);
    if (link->monitor)
        link->connection->terminate(websocketpp::lib::error_code {});
}

void PeerLinks::Impl::closeWith(const LinkPtr &link, GoodbyeReason reason)
{
    if (link->monitor)
        sendNow(link, Goodbye {reason});
    closed(link);
}

void PeerLinks::Impl::dialFailed(const MemberName &member)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<MemberName, Target>::iterator it = m_targets.find(member);
    if (it == m_targets.end())
        return;
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    it->second.reconnect.lost(m_clock.now(), uniform(m_random));
}

void PeerLinks::Impl::scheduleTick()
{
    m_timer.expires_after(std::chrono::milliseconds(m_options.tickInterval.count));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec || m_stopping)
            return;
        tick();
        scheduleTick();
    });
}

void PeerLinks::Impl::tick()
{
    const Millis now = m_clock.now();
    std::set<LinkPtr> links;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        links = m_links;
    }
    for (const LinkPtr &link : links) {
        if (link->monitor)
            checkLink(link, now);
    }
    dialMissing(now);
}

void PeerLinks::Impl::checkLink(const LinkPtr &link, Millis now)
{
    switch (link->monitor->tick(now)) {
    case LinkStep::None:
        return;
    case LinkStep::SendHeartbeat:
        sendHeartbeat(link, now);
        return;
    case LinkStep::CloseNothingReceived:
    case LinkStep::CloseNothingAcknowledged:
        break;
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counters.linksSilent;
    }
    drop(link);
}

void PeerLinks::Impl::sendHeartbeat(const LinkPtr &link, Millis now)
{
    Heartbeat heartbeat = m_callbacks.heartbeat ? m_callbacks.heartbeat() : Heartbeat {};
    const LinkHeartbeat numbers = link->monitor->nextHeartbeat(now);
    heartbeat.number = numbers.number;
    heartbeat.received = numbers.received;
    link->sent.push_back({numbers.number, now});
    if (link->sent.size() > maxSentHeartbeats)
        link->sent.pop_front();
    sendNow(link, heartbeat);
}

void PeerLinks::Impl::dialMissing(Millis now)
{
    if (m_stopping)
        return;
    std::vector<PeerTarget> due;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::set<MemberName> pending;
        for (const LinkPtr &link : m_links) {
            if (link->dialled)
                pending.insert(*link->dialled);
        }
        for (const std::pair<const MemberName, Target> &entry : m_targets) {
            const bool wanted = !m_byMember.contains(entry.first) && !pending.contains(entry.first);
            if (wanted && entry.second.reconnect.due(now))
                due.push_back(entry.second.peer);
        }
        m_counters.dials += due.size();
    }
    for (const PeerTarget &target : due)
        dial(target);
}

void PeerLinks::Impl::dial(const PeerTarget &target)
{
    websocketpp::lib::error_code ec;
    const Connection::ptr connection = m_client.get_connection("ws://" + target.address + "/", ec);
    if (ec || !connection) {
        dialFailed(target.member);
        return;
    }
    const LinkPtr link = std::make_shared<Link>();
    link->connection = connection;
    link->dialled = target.member;
    attach(link);
    const std::weak_ptr<Link> weak = link;
    connection->set_open_handler([this, weak](const websocketpp::connection_hdl &) {
        if (const LinkPtr self = weak.lock())
            opened(self);
    });
    m_client.connect(connection);
}

PeerLinks::PeerLinks(Hello self, LinkOptions options, LinkCallbacks callbacks)
    : m_impl(std::make_unique<Impl>(std::move(self), options, std::move(callbacks)))
{ }

PeerLinks::~PeerLinks()
{
    m_impl->stop();
}

Result<std::uint16_t> PeerLinks::listen(std::string_view address)
{
    return m_impl->listen(address);
}

void PeerLinks::start()
{
    m_impl->start();
}

void PeerLinks::stop()
{
    m_impl->stop();
}

void PeerLinks::abandon()
{
    m_impl->abandon();
}

void PeerLinks::setPeers(std::vector<PeerTarget> targets)
{
    m_impl->setPeers(std::move(targets));
}

bool PeerLinks::send(const MemberName &member, const Message &message)
{
    return m_impl->send(member, message);
}

std::size_t PeerLinks::broadcast(const Message &message)
{
    return m_impl->broadcast(message);
}

bool PeerLinks::isUp(const MemberName &member) const
{
    return m_impl->isUp(member);
}

std::vector<MemberName> PeerLinks::upMembers() const
{
    return m_impl->upMembers();
}

LinkCounters PeerLinks::counters() const
{
    return m_impl->counters();
}

const Hello &PeerLinks::self() const noexcept
{
    return m_impl->self();
}

} // namespace fescue::peer
