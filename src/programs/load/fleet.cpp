#include "fleet.h"

#include <algorithm>

namespace fescue::load {

namespace {

// Time until all entries know that a zone went out or came in.
constexpr Millis zoneChangeDelay = 1_s;

emulator::EngineModel warmEngine(const emulator::EngineSettings &settings)
{
    emulator::EngineModel model(settings, Incarnation {1}, Millis {0});
    model.warmUp();
    return model;
}

} // namespace

Fleet::Fleet(const Scenario &scenario, const Mechanisms &mechanisms)
    : m_scenario(scenario), m_mechanisms(mechanisms), m_zones(scenario.zones)
{
    m_engines.reserve(scenario.engines);
    for (std::size_t i = 0; i < scenario.engines; ++i) {
        const EndpointName name("engine-" + std::to_string(i));
        m_engines.push_back(
            {name, scenario.zoneOfEngine(i), warmEngine(scenario.engine), makeAuthority(name, 1)});
    }
}

CreditAuthority Fleet::makeAuthority(const EndpointName &name, std::uint64_t fence) const
{
    EndpointCapacity capacity;
    capacity.endpoint = name;
    capacity.slots = m_scenario.engine.maxBatch;
    capacity.coldSlots =
        m_mechanisms.slowStart ? m_scenario.engine.coldLimit : m_scenario.engine.maxBatch;
    capacity.memoryTokens = m_scenario.engine.memoryTokens;
    return {capacity, CreditSettings {}, FencingNumber {fence}};
}

void Fleet::applyFaults(Millis now)
{
    while (m_nextFault < m_scenario.faults.size() && m_scenario.faults[m_nextFault].at <= now)
        applyFault(m_scenario.faults[m_nextFault++], now);
}

void Fleet::applyFault(const Fault &fault, Millis now)
{
    switch (fault.kind) {
    case FaultKind::ZoneOut:
        setZoneOut(fault.target, true, now);
        break;
    case FaultKind::ZoneIn:
        setZoneOut(fault.target, false, now);
        break;
    case FaultKind::Cold:
        m_engines[fault.target].model.turnCold(now);
        break;
    case FaultKind::Kill:
        m_engines[fault.target].model.kill(now);
        break;
    case FaultKind::ReportDelay:
        m_engines[fault.target].model.setReportLag(fault.delay);
        break;
    case FaultKind::AuthorityChange: {
        Engine &engine = m_engines[fault.target];
        engine.authority = makeAuthority(engine.name, engine.authority.authority().value + 1);
        engine.authority.startAsSuccessor(now);
        break;
    }
    }
}

void Fleet::setZoneOut(std::uint32_t zone, bool out, Millis now)
{
    m_zones[zone] = {out, now};
    for (Engine &engine : m_engines) {
        if (engine.zone != zone)
            continue;
        engine.authority.setServing(!out);
        if (!out)
            engine.model.turnCold(now);
    }
}

void Fleet::pollLoad(Millis now)
{
    for (Engine &engine : m_engines) {
        if (engine.model.isDown())
            continue;
        const emulator::EngineLoad load = engine.model.loadReport(now);
        LoadReport report;
        report.incarnation = load.incarnation;
        report.running = load.running;
        report.waiting = load.waiting;
        report.memoryUsed = load.memoryUsed;
        report.memoryTotal = load.memoryTotal;
        report.preemptions = load.preemptions;
        report.cold = load.cold;
        report.firstToken = load.firstToken;
        report.tokensTotal = load.tokensTotal;
        report.age = load.age;
        engine.authority.observeLoad(report, now);
    }
}

CreditGrant Fleet::answer(std::size_t engine, const EntryDemand &demand, Millis now)
{
    return m_engines[engine].authority.answer(demand, now);
}

bool Fleet::isEligible(std::size_t engine, Millis now) const
{
    const Engine &item = m_engines[engine];
    const ZoneState &zone = m_zones[item.zone];
    const bool known = now >= zone.changedAt + zoneChangeDelay;
    const bool out = known ? zone.out : !zone.out && zone.changedAt > Millis {0};
    return !out && !item.model.isDown();
}

std::size_t Fleet::indexOf(const EndpointName &endpoint) const
{
    const auto it = std::find_if(m_engines.begin(), m_engines.end(),
                                 [&endpoint](const Engine &item) { return item.name == endpoint; });
    return static_cast<std::size_t>(it - m_engines.begin());
}

} // namespace fescue::load
