#pragma once

#include "fescue/emulator/enginemodel.h"
#include "fescue/policy/creditauthority.h"
#include "scenario.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescue::load {

// Which mechanisms of the policy are on.
struct Mechanisms
{
    // Off: each entry has a fixed equal part of each endpoint.
    bool credit = true;
    bool slowStart = true;
    bool forecast = true;
    bool affinity = true;
    bool zoneFirst = true;
    bool fairness = true;
    // Off: requests wait up to the callers' patience.
    bool earlyRefusal = true;
};

// The engines of a scenario, each with its credit authority, and the faults that befall them.
class Fleet
{
public:
    Fleet(const Scenario &scenario, const Mechanisms &mechanisms);

    // Applies the faults that are due.
    void applyFaults(Millis now);
    // Gives the authorities the engines' load reports.
    void pollLoad(Millis now);
    // Answers one entry's demand.
    [[nodiscard]] CreditGrant answer(std::size_t engine, const EntryDemand &demand, Millis now);
    // True where entries may give the engine new work, as they know it.
    [[nodiscard]] bool isEligible(std::size_t engine, Millis now) const;
    [[nodiscard]] emulator::EngineModel &engine(std::size_t i) { return m_engines[i].model; }
    [[nodiscard]] const EndpointName &name(std::size_t i) const { return m_engines[i].name; }
    [[nodiscard]] std::size_t size() const noexcept { return m_engines.size(); }
    [[nodiscard]] std::size_t indexOf(const EndpointName &endpoint) const;

private:
    struct Engine
    {
        EndpointName name;
        std::uint32_t zone = 0;
        emulator::EngineModel model;
        CreditAuthority authority;
    };
    struct ZoneState
    {
        bool out = false;
        Millis changedAt {0};
    };

    void applyFault(const Fault &fault, Millis now);
    void setZoneOut(std::uint32_t zone, bool out, Millis now);
    [[nodiscard]] CreditAuthority makeAuthority(const EndpointName &name,
                                                std::uint64_t fence) const;

    const Scenario &m_scenario;
    Mechanisms m_mechanisms;
    std::vector<Engine> m_engines;
    std::vector<ZoneState> m_zones;
    std::size_t m_nextFault = 0;
};

} // namespace fescue::load
