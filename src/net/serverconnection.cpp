#include "net/serverconnection.h"

#include "net/httpmessage.h"

#include <algorithm>
#include <array>
#include <string>

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

namespace fescue::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readBytes = 4096;
constexpr std::size_t bodyReadBytes = 64ULL * 1024;
constexpr std::size_t drainReadBytes = 16ULL * 1024;
// A buffer of at most this size is part of what each connection takes.
constexpr std::size_t keptBufferBytes = 8192;
// Memory of one field: in the parser, in the request, and in the request that is passed on.
constexpr std::size_t fieldBytes = 400;
// A head's bytes are held this many times, as parts of it are kept in a decoded form.
constexpr std::size_t headCopies = 8;
// Size of the receive buffer while a large body arrives, and what it may hold.
constexpr std::size_t wideBufferBytes = 64ULL * 1024;
constexpr std::size_t wideBufferMemory = wideBufferBytes * 2;
// A connection with a wide buffer ends after its answer where more than the budget divided by this
// is in use. Large requests may use only half of the budget, so idle connections may hold no more
// than an eighth of their part.
constexpr std::size_t calmDivisor = 16;
// How long a request waits for memory that another one gives up, and how often it looks.
constexpr Millis memoryWait = 100_ms;
constexpr Millis memoryPollPause = 5_ms;
// How long a peer may go on sending before its connection is closed, and how much besides a body.
constexpr Millis closingDrainTime = 500_ms;
constexpr std::size_t drainBytes = 1024ULL * 1024;
// The same for one whose request was refused while its body may still be arriving.
constexpr Millis refusalDrainTime = 2_s;
// Time after which a request that found no memory for its body may be sent again.
constexpr Millis noMemoryRetryAfter = 1_s;

Problem problemFor(const boost::system::error_code &ec, const ServerLimits &limits)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        const std::string limit = std::to_string(limits.maxHeadBytes);
        return {431, ResultCode::HeadTooLarge, RunState::NotRun,
                "the request head is longer than " + limit + " bytes", std::nullopt};
    }
    if (ec == http::error::body_limit) {
        const std::string limit = std::to_string(limits.maxBodyBytes);
        return {413, ResultCode::BodyTooLarge, RunState::NotRun,
                "the request body is longer than " + limit + " bytes", std::nullopt};
    }
    return {400, ResultCode::BadRequest, RunState::NotRun,
            "the request is not valid HTTP: " + ec.message(), std::nullopt};
}

// Returns the memory that a head takes until its request has been answered.
std::size_t memoryOf(const http::request_header<> &head)
{
    std::size_t bytes = head.target().size() * headCopies;
    for (const http::fields::value_type &field : head)
        bytes += fieldBytes + (field.name_string().size() + field.value().size()) * headCopies;
    return bytes;
}

void splitTarget(std::string_view text, HttpRequest &request)
{
    std::size_t mark = std::min(text.find('?'), text.size());
    // A mark without a query belongs to the target, so that the text can be rebuilt as it was.
    if (mark + 1 == text.size())
        mark = text.size();
    request.target = text.substr(0, mark);
    request.query = text.substr(std::min(mark + 1, text.size()));
}

} // namespace

ServerConnection::ServerConnection(TcpSocket socket, const ServerLimits &limits, ServerState &state)
    : m_socket(std::move(socket)), m_limits(limits), m_state(&state)
{
    m_socket.setSendTimeout(limits.writeTimeout);
}

bool ServerConnection::readRequest(HttpRequest &request)
{
    m_phase = Phase::Waiting;
    m_keepAlive = true;
    m_chunked = true;
    m_headOnly = false;
    m_version = 11;
    m_memory.reset();
    m_idle = m_buffer.size() == 0;
    const bool begun = !m_idle || readMore(deadlineAfter(m_limits.idleTimeout));
    m_idle = false;
    if (!begun)
        return false;
    m_receivingCount.emplace(m_state->receiving);
    m_isReceiving = true;
    const bool isWhole = parseRequest();
    m_isReceiving = false;
    m_receivingCount.reset();
    m_arrivingRefusal.reset();
    if (!isWhole)
        return false;
    takeRequest(request);
    return true;
}

