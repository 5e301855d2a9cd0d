#pragma once

#include "tests/soak/faultplan.h"
#include "tests/soak/latecallers.h"
#include "tests/soak/world.h"

namespace fescue::soak {

// Applies the faults around stops and starts of entry processes.
class StopFaults
{
public:
    explicit StopFaults(World &world) : m_world(&world), m_callers(world) { }

    void apply(const Fault &fault);

private:
    // Sends SIGTERM, with callers that stay with the entry. Returns false where it does not run.
    bool stop(std::size_t entry, const Fault &fault);
    void stopMany(const Fault &fault);
    void stopTwice(std::size_t entry, const Fault &fault);
    void pauseInStop(std::size_t entry, const Fault &fault);
    void hangUpAround(std::size_t entry, const Fault &fault);
    void disturbStore(const Fault &fault);
    void cutStoreLink(std::size_t entry, const Fault &fault);
    void drainEndpoints(const Fault &fault);

    World *m_world;
    LateCallers m_callers;
};

} // namespace fescue::soak
