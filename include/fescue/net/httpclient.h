#pragma once

#include "fescue/net/endpointaddress.h"
#include "fescue/net/httptypes.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace fescue::net {

class ClientConnection;

struct ClientLimits
{
    Millis connectTimeout = 1_s;
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 16ULL * 1024 * 1024;
    // Idle connections kept for each worker and address.
    std::size_t maxIdlePerAddress = 64;
    // Idle connections older than this are not used again. Shorter than servers' idle timeout.
    Millis maxIdleTime = 20_s;
};

// The answer to a request, read piece by piece. Belongs to the worker that opened it.
class ClientStream
{
public:
    ClientStream() noexcept;
    explicit ClientStream(std::unique_ptr<ClientConnection> connection) noexcept;
    ~ClientStream();
    ClientStream(ClientStream &&) noexcept;
    ClientStream &operator=(ClientStream &&) noexcept;

    [[nodiscard]] bool isOpen() const noexcept;
    [[nodiscard]] int status() const noexcept;
    [[nodiscard]] const std::vector<Header> &headers() const noexcept;
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;

    // Reads what has arrived of the body; waits while there is nothing. Returns 0 at the end.
    // Errors: LinkSilent when nothing arrives for the whole timeout (the stream can still be read
    // from), BackEndLost when the connection ended early, BackEndProtocol.
    [[nodiscard]] Result<std::size_t> read(std::span<char> buf, Millis timeout);
    // True if the connection has carried an earlier request, so that bytes left over from it may
    // come first.
    [[nodiscard]] bool isReused() const noexcept;
    // True if the body has neither a length nor chunks: the end of the connection ends it, and
    // whether it is complete shows only in its contents.
    [[nodiscard]] bool bodyEndsWithConnection() const noexcept;
    // Reads the rest of the body, at most maxBytes. Where `mayTake` is given, it is asked for the
    // memory of each piece; once it returns false, the read ends with BackEndProtocol.
    [[nodiscard]] Result<std::string> readAll(std::size_t maxBytes, Millis timeout,
                                              const std::function<bool(std::size_t)> &mayTake = {});
    // Skips a whole answer and reads the head of the next one on the same connection, for peers
    // that repeat an earlier answer before the one that is due. Keeps nothing of the one skipped.
    [[nodiscard]] Result<void> nextAnswer(std::size_t maxBytes, Millis timeout);
    // Closes the connection. A read that waits on another fiber of the worker ends with
    // BackEndLost.
    void close() noexcept;

private:
    std::unique_ptr<ClientConnection> m_connection;
};

// An HTTP/1.1 client for fibers of a worker pool. Keeps connections alive for each worker and
// address, and checks that an idle one has not been closed before it is used again.
//
// Errors: ConnectFailed (no byte was sent), BackEndTimeout, BackEndLost (in both the peer may
// have acted on the request), BackEndProtocol.
class HttpClient
{
public:
    explicit HttpClient(ClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Sends a request and reads the whole answer. The timeout covers connecting as well.
    [[nodiscard]] Result<HttpResponse> request(const Address &address, const HttpRequest &request,
                                               Millis timeout);
    // Sends a request and reads the head of the answer, whatever its status. Where `abandoned` is
    // given, all waits for the answer ask it several times a second and end with Cancelled once it
    // returns true.
    [[nodiscard]] Result<ClientStream> openStream(const Address &address,
                                                  const HttpRequest &request, Millis headTimeout,
                                                  const std::function<bool()> &abandoned = {});
    // Closes idle connections to an address, for example after one of them went silent.
    void dropIdle(const Address &address);

    struct Shared;

private:
    std::shared_ptr<Shared> m_shared;
};

} // namespace fescue::net