void ServerConnection::takeRequest(HttpRequest &request)
{
    Parser::value_type &message = m_parser->get();
    m_keepAlive = m_parser->keep_alive();
    m_version = message.version();
    m_chunked = m_version >= 11;
    m_headOnly = message.method() == http::verb::head;
    request.method = std::string(message.method_string());
    splitTarget(message.target(), request);
    request.headers = takeHeaders(message);
    request.body = std::move(message.body());
    m_parser.reset();
}

void ServerConnection::releaseRequest()
{
    m_memory.reset();
    if (m_buffer.capacity() > keptBufferBytes)
        m_buffer.shrink_to_fit();
}

bool ServerConnection::parseRequest()
{
    m_headMemory = 0;
    m_parser.emplace();
    Parser &parser = *m_parser;
    parser.eager(true);
    parser.header_limit(m_limits.maxHeadBytes);
    parser.body_limit(m_limits.maxBodyBytes);
    const Millis deadline = deadlineAfter(m_limits.headTimeout);
    bool isChecked = false;
    bool continued = false;
    while (true) {
        boost::system::error_code ec;
        const std::size_t used = parser.put(m_buffer.data(), ec);
        m_buffer.consume(used);
        if (ec && ec != http::error::need_more) {
            refuse(problemFor(ec, m_limits));
            return false;
        }
        if (parser.is_header_done() && !isChecked) {
            isChecked = true;
            const http::fields &fields = parser.get();
            m_headMemory = memoryOf(parser.get());
            const std::string_view fault = findRequestFault(fields, parser.get().version());
            if (!fault.empty()) {
                refuse({400, ResultCode::BadRequest, RunState::NotRun,
                        "the request is not valid HTTP: " + std::string(fault), std::nullopt});
                return false;
            }
        }
        if (!reserveRequest() && !reserveFromOthers(deadline)) {
            m_limits.bodyBudget->countRefusal();
            refuse({503, ResultCode::NoCapacity, RunState::NotRun,
                    "no memory is left for the request", noMemoryRetryAfter});
            return false;
        }
        if (parser.is_done())
            return true;
        widenWindow();
        if (parser.is_header_done() && !continued && refusalOfPartial() == nullptr) {
            confirmContinue();
            continued = true;
        }
        if (!ec && used > 0 && m_buffer.size() > 0)
            continue;
        // A chunk's line or a trailer that does not end is kept whole until it does.
        if (m_buffer.size() > m_limits.maxHeadBytes + bodyReadBytes) {
            refuse(problemFor(http::error::header_limit, m_limits));
            return false;
        }
        if (refusalOfPartial() == nullptr && readMore(deadline))
            continue;
        if (const Problem *refusal = refusalOfPartial())
            refuse(*refusal);
        else if (steadyNow() >= deadline)
            refuse({408, ResultCode::BadRequest, RunState::NotRun,
                    "the request did not arrive in time", std::nullopt});
        return false;
    }
}

void ServerConnection::refusePartialRequests(const Problem &refusal)
{
    m_partialRefusal = refusal;
    if (m_isReceiving)
        m_socket.interruptRead();
}

void ServerConnection::refuseArrivingRequest(const Problem &refusal)
{
    if (!m_isReceiving)
        return;
    m_arrivingRefusal = refusal;
    m_socket.interruptRead();
}

const Problem *ServerConnection::refusalOfPartial() const noexcept
{
    if (m_partialRefusal)
        return &*m_partialRefusal;
    return m_arrivingRefusal ? &*m_arrivingRefusal : nullptr;
}

bool ServerConnection::reserveRequest()
{
    if (!m_limits.bodyBudget)
        return true;
    if (!m_memory)
        m_memory.emplace(*m_limits.bodyBudget, ByteUse::Request);
    return m_memory->reserveUpTo(requestMemory());
}

