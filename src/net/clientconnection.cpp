#include "net/clientconnection.h"

#include "net/httpmessage.h"

#include <algorithm>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

namespace fescue::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readBytes = 4096;
// Interim answers that may precede an answer; more are no answer.
constexpr int maxInterimAnswers = 8;
constexpr int switchingProtocols = 101;
// How often a wait asks whether its answer is still wanted. Well under the half second after which
// work for a caller that has left counts as wasted.
constexpr Millis abandonCheckInterval = 150_ms;

// A timeout of a write or a failed connection after the request may have been sent.
ResultCode codeAfterSending(const IoOutcome &outcome) noexcept
{
    return outcome.timedOut ? ResultCode::BackEndTimeout : ResultCode::BackEndLost;
}

} // namespace

tl::unexpected<Error> ClientConnection::failure(ResultCode code, std::string_view what) const
{
    return fail(code, m_address.toString() + ": " + std::string(what));
}

Result<void> ClientConnection::connect(Millis deadline)
{
    const IoOutcome outcome = m_socket.connect(m_address, deadline);
    if (outcome.ok())
        return {};
    if (outcome.timedOut)
        return failure(ResultCode::ConnectFailed, "no connection in time");
    tl::unexpected<Error> failed =
        failure(ResultCode::ConnectFailed, "cannot connect: " + outcome.ec.message());
    failed.value().systemError = outcome.ec.value();
    return failed;
}

Result<void> ClientConnection::settle(Millis span)
{
    char byte = 0;
    const IoOutcome outcome =
        m_socket.readSome(boost::asio::mutable_buffer(&byte, 1), steadyNow() + span);
    if (outcome.timedOut)
        return {};
    const std::string how = outcome.ok() ? "bytes arrived" : outcome.ec.message();
    return failure(ResultCode::ConnectFailed, "closed before the request was sent: " + how);
}

Result<void> ClientConnection::sendRequest(const HttpRequest &request, Millis deadline)
{
    m_answered = false;
    m_isHead = request.method == "HEAD";
    m_headers.clear();
    using Body = http::span_body<const char>;
    http::request<Body> message;
    message.method_string(request.method);
    message.target(request.query.empty() ? request.target : request.target + "?" + request.query);
    message.version(11);
    if (request.header("Host").empty())
        message.set(http::field::host, m_address.toString());
    addHeaders(message, request.headers);
    const std::string_view body = request.bodyToSend();
    message.body() = Body::value_type(body.data(), body.size());
    message.prepare_payload();
    http::request_serializer<Body> serializer(message);
    while (!serializer.is_done()) {
        boost::system::error_code ec;
        IoOutcome outcome;
        std::size_t n = 0;
        serializer.next(ec, [&](boost::system::error_code &, const auto &buffers) {
            outcome = m_socket.writeAll(buffers, deadline);
            n = asio::buffer_size(buffers);
        });
        if (!outcome.ok())
            return failure(codeAfterSending(outcome), "the request could not be sent in full");
        serializer.consume(n);
    }
    return {};
}

Result<void> ClientConnection::readMore(Millis deadline, ResultCode timeoutCode)
{
    // A line or a trailer that does not end is kept whole until it does.
    if (m_buffer.size() > m_pool->limits.maxHeadBytes + readBytes)
        return failure(ResultCode::BackEndProtocol, "a line or a trailer is too long");
    IoOutcome outcome = m_socket.readSome(m_buffer.prepare(readBytes), nextCheck(deadline));
    while (outcome.timedOut && steadyNow() < deadline) {
        if (m_abandoned())
            return failure(ResultCode::Cancelled, "the caller no longer waits");
        outcome = m_socket.readSome(m_buffer.prepare(readBytes), nextCheck(deadline));
    }
    m_buffer.commit(outcome.bytes);
    if (outcome.ok()) {
        m_answered = true;
        return {};
    }
    if (outcome.timedOut)
        return failure(timeoutCode, "nothing arrived in time");
    if (outcome.ec == asio::error::eof && m_parser->is_header_done()) {
        boost::system::error_code ec;
        m_parser->put_eof(ec);
        if (!ec)
            return {};
    }
    return failure(ResultCode::BackEndLost, "the connection was lost: " + outcome.ec.message());
}

Millis ClientConnection::nextCheck(Millis deadline) const
{
    return m_abandoned ? std::min(deadline, steadyNow() + abandonCheckInterval) : deadline;
}

