#include "fescue/tools/blockinghttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace fescue::tools {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::uint64_t maxBodyBytes = 16ULL * 1024 * 1024;

// One connection that is driven by the calling thread, one operation at a time.
class Exchange
{
public:
    Exchange(const HostPort &address, Millis timeout)
        : m_address(address), m_stream(m_context),
          m_deadline(std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout.count))
    { }

    [[nodiscard]] Result<HttpReply> run(const HttpCall &call)
    {
        ErrorCode ec;
        const asio::ip::address ip = asio::ip::make_address(m_address.ip, ec);
        if (ec)
            return failure(ResultCode::ConnectFailed, ec);
        const asio::ip::tcp::endpoint endpoint(ip, m_address.port);
        ec = wait([&](std::optional<ErrorCode> &done) {
            m_stream.async_connect(endpoint, [&done](ErrorCode result) { done = result; });
        });
        if (ec)
            return failure(ResultCode::ConnectFailed, ec);
        return exchange(makeRequest(call));
    }

private:
    [[nodiscard]] http::request<http::string_body> makeRequest(const HttpCall &call) const
    {
        constexpr unsigned http11 = 11;
        http::request<http::string_body> request;
        request.method_string({call.method.data(), call.method.size()});
        request.target(call.target);
        request.version(http11);
        request.set(http::field::host, m_address.toString());
        request.set(http::field::connection, "close");
        if (!call.ifMatch.empty())
            request.set(http::field::if_match, call.ifMatch);
        if (!call.ifNoneMatch.empty())
            request.set(http::field::if_none_match, call.ifNoneMatch);
        if (!call.body.empty())
            request.set(http::field::content_type, "application/json");
        request.body() = call.body;
        request.prepare_payload();
        return request;
    }

    [[nodiscard]] Result<HttpReply> exchange(const http::request<http::string_body> &request)
    {
        ErrorCode ec = wait([&](std::optional<ErrorCode> &done) {
            http::async_write(m_stream, request,
                              [&done](ErrorCode result, std::size_t) { done = result; });
        });
        if (ec)
            return failure(codeOf(ec), ec);
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        beast::flat_buffer buffer;
        ec = wait([&](std::optional<ErrorCode> &done) {
            http::async_read(m_stream, buffer, parser,
                             [&done](ErrorCode result, std::size_t) { done = result; });
        });
        if (ec)
            return failure(codeOf(ec), ec);
        return HttpReply {static_cast<int>(parser.get().result_int()),
                          std::move(parser.get().body())};
    }

    // Starts an operation and runs its handlers until it is done or the deadline has passed.
    template <typename Start>
    [[nodiscard]] ErrorCode wait(const Start &start)
    {
        std::optional<ErrorCode> done;
        m_stream.expires_at(m_deadline);
        start(done);
        m_context.restart();
        while (!done && m_context.run_one() > 0) { }
        return done.value_or(asio::error::operation_aborted);
    }

    [[nodiscard]] static ResultCode codeOf(const ErrorCode &ec) noexcept
    {
        if (ec == beast::error::timeout || ec == asio::error::timed_out)
            return ResultCode::LinkSilent;
        const bool malformed = ec.category() == make_error_code(http::error::bad_method).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message;
        return malformed ? ResultCode::MessageMalformed : ResultCode::LinkClosed;
    }

    [[nodiscard]] tl::unexpected<Error> failure(ResultCode code, const ErrorCode &ec) const
    {
        return fail(code, m_address.toString() + ": " + ec.message());
    }

    HostPort m_address;
    asio::io_context m_context {1};
    beast::tcp_stream m_stream;
    std::chrono::steady_clock::time_point m_deadline;
};

} // namespace

Result<HttpReply> callHttp(const HostPort &address, const HttpCall &call, Millis timeout)
{
    return Exchange(address, timeout).run(call);
}

} // namespace fescue::tools
