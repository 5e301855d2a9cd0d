#pragma once

#include "net/tcpsocket.h"
#include "tests/soak/world.h"

#include <optional>
#include <random>
#include <string>

namespace fescue::soak {

// What the bodies of a crowd of callers are like.
enum class Bodies : std::uint8_t
{
    // Some short, some in slow pieces, some large.
    Any,
    Large,
};

// Callers that stay with an entry through its stop, as those do that ask no directory, with bodies
// that arrive slowly or are large.
class LateCallers
{
public:
    explicit LateCallers(World &world) : m_world(&world) { }

    // Starts callers that call an entry until its next stop is over.
    void stayWith(std::size_t entry, std::size_t callers, Bodies bodies, std::uint32_t seed);

private:
    struct Caller
    {
        std::size_t entry = 0;
        Bodies bodies = Bodies::Any;
        std::mt19937_64 random;
        std::optional<net::TcpSocket> socket;
    };

    // How the body of one call arrives.
    struct BodyPlan
    {
        std::size_t bytes = 0;
        std::size_t pieces = 1;
        Millis pause {0};
    };

    void run(Caller &caller);
    void call(Caller &caller);
    [[nodiscard]] static BodyPlan draw(Caller &caller);
    // Opens a connection where there is none that can be used.
    [[nodiscard]] bool connect(Caller &caller);
    void send(Caller &caller, Call &call, const BodyPlan &plan);
    void readAnswer(Caller &caller, Call &call);
    void end(Caller &caller, Call &call, CallEnd end, int status);

    World *m_world;
    std::uint64_t m_lastCall = 0;
};

} // namespace fescue::soak
