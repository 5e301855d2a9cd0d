#pragma once

#include "fescue/net/endpointaddress.h"
#include "fescue/net/workerpool.h"

#include <cstdint>
#include <memory>

namespace fescue::standins {

enum class RelayMode : std::uint8_t
{
    Pass,
    // New connections are reset.
    Refuse,
    // Connections are accepted, and nothing passes on any of them. One that has lost bytes stays
    // silent for good.
    Silent,
    // Bytes pass towards the target only.
    SilentToCaller,
    // Bytes pass towards the caller only.
    SilentToTarget,
};

// Passes TCP connections on to a target, with faults. Belongs to the first worker of the pool.
class FaultRelay
{
public:
    FaultRelay(net::WorkerPool &pool, const net::Address &target);
    ~FaultRelay();
    FaultRelay(const FaultRelay &) = delete;
    FaultRelay &operator=(const FaultRelay &) = delete;

    // Where callers connect.
    [[nodiscard]] net::Address address() const;

    void setTarget(const net::Address &target);
    void setMode(RelayMode mode);
    // Holds each piece of data back this long, in both directions.
    void setDelay(Millis delay);
    // Replaces what the target sends by bytes that are no answer.
    void setGarbled(bool garbled);
    void resetOpen();
    // Ends for good: resets open connections, and the port refuses later ones, as that of a process
    // that has terminated does. address() may not be called afterwards.
    void stopListening();
    // Open connections stay open and pass nothing more; later ones work.
    void silenceOpen();
    // Connections that were accepted since the start.
    [[nodiscard]] int accepted() const noexcept;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace fescue::standins