Result<void> ClientConnection::readHead(std::uint32_t maxHeadBytes,
                                        std::optional<std::uint64_t> maxBodyBytes, Millis deadline)
{
    for (int n = 0; n <= maxInterimAnswers; ++n) {
        if (Result<void> read = readOneHead(maxHeadBytes, maxBodyBytes, deadline); !read)
            return read;
        m_status = static_cast<int>(m_parser->get().result_int());
        const bool isInterim = m_status >= 100 && m_status < 200 && m_status != switchingProtocols;
        if (isInterim)
            continue;
        if (m_status < 200)
            return failure(ResultCode::BackEndProtocol, "the protocol was changed unasked");
        const std::string_view fault = findCodingFault(m_parser->get(), m_parser->get().version());
        if (!fault.empty())
            return failure(ResultCode::BackEndProtocol, fault);
        m_headers = takeHeaders(m_parser->get());
        m_needsInput = false;
        return {};
    }
    return failure(ResultCode::BackEndProtocol, "too many interim answers");
}

Result<void> ClientConnection::readOneHead(std::uint32_t maxHeadBytes,
                                           std::optional<std::uint64_t> maxBodyBytes,
                                           Millis deadline)
{
    m_parser.emplace();
    // An answer to HEAD has no body, whatever its fields say.
    m_parser->skip(m_isHead);
    m_parser->header_limit(maxHeadBytes);
    if (maxBodyBytes)
        m_parser->body_limit(*maxBodyBytes);
    else
        m_parser->body_limit(boost::none);
    while (!m_parser->is_header_done()) {
        boost::system::error_code ec;
        const std::size_t used = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(used);
        if (ec && ec != http::error::need_more)
            return failure(ResultCode::BackEndProtocol, "not a valid answer: " + ec.message());
        if (m_parser->is_header_done())
            break;
        if (!ec && used > 0 && m_buffer.size() > 0)
            continue;
        if (Result<void> read = readMore(deadline, ResultCode::BackEndTimeout); !read)
            return read;
    }
    return {};
}

Result<std::size_t> ClientConnection::readBody(std::span<char> buf, Millis deadline)
{
    while (!m_parser->is_done()) {
        if (m_buffer.size() > 0 && !m_needsInput) {
            Result<std::size_t> taken = parseBody(buf);
            if (!taken || *taken > 0)
                return taken;
            continue;
        }
        if (Result<void> read = readMore(deadline, ResultCode::LinkSilent); !read)
            return tl::unexpected(read.error());
        m_needsInput = false;
    }
    return 0;
}

Result<std::size_t> ClientConnection::parseBody(std::span<char> buf)
{
    http::buffer_body::value_type &body = m_parser->get().body();
    body.data = buf.data();
    body.size = buf.size();
    body.more = true;
    boost::system::error_code ec;
    const std::size_t used = m_parser->put(m_buffer.data(), ec);
    m_buffer.consume(used);
    if (ec && ec != http::error::need_more && ec != http::error::need_buffer)
        return failure(ResultCode::BackEndProtocol, "not a valid answer: " + ec.message());
    m_needsInput = ec == http::error::need_more || used == 0;
    return buf.size() - body.size;
}

bool ClientConnection::isReusable(Millis maxIdleTime)
{
    return steadyNow() - m_idleSince < maxIdleTime && m_buffer.size() == 0 && !m_socket.readable();
}

bool ClientConnection::isIdle() const
{
    return m_socket.isOpen() && m_parser && m_parser->is_done() && m_parser->keep_alive()
        && m_buffer.size() == 0;
}

void ClientConnection::markIdle()
{
    m_idleSince = steadyNow();
    m_parser.reset();
    m_headers.clear();
    m_abandoned = nullptr;
}

std::unique_ptr<ClientConnection> HttpClient::Shared::take(const Address &address)
{
    Connections stale;
    const std::lock_guard<std::mutex> lock(mutex);
    const auto it = idle.find({&currentContext(), address});
    if (it == idle.end())
        return nullptr;
    while (!it->second.empty()) {
        std::unique_ptr<ClientConnection> connection = std::move(it->second.back());
        it->second.pop_back();
        if (connection->isReusable(limits.maxIdleTime))
            return connection;
        stale.push_back(std::move(connection));
    }
    return nullptr;
}

void HttpClient::Shared::giveBack(std::unique_ptr<ClientConnection> connection)
{
    if (!connection || !connection->isIdle())
        return;
    connection->markIdle();
    const Key key(&connection->context(), connection->address());
    const std::lock_guard<std::mutex> lock(mutex);
    if (closed)
        return;
    Connections &kept = idle[key];
    if (kept.size() >= limits.maxIdlePerAddress)
        return;
    kept.push_back(std::move(connection));
}

void HttpClient::Shared::drop(const Address &address)
{
    Connections dropped;
    const std::lock_guard<std::mutex> lock(mutex);
    for (std::pair<const Key, Connections> &entry : idle) {
        if (entry.first.second != address)
            continue;
        for (std::unique_ptr<ClientConnection> &connection : entry.second)
            dropped.push_back(std::move(connection));
        entry.second.clear();
    }
}

void HttpClient::Shared::close()
{
    const std::lock_guard<std::mutex> lock(mutex);
    closed = true;
    idle.clear();
}

} // namespace fescue::net
