#pragma once

#include "tests/soak/world.h"

#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace fescue::soak {

// The callers of the system: they ask the directory where to connect, keep connections, and check
// what they get.
class Callers
{
public:
    Callers(World &world, std::uint64_t seed);

    // Sends calls until the world stops.
    void run();

private:
    struct Session
    {
        net::HttpClient client;
        std::string zone;
        // Entries that the directory named.
        std::vector<std::size_t> entries;
        Millis askAgainAt {0};
    };

    // How a call is made.
    struct Order
    {
        CallKind kind = CallKind::Read;
        std::string prefix;
        std::string key;
        // When the caller leaves, if before the end.
        std::optional<Millis> leavesAfter;
        bool crashing = false;
        bool forges = false;
        bool isRetry = false;
        // For a stream that goes on: its last event that the caller has, and its length.
        std::uint64_t position = 0;
        std::uint32_t events = 0;
    };

    void sendPeriodically(CallKind kind, Millis meanGap);
    [[nodiscard]] Order draw(CallKind kind);
    void place(const Order &order);
    void resolve(Session &session);
    void takeDirectory(Session &session, std::size_t asked, const std::string &body);
    [[nodiscard]] net::HttpRequest makeRequest(const Call &call, const Order &order) const;
    void perform(Session &session, Call &call, const Order &order);
    void readPlain(net::ClientStream &stream, Call &call);
    void readEvents(net::ClientStream &stream, Call &call, const std::function<bool()> &leaves);
    void comeBack(const Order &order, std::string_view retryAfter, Millis deadline);
    // Asks for the rest of a stream that broke off.
    void goOn(const Order &order, const Call &broken);
    void end(Call &call, CallEnd end, int status);
    [[nodiscard]] double uniform();

    World *m_world;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Session>> m_sessions;
    std::uint64_t m_lastCall = 0;
};

} // namespace fescue::soak
