#include "tests/lifecycle/rawcaller.h"

#include "platform/names.h"
#include "tests/soak/soakconfig.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace fescue::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace names = platform::names;

namespace {

// A caller reads on for this long after its deadline, so that late answers are seen.
constexpr Millis lateReading = 2_s;

std::string headOf(const std::string &id, const CallOptions &options)
{
    std::string head = options.isIdempotent ? "GET /read/2f" : "POST /post/2f";
    head += " HTTP/1.1\r\nHost: " + std::string(soak::soakHost) + "\r\n";
    head += std::string(names::requestId) + ": " + id + "\r\n";
    head += std::string(names::deadline) + ": " + std::to_string(options.patience.count) + "\r\n";
    head += "Authorization: " + std::string(names::keyScheme) + "key-diner\r\n";
    head += "Content-Length: " + std::to_string(options.bodyBytes) + "\r\n\r\n";
    return head;
}

} // namespace

void RawCaller::close() noexcept
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

bool RawCaller::connect()
{
    boost::system::error_code ec;
    m_socket.open(asio::ip::tcp::v4(), ec);
    m_socket.connect({asio::ip::make_address(m_address.ip), m_address.port}, ec);
    if (ec)
        close();
    else
        m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    return isOpen();
}

bool RawCaller::send(std::string_view first, std::string_view second)
{
    const std::array<asio::const_buffer, 2> buffers {asio::buffer(first), asio::buffer(second)};
    boost::system::error_code ec;
    asio::write(m_socket, buffers, ec);
    return !ec;
}

CallRecord RawCaller::call(const std::string &id, const CallOptions &options)
{
    CallRecord record;
    record.id = id;
    record.sentAt = SteadyClock {}.now();
    if (!isOpen() && !connect()) {
        record.endedAt = SteadyClock {}.now();
        return record;
    }
    const std::string body(options.bodyBytes, 'b');
    const std::size_t half = options.pauseInBody > Millis {0} ? body.size() / 2 : body.size();
    const std::string_view toSend = std::string_view(body).substr(0, options.bodyBytesSent);
    // A server may answer before it has read everything, so the answer is read in any case.
    bool isSent = send(headOf(id, options), toSend.substr(0, half));
    if (isSent && options.pauseInBody > Millis {0}) {
        std::this_thread::sleep_for(std::chrono::milliseconds(options.pauseInBody.count));
        isSent = send(toSend.substr(std::min(half, toSend.size())));
    }
    record.writtenAt = SteadyClock {}.now();
    if (options.pauseBeforeReading > Millis {0}) {
        const std::chrono::milliseconds pause(options.pauseBeforeReading.count);
        std::this_thread::sleep_for(pause);
    }
    readAnswer(record, options.patience + lateReading);
    record.endedAt = SteadyClock {}.now();
    if (record.end != CallEnd::Answered)
        close();
    return record;
}

void RawCaller::readAnswer(CallRecord &record, Millis timeout)
{
    const timeval wait {timeout.count / 1000, timeout.count % 1000 * 1000};
    setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    // Larger than any answer of the tests.
    parser.body_limit(std::uint64_t {16} * 1024 * 1024);
    std::array<char, 4096> buf {};
    std::string unparsed;
    boost::system::error_code ec;
    while (!parser.is_done()) {
        const ssize_t n = recv(m_socket.native_handle(), buf.data(), buf.size(), 0);
        if (n <= 0) {
            const bool timedOut = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            record.end = timedOut ? CallEnd::TimedOut : CallEnd::Closed;
            return;
        }
        unparsed.append(buf.data(), static_cast<std::size_t>(n));
        unparsed.erase(0, parser.put(asio::buffer(unparsed), ec));
        if (ec && ec != http::error::need_more) {
            record.end = CallEnd::Closed;
            return;
        }
    }
    record.end = CallEnd::Answered;
    record.status = static_cast<int>(parser.get().result_int());
    record.retryAfter = std::string(parser.get()[http::field::retry_after]);
    if (!parser.keep_alive())
        close();
}

} // namespace fescue::test
