#include "fescue/net/httpclient.h"

#include "net/clientconnection.h"

#include "fescue/core/parsenumber.h"

#include <algorithm>

namespace fescue::net {

namespace {

constexpr std::size_t bodyPieceBytes = 16ULL * 1024;

tl::unexpected<Error> tooLong(const ClientConnection &connection, std::size_t maxBytes)
{
    return fail(ResultCode::BackEndProtocol,
                connection.address().toString() + ": the answer is longer than "
                    + std::to_string(maxBytes) + " bytes");
}

// Reads the rest of the body; the deadline is for all of it.
Result<std::string> readRest(ClientConnection &connection, std::size_t maxBytes, Millis deadline,
                             const std::function<bool(std::size_t)> &mayTake = {})
{
    std::string body;
    // A string that grows is copied, and then held twice.
    const std::optional<std::size_t> announced =
        parseNumber<std::size_t>(findHeader(connection.headers(), "Content-Length"));
    if (announced && *announced <= maxBytes)
        body.reserve(*announced + bodyPieceBytes);
    while (true) {
        const std::size_t size = body.size();
        body.resize(size + bodyPieceBytes);
        Result<std::size_t> n = connection.readBody(std::span<char>(body).subspan(size), deadline);
        if (!n)
            return tl::unexpected(n.error());
        body.resize(size + *n);
        if (*n == 0)
            return body;
        if (body.size() > maxBytes)
            return tooLong(connection, maxBytes);
        if (mayTake && !mayTake(*n)) {
            return fail(ResultCode::BackEndProtocol,
                        connection.address().toString() + ": no memory is left for the answer");
        }
    }
}

// Reads the rest of the body and keeps nothing of it.
Result<void> skipRest(ClientConnection &connection, std::size_t maxBytes, Millis deadline)
{
    std::string piece(bodyPieceBytes, '\0');
    std::size_t skipped = 0;
    while (true) {
        const Result<std::size_t> n = connection.readBody(piece, deadline);
        if (!n)
            return tl::unexpected(n.error());
        if (*n == 0)
            return {};
        skipped += *n;
        if (skipped > maxBytes)
            return tooLong(connection, maxBytes);
    }
}

using ConnectionPtr = std::unique_ptr<ClientConnection>;

Result<ConnectionPtr> openConnection(const std::shared_ptr<HttpClient::Shared> &shared,
                                     const Address &address, Millis deadline)
{
    ConnectionPtr connection =
        std::make_unique<ClientConnection>(currentContext(), address, shared);
    const Millis limit = std::min(deadline, deadlineAfter(shared->limits.connectTimeout));
    if (Result<void> connected = connection->connect(limit); !connected)
        return tl::unexpected(connected.error());
    return connection;
}

Result<void> exchangeHeads(ClientConnection &connection, const HttpRequest &request,
                           std::optional<std::uint64_t> maxBodyBytes, Millis deadline)
{
    Result<void> sent = connection.sendRequest(request, deadline);
    if (!sent)
        return sent;
    const std::uint32_t maxHeadBytes = connection.pool()->limits.maxHeadBytes;
    return connection.readHead(maxHeadBytes, maxBodyBytes, deadline);
}

// Sends the request and reads the head of the answer, on a kept connection where there is one.
Result<ConnectionPtr> perform(const std::shared_ptr<HttpClient::Shared> &shared,
                              const Address &address, const HttpRequest &request,
                              std::optional<std::uint64_t> maxBodyBytes, Millis deadline,
                              const std::function<bool()> &abandoned = {})
{
    ConnectionPtr kept = request.freshConnection ? nullptr : shared->take(address);
    if (kept) {
        kept->setAbandoned(abandoned);
        const Result<void> done = exchangeHeads(*kept, request, maxBodyBytes, deadline);
        if (done)
            return kept;
        const bool wasClosed = done.error().code == ResultCode::BackEndLost && !kept->answered();
        if (!wasClosed || !request.mayResend)
            return tl::unexpected(done.error());
    }
    Result<ConnectionPtr> opened = openConnection(shared, address, deadline);
    if (!opened)
        return opened;
    (*opened)->setAbandoned(abandoned);
    if (request.settleTime > Millis {0}) {
        const Result<void> settled =
            (*opened)->settle(std::min(request.settleTime, deadline - steadyNow()));
        if (!settled)
            return tl::unexpected(settled.error());
    }
    const Result<void> done = exchangeHeads(**opened, request, maxBodyBytes, deadline);
    if (!done)
        return tl::unexpected(done.error());
    return opened;
}

} // namespace

HttpClient::HttpClient(ClientLimits limits) : m_shared(std::make_shared<Shared>(limits)) { }

HttpClient::~HttpClient()
{
    m_shared->close();
}

Result<HttpResponse> HttpClient::request(const Address &address, const HttpRequest &request,
                                         Millis timeout)
{
    const Millis deadline = deadlineAfter(timeout);
    const std::uint64_t maxBodyBytes = m_shared->limits.maxBodyBytes;
    Result<ConnectionPtr> connection = perform(m_shared, address, request, maxBodyBytes, deadline);
    if (!connection)
        return tl::unexpected(connection.error());
    Result<std::string> body = readRest(**connection, maxBodyBytes, deadline);
    if (!body && body.error().code == ResultCode::LinkSilent)
        body.error().code = ResultCode::BackEndTimeout;
    if (!body)
        return tl::unexpected(body.error());
    HttpResponse response;
    response.status = (*connection)->status();
    response.headers = (*connection)->releaseHeaders();
    response.body = std::move(*body);
    m_shared->giveBack(std::move(*connection));
    return response;
}

Result<ClientStream> HttpClient::openStream(const Address &address, const HttpRequest &request,
                                            Millis headTimeout,
                                            const std::function<bool()> &abandoned)
{
    Result<ConnectionPtr> connection =
        perform(m_shared, address, request, std::nullopt, deadlineAfter(headTimeout), abandoned);
    if (!connection)
        return tl::unexpected(connection.error());
    return ClientStream(std::move(*connection));
}

void HttpClient::dropIdle(const Address &address)
{
    m_shared->drop(address);
}

ClientStream::ClientStream() noexcept = default;

ClientStream::ClientStream(std::unique_ptr<ClientConnection> connection) noexcept
    : m_connection(std::move(connection))
{ }

ClientStream::~ClientStream()
{
    if (m_connection) {
        const std::shared_ptr<HttpClient::Shared> pool = m_connection->pool();
        pool->giveBack(std::move(m_connection));
    }
}

ClientStream::ClientStream(ClientStream &&) noexcept = default;

ClientStream &ClientStream::operator=(ClientStream &&other) noexcept
{
    ClientStream old(std::move(m_connection));
    m_connection = std::move(other.m_connection);
    return *this;
}

bool ClientStream::isOpen() const noexcept
{
    return m_connection != nullptr;
}

int ClientStream::status() const noexcept
{
    return m_connection ? m_connection->status() : 0;
}

const std::vector<Header> &ClientStream::headers() const noexcept
{
    static const std::vector<Header> none;
    return m_connection ? m_connection->headers() : none;
}

std::string_view ClientStream::header(std::string_view name) const noexcept
{
    return findHeader(headers(), name);
}

bool ClientStream::isReused() const noexcept
{
    return m_connection && m_connection->isReused();
}

bool ClientStream::bodyEndsWithConnection() const noexcept
{
    return m_connection && m_connection->bodyEndsWithConnection();
}

Result<std::size_t> ClientStream::read(std::span<char> buf, Millis timeout)
{
    if (!m_connection)
        return fail(ResultCode::BackEndLost, "the stream is not open");
    return m_connection->readBody(buf, deadlineAfter(timeout));
}

Result<std::string> ClientStream::readAll(std::size_t maxBytes, Millis timeout,
                                          const std::function<bool(std::size_t)> &mayTake)
{
    if (!m_connection)
        return fail(ResultCode::BackEndLost, "the stream is not open");
    return readRest(*m_connection, maxBytes, deadlineAfter(timeout), mayTake);
}

Result<void> ClientStream::nextAnswer(std::size_t maxBytes, Millis timeout)
{
    if (!m_connection)
        return fail(ResultCode::BackEndLost, "the stream is not open");
    const Millis deadline = deadlineAfter(timeout);
    if (Result<void> skipped = skipRest(*m_connection, maxBytes, deadline); !skipped)
        return skipped;
    return m_connection->readHead(m_connection->pool()->limits.maxHeadBytes, std::nullopt,
                                  deadline);
}

void ClientStream::close() noexcept
{
    if (m_connection)
        m_connection->close();
}

} // namespace fescue::net
