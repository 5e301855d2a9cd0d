#pragma once

#include "tests/soak/faultplan.h"
#include "tests/soak/stopfaults.h"
#include "tests/soak/world.h"

#include <functional>
#include <string>
#include <vector>

namespace fescue::soak {

// Applies the faults of a plan to the world, each at its time.
class Injector
{
public:
    explicit Injector(World &world) : m_world(&world), m_stops(world) { }

    // Runs the whole plan, on a fiber of the first worker; returns after the last fault has begun.
    void run(const std::vector<Fault> &plan);
    // A line for each fault that was applied.
    [[nodiscard]] const std::vector<std::string> &applied() const noexcept { return m_applied; }

private:
    void apply(const Fault &fault);
    void hitEntry(const Fault &fault);
    void hitStore(const Fault &fault);
    void hitStoreLink(const Fault &fault);
    void hitCallerLink(const Fault &fault);
    void hitEndpoint(const Fault &fault);
    void pauseEndpoint(const Fault &fault, Endpoint &endpoint);
    void troubleEndpoint(const Fault &fault, Endpoint &endpoint);
    void endEndpoint(const Fault &fault, Endpoint &endpoint);
    void changeConfig(const Fault &fault);
    void takeZoneOut(const Fault &fault);
    void lapseEntries(const Fault &fault);
    void rewindStore(const Fault &fault);
    // Another writer leaves entries among those of the endpoints that cannot be read.
    void writeOddEntries(const Fault &fault);
    // Endpoints that live write their entries again where the store lacks them.
    void registerLiveEndpoints();
    // Clients outside the limits come to addresses of an entry that forward nothing.
    void sendCrowd(const Fault &fault);
    // Runs `over` when the fault is over.
    void after(Millis span, std::function<void()> over);

    World *m_world;
    StopFaults m_stops;
    std::vector<std::string> m_applied;
};

} // namespace fescue::soak
