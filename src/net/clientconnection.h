#pragma once

#include "fescue/net/httpclient.h"
#include "net/tcpsocket.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace fescue::net {

// One connection to a server, with the answer that is being read from it.
class ClientConnection
{
public:
    ClientConnection(boost::asio::io_context &context, Address address,
                     std::shared_ptr<HttpClient::Shared> pool)
        : m_context(&context), m_socket(context), m_address(std::move(address)),
          m_pool(std::move(pool))
    { }

    [[nodiscard]] Result<void> connect(Millis deadline);
    // Waits for the span. Fails with ConnectFailed if the peer closes the connection or sends
    // something in that time.
    [[nodiscard]] Result<void> settle(Millis span);
    [[nodiscard]] Result<void> sendRequest(const HttpRequest &request, Millis deadline);
    // Reads up to the end of the head of the next answer that is not an interim one. Fails with
    // BackEndProtocol where the head or the announced body is longer than the limits.
    [[nodiscard]] Result<void> readHead(std::uint32_t maxHeadBytes,
                                        std::optional<std::uint64_t> maxBodyBytes, Millis deadline);
    // Returns 0 at the end of the body.
    [[nodiscard]] Result<std::size_t> readBody(std::span<char> buf, Millis deadline);
    // True if the answer has neither a length nor chunks. Valid until markIdle().
    [[nodiscard]] bool bodyEndsWithConnection() const { return m_parser && m_parser->need_eof(); }
    void close() noexcept { m_socket.close(); }
    // Sets the question that waits for an answer ask from time to time; they end with Cancelled
    // once it returns true.
    void setAbandoned(std::function<bool()> abandoned) { m_abandoned = std::move(abandoned); }

    // True if the connection has carried an earlier request.
    [[nodiscard]] bool isReused() const noexcept { return m_idleSince > Millis {0}; }
    // True where an idle connection can be used again.
    [[nodiscard]] bool isReusable(Millis maxIdleTime);
    // True where the answer is complete and the server keeps the connection open.
    [[nodiscard]] bool isIdle() const;
    void markIdle();
    // True where a byte of the answer has arrived.
    [[nodiscard]] bool answered() const noexcept { return m_answered; }

    [[nodiscard]] boost::asio::io_context &context() const noexcept { return *m_context; }
    [[nodiscard]] const Address &address() const noexcept { return m_address; }
    [[nodiscard]] int status() const noexcept { return m_status; }
    [[nodiscard]] const std::vector<Header> &headers() const noexcept { return m_headers; }
    [[nodiscard]] std::vector<Header> releaseHeaders() noexcept { return std::move(m_headers); }
    [[nodiscard]] const std::shared_ptr<HttpClient::Shared> &pool() const noexcept
    {
        return m_pool;
    }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    [[nodiscard]] Result<void> readOneHead(std::uint32_t maxHeadBytes,
                                           std::optional<std::uint64_t> maxBodyBytes,
                                           Millis deadline);
    [[nodiscard]] Result<void> readMore(Millis deadline, ResultCode timeoutCode);
    // The deadline, or the time at which to ask whether the answer is still wanted.
    [[nodiscard]] Millis nextCheck(Millis deadline) const;
    [[nodiscard]] Result<std::size_t> parseBody(std::span<char> buf);
    [[nodiscard]] tl::unexpected<Error> failure(ResultCode code, std::string_view what) const;

    boost::asio::io_context *m_context;
    TcpSocket m_socket;
    Address m_address;
    std::shared_ptr<HttpClient::Shared> m_pool;
    std::function<bool()> m_abandoned;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::vector<Header> m_headers;
    int m_status = 0;
    bool m_answered = false;
    bool m_isHead = false;
    // Set where the last call of the parser took nothing and needs more input.
    bool m_needsInput = false;
    Millis m_idleSince {0};
};

// Idle connections of a client.
struct HttpClient::Shared
{
    using Key = std::pair<boost::asio::io_context *, Address>;
    using Connections = std::vector<std::unique_ptr<ClientConnection>>;

    explicit Shared(const ClientLimits &clientLimits) : limits(clientLimits) { }

    // Returns the connection that was used last and is still usable, or null.
    [[nodiscard]] std::unique_ptr<ClientConnection> take(const Address &address);
    // Keeps the connection where it can be used again, else closes it.
    void giveBack(std::unique_ptr<ClientConnection> connection);
    void drop(const Address &address);
    // Closes all idle connections and keeps no more.
    void close();

    const ClientLimits limits;
    std::mutex mutex;
    std::map<Key, Connections> idle;
    bool closed = false;
};

} // namespace fescue::net
