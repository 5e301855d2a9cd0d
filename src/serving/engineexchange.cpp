#include "fescue/serving/engineexchange.h"

#include <array>
#include <cerrno>

namespace fescue::serving {

namespace {

constexpr std::size_t answerPieceBytes = std::size_t {16} * 1024;

} // namespace

SendOutcome outcomeOf(const Error &error) noexcept
{
    switch (error.code) {
    case ResultCode::ConnectFailed:
        return error.systemError == ECONNREFUSED ? SendOutcome::Refused : SendOutcome::NotSent;
    case ResultCode::Cancelled:
        return SendOutcome::CallerGone;
    case ResultCode::BackEndTimeout:
    case ResultCode::LinkSilent:
        return SendOutcome::TimedOut;
    default:
        return SendOutcome::Lost;
    }
}

Result<std::string> readWhole(net::ClientStream &stream, ByteShare &memory, std::size_t maxBytes,
                              Millis timeout)
{
    const Millis deadline = ServingState::now() + timeout;
    std::string body;
    std::array<char, answerPieceBytes> buf {};
    while (true) {
        const Result<std::size_t> n = stream.read(buf, deadline - ServingState::now());
        if (!n)
            return tl::unexpected(n.error());
        if (*n == 0)
            return body;
        if (body.size() + *n > maxBytes)
            return fail(ResultCode::BackEndProtocol, "the endpoint's answer is too long");
        if (!memory.take(*n))
            return fail(ResultCode::BackEndProtocol, "no memory is left for the endpoint's answer");
        body.append(buf.data(), *n);
    }
}

} // namespace fescue::serving
