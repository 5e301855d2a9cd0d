#include "tests/clients/crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace fescue::test {

using boost::asio::ip::tcp;

namespace {

// The IP number of all crowds, which differs from that of ordinary callers.
constexpr const char *crowdIp = "127.0.0.2";
constexpr Millis stepPause = 2_ms;
constexpr Millis slowReadPause = 20_ms;
// Time without any progress after which a crowd goes no further.
constexpr Millis quietTime = 500_ms;
// Longest time of a crowd that goes on for ever.
constexpr Millis longestTime = 15_s;

void pauseThread(Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

} // namespace

class ClientCrowd::Client
{
public:
    Client(boost::asio::io_context &context, const Target &target)
        : m_script(&target.script), m_socket(context)
    {
        boost::system::error_code ec;
        m_socket.open(tcp::v4(), ec);
        m_socket.bind({boost::asio::ip::make_address(crowdIp), 0}, ec);
        m_socket.connect({boost::asio::ip::make_address(target.address.ip), target.address.port},
                         ec);
        m_socket.non_blocking(true, ec);
        m_isOpen = !ec;
    }

    [[nodiscard]] bool isOpen() const noexcept { return m_isOpen; }
    // Does what is possible now. Returns true if anything was sent or received.
    bool step(Millis now)
    {
        const bool received = m_isOpen && read(now);
        const bool sent = m_isOpen && now >= m_nextWriteAt && write(now);
        return received || sent;
    }
    // True once the script has been sent or nothing more can be.
    [[nodiscard]] bool isDone() const noexcept { return !m_isOpen || m_sent == m_script->size(); }

private:
    // Returns the bytes at a position of the script, up to the end of their part.
    [[nodiscard]] std::string_view at(std::size_t position) const
    {
        const std::string_view head = m_script->head;
        if (position < head.size())
            return head.substr(position);
        position -= head.size();
        const std::string_view part = m_script->part;
        const std::size_t repeated = part.size() * m_script->parts;
        if (position < repeated)
            return part.substr(position % part.size());
        return std::string_view(m_script->tail).substr(position - repeated);
    }

    bool write(Millis now)
    {
        std::size_t n = 0;
        const std::size_t most = m_script->pieceBytes > 0 ? m_script->pieceBytes : SIZE_MAX;
        while (n < most && m_sent < m_script->size()) {
            const std::string_view bytes = at(m_sent).substr(0, most - n);
            const ssize_t sent =
                send(m_socket.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent < 0) {
                m_isOpen = errno == EAGAIN || errno == EWOULDBLOCK;
                break;
            }
            m_sent += static_cast<std::size_t>(sent);
            n += static_cast<std::size_t>(sent);
        }
        m_nextWriteAt = now + m_script->pause;
        if (n > 0 && m_sent == m_script->size())
            end();
        return n > 0;
    }

    void end()
    {
        boost::system::error_code ignored;
        if (m_script->end == ClientEnd::ClosesHalf)
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        if (m_script->end != ClientEnd::Resets)
            return;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
        m_isOpen = false;
    }

    bool read(Millis now)
    {
        const bool isSlow = m_script->reading == ClientReading::Slow;
        if (m_script->reading == ClientReading::Nothing || (isSlow && now < m_nextReadAt))
            return false;
        m_nextReadAt = now + slowReadPause;
        std::array<char, 65536> buf {};
        const ssize_t n =
            recv(m_socket.native_handle(), buf.data(), isSlow ? 1 : buf.size(), MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            boost::system::error_code ignored;
            m_socket.close(ignored);
            m_isOpen = false;
        }
        // A slow reader is not waited for.
        return n > 0 && !isSlow;
    }

    const ClientScript *m_script;
    tcp::socket m_socket;
    std::size_t m_sent = 0;
    Millis m_nextWriteAt {0};
    Millis m_nextReadAt {0};
    bool m_isOpen = false;
};

ClientCrowd::ClientCrowd(std::vector<Target> targets, std::size_t connections)
    : m_targets(std::move(targets)), m_clients(connections), m_thread([this] { run(); })
{ }

ClientCrowd::~ClientCrowd()
{
    m_stopping = true;
    m_thread.join();
}

void ClientCrowd::waitUntilSettled()
{
    while (!m_settled)
        pauseThread(stepPause);
}

void ClientCrowd::run()
{
    boost::asio::io_context context;
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
        m_clients[i] = std::make_unique<Client>(context, m_targets[i % m_targets.size()]);
        m_connected += m_clients[i]->isOpen();
    }
    const SteadyClock clock;
    const Millis begun = clock.now();
    Millis progressAt = begun;
    while (!m_stopping) {
        const Millis now = clock.now();
        bool hasProgress = false;
        bool areDone = true;
        for (const std::unique_ptr<Client> &client : m_clients) {
            hasProgress = client->step(now) || hasProgress;
            areDone = areDone && client->isDone();
        }
        if (hasProgress)
            progressAt = now;
        if (areDone || now - progressAt > quietTime || now - begun > longestTime)
            m_settled = true;
        if (!hasProgress)
            pauseThread(stepPause);
    }
    m_clients.clear();
}

} // namespace fescue::test
