#pragma once

#include "fescue/core/clock.h"
#include "fescue/net/endpointaddress.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fescue::test {

// What a client does after its last byte.
enum class ClientEnd : std::uint8_t
{
    StaysOpen,
    ClosesHalf,
    Resets,
};

// How much of the answers a client reads.
enum class ClientReading : std::uint8_t
{
    All,
    // A byte with each step.
    Slow,
    Nothing,
};

// What a client sends: a head, a part that repeats, and an end. An empty head sends nothing.
struct ClientScript
{
    std::string head;
    std::string part;
    std::size_t parts = 0;
    std::string tail;
    // Bytes of one write; the whole rest if 0.
    std::size_t pieceBytes = 0;
    // Pause between two writes.
    Millis pause {0};
    ClientReading reading = ClientReading::All;
    ClientEnd end = ClientEnd::StaysOpen;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return head.size() + part.size() * parts + tail.size();
    }
};

// Connections that each follow a script, all from one thread and from one IP number. The scripts
// are dealt in turn.
class ClientCrowd
{
public:
    struct Target
    {
        net::Address address;
        ClientScript script;
    };

    ClientCrowd(std::vector<Target> targets, std::size_t connections);
    // Closes all connections.
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    // Waits until every client has sent its script, was closed, or can go no further.
    void waitUntilSettled();
    // Clients whose connection was made.
    [[nodiscard]] std::size_t connected() const noexcept { return m_connected; }

private:
    class Client;

    void run();

    std::vector<Target> m_targets;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::atomic<bool> m_stopping {false};
    std::atomic<bool> m_settled {false};
    std::atomic<std::size_t> m_connected {0};
    std::thread m_thread;
};

} // namespace fescue::test
