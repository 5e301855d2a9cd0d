#include "standins/http.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <strings.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t readBytes = 65536;
constexpr int listenBacklog = 256;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int bindTo(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return fd;
    ::close(fd);
    return -1;
}

std::uint16_t portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string Message::header(std::string_view name) const
{
    for (const std::pair<std::string, std::string> &entry : headers) {
        if (entry.first.size() == name.size()
            && ::strncasecmp(entry.first.data(), name.data(), name.size()) == 0)
            return entry.second;
    }
    return {};
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

int Message::status() const
{
    const std::size_t space = start.find(' ');
    return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
}

Connection::~Connection()
{
    close();
}

std::optional<int> Connection::open(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return std::nullopt;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

bool Connection::fill(std::size_t wanted)
{
    while (m_buffer.size() < wanted) {
        const std::size_t size = m_buffer.size();
        m_buffer.resize(size + readBytes);
        const ssize_t n = ::recv(m_fd, m_buffer.data() + size, readBytes, 0);
        m_buffer.resize(size + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        if (n <= 0)
            return false;
    }
    return true;
}

std::optional<Message> Connection::readHead()
{
    std::size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(m_buffer.size() + 1))
            return std::nullopt;
        end = m_buffer.find("\r\n\r\n");
    }
    Message message;
    std::size_t begin = 0;
    while (begin <= end) {
        const std::size_t lineEnd = m_buffer.find("\r\n", begin);
        const std::string line = m_buffer.substr(begin, lineEnd - begin);
        begin = lineEnd + 2;
        if (message.start.empty()) {
            message.start = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
    }
    m_buffer.erase(0, end + 4);
    return message;
}

std::optional<Message> Connection::readMessage()
{
    std::optional<Message> message = readHead();
    if (!message)
        return std::nullopt;
    const std::size_t size =
        static_cast<std::size_t>(std::atoll(message->header("Content-Length").c_str()));
    if (!fill(size))
        return std::nullopt;
    message->body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

std::string Connection::readSome()
{
    if (m_buffer.empty())
        fill(1);
    return std::exchange(m_buffer, {});
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

void Connection::setReadTimeout(double seconds)
{
    timeval span {};
    span.tv_sec = static_cast<time_t>(seconds);
    span.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(span.tv_sec)) * 1e6);
    ::setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof span);
}

bool Connection::peerClosed()
{
    char byte = 0;
    const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

void Connection::shutdown()
{
    ::shutdown(m_fd, SHUT_RDWR);
}

Listener::Listener(Handler handler, std::uint16_t port)
    : m_handler(std::move(handler)), m_fd(bindTo(port))
{
    if (m_fd < 0 || ::listen(m_fd, listenBacklog) != 0)
        throw std::runtime_error("cannot listen on a loopback port");
    m_port = portOf(m_fd);
    m_thread = std::thread([this] { acceptAll(); });
}

Listener::~Listener()
{
    stop();
}

void Listener::stop()
{
    if (m_stopped.exchange(true))
        return;
    ::shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
    {
        const std::lock_guard<std::mutex> lock(m_shared.mutex);
        for (const int fd : m_shared.open)
            ::shutdown(fd, SHUT_RDWR);
    }
    while (m_shared.threads > 0)
        sleepSeconds(0.005);
}

void Listener::acceptAll()
{
    while (!m_stopped) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard<std::mutex> lock(m_shared.mutex);
            m_shared.open.push_back(fd);
        }
        ++m_shared.threads;
        std::thread([this, fd] { serve(fd); }).detach();
    }
}

void Listener::serve(int fd)
{
    {
        Connection connection(fd);
        m_handler(connection);
        const std::lock_guard<std::mutex> lock(m_shared.mutex);
        std::erase(m_shared.open, fd);
    }
    --m_shared.threads;
}

std::string answer(int status, std::string_view headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    text += headers;
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}

std::uint16_t freePorts(int count)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        std::vector<int> bound {bindTo(0)};
        const std::uint16_t first = portOf(bound.front());
        for (int n = 1; n < count && bound.back() >= 0; ++n)
            bound.push_back(bindTo(static_cast<std::uint16_t>(first + n)));
        const bool all = bound.back() >= 0;
        for (const int fd : bound) {
            if (fd >= 0)
                ::close(fd);
        }
        if (all)
            return first;
    }
    throw std::runtime_error("no free ports");
}

} // namespace review
