#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// A small blocking HTTP/1.1 layer for the stand-ins of the review: one thread for each connection.
namespace review {

// Returns the monotonic time in seconds.
double now();
void sleepSeconds(double seconds);

struct Message
{
    // The request line or the status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    // Path and query of a request.
    [[nodiscard]] std::string target() const;
    // Status of an answer; 0 if there is none.
    [[nodiscard]] int status() const;
};

class Connection
{
public:
    explicit Connection(int fd) noexcept : m_fd(fd) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Connects to a port of 127.0.0.1. Returns false if nothing listens there.
    [[nodiscard]] static std::optional<int> open(std::uint16_t port);

    // Reads bytes until `wanted` are buffered or the peer has closed. Returns false in the latter
    // case.
    bool fill(std::size_t wanted);
    // Reads a head and a body with a length. Returns nothing if the connection ends before that.
    [[nodiscard]] std::optional<Message> readMessage();
    // Reads a head only.
    [[nodiscard]] std::optional<Message> readHead();
    // Returns and removes what is buffered; reads once if nothing is. Empty at the end.
    [[nodiscard]] std::string readSome();
    bool write(std::string_view bytes);
    void setReadTimeout(double seconds);
    // True if the peer has closed its end.
    [[nodiscard]] bool peerClosed();
    void close();
    // Closes with a FIN after the bytes written so far.
    void shutdown();

private:
    int m_fd;
    std::string m_buffer;
};

// Listens on a port of 127.0.0.1 and runs the handler on a thread of its own for each connection.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    // Port 0 takes a free one.
    explicit Listener(Handler handler, std::uint16_t port = 0);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    // Stops listening and ends all connections, as when the process behind them exits.
    void stop();

private:
    void acceptAll();
    void serve(int fd);

    struct Shared
    {
        std::mutex mutex;
        std::vector<int> open;
        std::atomic<int> threads {0};
    };

    Handler m_handler;
    int m_fd = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopped {false};
    Shared m_shared;
    std::thread m_thread;
};

// Returns an answer with a length.
std::string answer(int status, std::string_view headers, std::string_view body);

// Returns a port from which `count` consecutive ports are free for TCP.
std::uint16_t freePorts(int count);

} // namespace review
