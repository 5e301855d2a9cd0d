#include "tests/soak/latecallers.h"

#include "platform/names.h"

#include <algorithm>
#include <array>
#include <memory>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace fescue::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace names = platform::names;

namespace {

// Callers stay at most this long: the users' GraceS, the time before the signal, and a second.
constexpr Millis longestStay = 9500_ms;
constexpr Millis longestGap = 60_ms;
constexpr Millis patience = 1500_ms;
constexpr Millis lateReading = 2_s;
constexpr Millis connectTimeout = 1_s;
constexpr Millis writeTimeout = 5_s;
constexpr std::size_t shortBody = 64;
constexpr std::size_t smallestLargeBody = 100'000;
constexpr std::size_t largestBody = std::size_t {4} * 1024 * 1024;
constexpr std::size_t slowPieces = 4;
constexpr Millis slowPause = 150_ms;
constexpr std::size_t readBytes = 4096;

} // namespace

void LateCallers::stayWith(std::size_t entry, std::size_t callers, Bodies bodies,
                           std::uint32_t seed)
{
    for (std::size_t i = 0; i < callers; ++i) {
        const std::shared_ptr<Caller> caller = std::make_shared<Caller>();
        caller->entry = entry;
        caller->bodies = bodies;
        caller->random.seed(seed + i);
        m_world->pool.spawn(0, [this, caller] { run(*caller); });
    }
}

void LateCallers::run(Caller &caller)
{
    const Entry &entry = m_world->entries[caller.entry];
    const Millis startedAt = entry.startedAt;
    const Millis until = World::now() + longestStay;
    while (!m_world->stopping && World::now() < until && entry.startedAt == startedAt
           && entry.process->isRunning()) {
        call(caller);
        net::sleepFor(Millis {static_cast<std::int64_t>(
            caller.random() % static_cast<std::uint64_t>(longestGap.count) + 1)});
    }
}

LateCallers::BodyPlan LateCallers::draw(Caller &caller)
{
    constexpr std::uint64_t kinds = 3;
    const std::uint64_t kind = caller.random() % kinds;
    const std::size_t large =
        smallestLargeBody + caller.random() % (largestBody - smallestLargeBody);
    if (caller.bodies == Bodies::Large)
        return {largestBody / 2 + large / 2, slowPieces, slowPause};
    if (kind == 0)
        return {shortBody, 1, 0_ms};
    if (kind == 1)
        return {shortBody, slowPieces, slowPause};
    return {large / slowPieces, 1, 0_ms};
}

bool LateCallers::connect(Caller &caller)
{
    if (caller.socket && caller.socket->isOpen() && !caller.socket->readable())
        return true;
    caller.socket.emplace(m_world->pool.context(0));
    const net::Address address = m_world->entries[caller.entry].callerRelay->address();
    const bool connected = caller.socket->connect(address, net::deadlineAfter(connectTimeout)).ok();
    if (!connected)
        caller.socket.reset();
    return connected;
}

void LateCallers::call(Caller &caller)
{
    const BodyPlan plan = draw(caller);
    const bool connected = connect(caller);
    Call call;
    call.id = "late" + std::to_string(++m_lastCall);
    call.kind = CallKind::Post;
    call.prefix = "/post/";
    call.key = "key-diner";
    call.entry = caller.entry;
    call.patience = patience;
    call.sentAt = World::now();
    call.writtenAt = endOfTime;
    Call &sent = m_world->ledger.callerSends(call);
    if (!connected) {
        end(caller, sent, CallEnd::NotConnected, 0);
        return;
    }
    send(caller, sent, plan);
    readAnswer(caller, sent);
}

void LateCallers::send(Caller &caller, Call &call, const BodyPlan &plan)
{
    std::string text = "POST " + call.prefix + "2f HTTP/1.1\r\nHost: " + std::string(soakHost)
        + "\r\n" + std::string(names::requestId) + ": " + call.id + "\r\n"
        + std::string(names::deadline) + ": " + std::to_string(call.patience.count)
        + "\r\nAuthorization: " + std::string(names::keyScheme) + call.key
        + "\r\nContent-Length: " + std::to_string(plan.bytes) + "\r\n\r\n";
    text.append(plan.bytes, 'b');
    const std::size_t pieceBytes = (text.size() + plan.pieces - 1) / plan.pieces;
    for (std::size_t sent = 0; sent < text.size(); sent += pieceBytes) {
        // An early answer, or the end of the connection, ends the body.
        if (caller.socket->readable())
            return;
        const std::string_view piece = std::string_view(text).substr(sent, pieceBytes);
        const net::IoOutcome written = caller.socket->writeAll(
            asio::const_buffer(piece.data(), piece.size()), net::deadlineAfter(writeTimeout));
        if (!written.ok())
            return;
        if (sent + pieceBytes < text.size())
            net::sleepFor(plan.pause);
    }
    call.writtenAt = World::now();
}

void LateCallers::readAnswer(Caller &caller, Call &call)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    std::array<char, readBytes> buf {};
    std::string unparsed;
    const Millis until = World::now() + call.patience + lateReading;
    while (!parser.is_done()) {
        const net::IoOutcome outcome =
            caller.socket->readSome(asio::mutable_buffer(buf.data(), buf.size()), until);
        if (!outcome.ok()) {
            end(caller, call, outcome.timedOut ? CallEnd::TimedOut : CallEnd::Broken, 0);
            return;
        }
        unparsed.append(buf.data(), outcome.bytes);
        boost::system::error_code ec;
        unparsed.erase(0, parser.put(asio::buffer(unparsed), ec));
        if (ec && ec != http::error::need_more) {
            m_world->ledger.violation("MIXED", call.id + " got bytes that are no answer");
            end(caller, call, CallEnd::Broken, 0);
            return;
        }
    }
    const int status = static_cast<int>(parser.get().result_int());
    if (status == 200 && parser.get().body() != plainAnswer(call.id))
        m_world->ledger.violation("MIXED", call.id + " got another answer than its endpoint gave");
    if (!parser.keep_alive() || call.writtenAt == endOfTime)
        caller.socket.reset();
    end(caller, call, CallEnd::Answered, status);
}

void LateCallers::end(Caller &caller, Call &call, CallEnd end, int status)
{
    if (end != CallEnd::Answered)
        caller.socket.reset();
    m_world->ledger.callerEnds(call, end, status, World::now());
}

} // namespace fescue::soak
