#pragma once

#include "fescue/core/clock.h"
#include "fescue/net/endpointaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace fescue::test {

// How a call ended, as its caller saw it.
enum class CallEnd : std::uint8_t
{
    // A whole answer, of whatever status.
    Answered,
    // The connection ended before a whole answer.
    Closed,
    // Nothing came in the time that the caller had.
    TimedOut,
    NotConnected,
};

struct CallRecord
{
    std::string id;
    Millis sentAt {0};
    // When the last byte of the request was written.
    Millis writtenAt {0};
    Millis endedAt {0};
    CallEnd end = CallEnd::NotConnected;
    int status = 0;
    std::string retryAfter;
    // The answer promises that the request has not run.
    [[nodiscard]] bool isRefusal() const noexcept
    {
        return end == CallEnd::Answered
            && (status == 503 || status == 429 || status == 408 || status == 421);
    }
};

struct CallOptions
{
    // May the call be repeated.
    bool isIdempotent = false;
    Millis patience = 1500_ms;
    std::size_t bodyBytes = 64;
    // Pause between the two halves of the body; none if 0.
    Millis pauseInBody {0};
    // Bytes of the body that are sent at most; the rest never comes.
    std::size_t bodyBytesSent = SIZE_MAX;
    // Pause before the answer is read.
    Millis pauseBeforeReading {0};
};

// A caller with one connection, which it keeps until the other end closes it. Blocks the calling
// thread, so that it does not depend on the worker that runs the stand-ins.
class RawCaller
{
public:
    explicit RawCaller(net::Address address) : m_address(std::move(address)) { }

    // Sends one call and reads its answer.
    CallRecord call(const std::string &id, const CallOptions &options);
    void close() noexcept;
    [[nodiscard]] bool isOpen() const noexcept { return m_socket.is_open(); }

private:
    [[nodiscard]] bool connect();
    [[nodiscard]] bool send(std::string_view first, std::string_view second = {});
    void readAnswer(CallRecord &record, Millis timeout);

    net::Address m_address;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket {m_context};
};

} // namespace fescue::test