std::size_t ServerConnection::requestMemory()
{
    const std::size_t buffered = m_buffer.capacity() > keptBufferBytes ? m_buffer.capacity() : 0;
    if (!m_parser->is_header_done()) {
        // The head of a small request fits into the buffer of each connection.
        return buffered == 0 ? 0 : std::max(buffered, ByteBudget::smallBytes + 1);
    }
    if (m_parser->is_done()) {
        // Trailers come after the head.
        m_headMemory = memoryOf(m_parser->get());
    }
    const std::size_t announced = m_parser->content_length().value_or(0);
    const std::size_t body = std::max(announced, m_parser->get().body().capacity());
    return buffered + m_headMemory + body;
}

bool ServerConnection::reserveFromOthers(Millis deadline)
{
    const std::size_t total = requestMemory();
    // What the limit leaves to no request of this size is not asked of others either.
    if (total > m_limits.bodyBudget->levelFor(ByteUse::Request, total))
        return false;
    const Millis until = std::min(deadline, deadlineAfter(memoryWait));
    while (refusalOfPartial() == nullptr && steadyNow() < until) {
        const std::size_t wanted = total - std::min(total, m_memory->bytes());
        if (!m_state->makeMemory || !m_state->makeMemory(*this, wanted))
            return false;
        sleepFor(memoryPollPause);
        if (reserveRequest())
            return true;
    }
    return false;
}

void ServerConnection::widenWindow()
{
    const std::size_t buffer = m_limits.receiveBufferBytes;
    if (m_windowMemory || buffer == 0 || buffer >= wideBufferBytes || !m_limits.bodyBudget
        || !m_parser->is_header_done())
        return;
    const std::size_t announced = m_parser->content_length().value_or(0);
    if (std::max(announced, m_parser->get().body().size()) <= ByteBudget::smallBytes)
        return;
    m_windowMemory.emplace(*m_limits.bodyBudget, ByteUse::Request);
    if (m_windowMemory->reserve(wideBufferMemory))
        m_socket.setReceiveBuffer(wideBufferBytes);
    else
        m_windowMemory.reset();
}

bool ServerConnection::readMore(Millis deadline)
{
    const std::size_t n = m_buffer.size() > readBytes ? bodyReadBytes : readBytes;
    const IoOutcome outcome = m_socket.readSome(m_buffer.prepare(n), deadline);
    m_buffer.commit(outcome.bytes);
    return outcome.ok();
}

void ServerConnection::confirmContinue()
{
    if (!http::token_list(m_parser->get()[http::field::expect]).exists("100-continue"))
        return;
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    // A failure shows in the read that follows.
    static_cast<void>(
        m_socket.writeAll(asio::const_buffer(text.data(), text.size()), writeDeadline()));
}

void ServerConnection::refuse(const Problem &problem)
{
    // The rest of the request is read for as long as usual, so that the refusal arrives.
    m_isReceiving = false;
    m_keepAlive = false;
    // What has arrived of it is of no more use.
    m_parser.reset();
    releaseRequest();
    static_cast<void>(send(problemResponse(problem)));
    // A stop waits for refusals, and not for peers that go on sending.
    m_receivingCount.reset();
    closeGracefully(refusalDrainTime);
}

void ServerConnection::closeGracefully()
{
    closeGracefully(closingDrainTime);
}

void ServerConnection::closeGracefully(Millis drainTime)
{
    m_socket.shutdownSend();
    const Millis deadline = deadlineAfter(drainTime);
    const std::size_t maxDrained = m_limits.maxBodyBytes + drainBytes;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    // Nobody looks at what is drained, so all connections of a worker share the bytes.
    thread_local std::array<char, drainReadBytes> scratch {};
    std::size_t drained = 0;
    while (drained < maxDrained) {
        const IoOutcome outcome = m_socket.readSome(asio::buffer(scratch), deadline);
        if (!outcome.ok())
            break;
        drained += outcome.bytes;
    }
    m_socket.close();
}

bool ServerConnection::endRequest()
{
    if (m_phase == Phase::Waiting) {
        const Problem problem {500, ResultCode::Internal, RunState::Unknown,
                               "the request was not answered", std::nullopt};
        static_cast<void>(send(problemResponse(problem)));
    }
    if (m_phase == Phase::Finished && m_keepAlive)
        return true;
    if (m_phase == Phase::Finished)
        closeGracefully();
    else
        m_socket.close();
    return false;
}

bool ServerConnection::decideKeepAlive() noexcept
{
    // A request that has come with this one gets its answer before the connection ends.
    const ByteBudget *budget = m_limits.bodyBudget.get();
    const bool isWide = m_windowMemory && budget->used() > budget->limit() / calmDivisor;
    const bool isLast = m_state->lastAnswers || isWide;
    m_keepAlive = m_keepAlive && (!isLast || m_buffer.size() > 0);
    return m_keepAlive;
}

Millis ServerConnection::writeDeadline() const noexcept
{
    return deadlineAfter(m_limits.writeTimeout);
}

Result<void> ServerConnection::checkWritten(const IoOutcome &outcome)
{
    if (outcome.ok())
        return {};
    m_phase = Phase::Failed;
    if (outcome.timedOut)
        return fail(ResultCode::LinkSilent, "the caller did not take the answer in time");
    return fail(ResultCode::LinkClosed,
                "the connection to the caller failed: " + outcome.ec.message());
}

Result<void> ServerConnection::send(const HttpResponse &response)
{
    if (m_phase != Phase::Waiting)
        return fail(ResultCode::Internal, "the request has an answer already");
    using Body = http::span_body<const char>;
    http::response<Body> message;
    message.version(m_version);
    message.result(static_cast<unsigned>(response.status));
    addHeaders(message, response.headers);
    message.keep_alive(decideKeepAlive());
    message.body() = Body::value_type(response.body.data(), response.body.size());
    message.prepare_payload();
    if (m_headOnly)
        message.body() = Body::value_type();
    m_phase = Phase::Finished;
    http::response_serializer<Body> serializer(message);
    IoOutcome outcome;
    while (outcome.ok() && !serializer.is_done()) {
        boost::system::error_code ec;
        std::size_t n = 0;
        serializer.next(ec, [&](boost::system::error_code &, const auto &buffers) {
            outcome = m_socket.writeAll(buffers, writeDeadline());
            n = asio::buffer_size(buffers);
        });
        serializer.consume(n);
    }
    return checkWritten(outcome);
}

Result<void> ServerConnection::startStream(int status, std::span<const Header> headers)
{
    if (m_phase != Phase::Waiting)
        return fail(ResultCode::Internal, "the request has an answer already");
    http::response<http::empty_body> message;
    message.version(m_version);
    message.result(static_cast<unsigned>(status));
    addHeaders(message, headers);
    message.chunked(m_chunked);
    if (!m_chunked) {
        m_keepAlive = false;
        // The end of the connection ends this answer: until the answer is whole, the connection
        // must not close in order.
        m_socket.setResetOnClose(true);
    }
    message.keep_alive(decideKeepAlive());
    m_phase = Phase::Streaming;
    http::response_serializer<http::empty_body> serializer(message);
    serializer.split(true);
    IoOutcome outcome;
    boost::system::error_code ec;
    serializer.next(ec, [&](boost::system::error_code &, const auto &buffers) {
        outcome = m_socket.writeAll(buffers, writeDeadline());
    });
    return checkWritten(outcome);
}

Result<void> ServerConnection::write(std::string_view data)
{
    if (m_phase != Phase::Streaming)
        return fail(ResultCode::LinkClosed, "the answer is not being streamed");
    if (data.empty())
        return {};
    const asio::const_buffer buf(data.data(), data.size());
    if (m_chunked)
        return checkWritten(m_socket.writeAll(http::make_chunk(buf), writeDeadline()));
    return checkWritten(m_socket.writeAll(buf, writeDeadline()));
}

Result<void> ServerConnection::finish()
{
    if (m_phase != Phase::Streaming)
        return fail(ResultCode::LinkClosed, "the answer is not being streamed");
    m_phase = Phase::Finished;
    if (!m_chunked) {
        m_socket.setResetOnClose(false);
        return {};
    }
    return checkWritten(m_socket.writeAll(http::make_chunk_last(), writeDeadline()));
}

void ServerConnection::abort() noexcept
{
    m_phase = Phase::Failed;
}

} // namespace fescue::net
