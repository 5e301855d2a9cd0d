#include "tests/soak/stopfaults.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace fescue::soak {

namespace {

// Callers of a stopping entry, and those of one that gets large bodies beside its stop.
constexpr std::size_t fewCallers = 4;
constexpr std::size_t manyCallers = 32;
// Callers are there for this long before the signal.
constexpr Millis callersAhead = 500_ms;
constexpr Millis latestSecondSignal = 1_s;
constexpr Millis latestPause = 1500_ms;
constexpr Millis longestPause = 3_s;
constexpr unsigned hangupsInSeries = 20;
constexpr Millis latestHangup = 30_ms;
constexpr Millis shortestNotice = 1500_ms;
constexpr Millis longestExtraNotice = 5_s;
constexpr Millis replacementPause = 2_s;

Millis part(Millis whole, double strength)
{
    return {static_cast<std::int64_t>(static_cast<double>(whole.count) * strength) + 1};
}

// A number that is drawn with the fault, apart from the entry that it hits.
std::size_t choice(const Fault &fault, std::size_t choices)
{
    return fault.target / 4096 % choices;
}

} // namespace

void StopFaults::apply(const Fault &fault)
{
    const std::size_t entry = fault.target % m_world->entries.size();
    StartTrouble &next = m_world->entries[entry].nextStart;
    const std::array<SettingsState, 4> states {SettingsState::Empty, SettingsState::Cut,
                                               SettingsState::Replaced, SettingsState::Absent};
    switch (fault.kind) {
    case FaultKind::EntryAddressHeld: {
        const EntryProcess &process = *m_world->entries[entry].process;
        const std::array<net::Address, 3> addresses {process.front(), process.ready(),
                                                     process.directory()};
        if (stop(entry, fault)) {
            next.held = addresses[choice(fault, addresses.size())];
            next.lasts = fault.lasts;
        }
        break;
    }
    case FaultKind::SettingsIncompleteAtStart:
        if (stop(entry, fault)) {
            next.settings = states[choice(fault, states.size())];
            next.lasts = fault.lasts;
        }
        break;
    case FaultKind::SettingsIncompleteAtReload:
        m_world->disturbSettings(entry, states[choice(fault, states.size())], fault.lasts);
        m_world->pool.spawn(0, [this, entry] { m_world->sendHangups(entry, 1, 0_ms); });
        break;
    case FaultKind::HangupsAroundStop:
        hangUpAround(entry, fault);
        break;
    case FaultKind::StopSignalledTwice:
        stopTwice(entry, fault);
        break;
    case FaultKind::ManyEntriesStopped:
        stopMany(fault);
        break;
    case FaultKind::StopBesideStoreAway:
        disturbStore(fault);
        stop(entry, fault);
        break;
    case FaultKind::StopBesideCutLink:
        cutStoreLink(entry, fault);
        stop(entry, fault);
        break;
    case FaultKind::StopBesideLeavingEndpoints:
        drainEndpoints(fault);
        stop(entry, fault);
        break;
    case FaultKind::PauseInStop:
        pauseInStop(entry, fault);
        break;
    default:
        stop(entry, fault);
        break;
    }
}

bool StopFaults::stop(std::size_t entry, const Fault &fault)
{
    const Entry &stopped = m_world->entries[entry];
    if (!stopped.process->isRunning() || stopped.endExpected)
        return false;
    const bool large = fault.kind == FaultKind::StopBesideLargeBodies;
    m_callers.stayWith(entry, large ? manyCallers : fewCallers, large ? Bodies::Large : Bodies::Any,
                       fault.target);
    net::sleepFor(callersAhead);
    return m_world->end(entry, SIGTERM);
}

void StopFaults::stopMany(const Fault &fault)
{
    const std::size_t n = m_world->entries.size();
    const std::size_t stopped = choice(fault, 3) == 0 ? n : (n + 1) / 2;
    stop(fault.target % n, fault);
    for (std::size_t i = 1; i < stopped; ++i)
        m_world->end((fault.target + i) % n, SIGTERM);
}

void StopFaults::stopTwice(std::size_t entry, const Fault &fault)
{
    if (!stop(entry, fault))
        return;
    m_world->pool.spawn(0, [this, entry, fault] {
        net::sleepFor(part(latestSecondSignal, fault.strength));
        if (m_world->entries[entry].endExpected)
            m_world->entries[entry].process->signal(SIGTERM);
    });
}

void StopFaults::pauseInStop(std::size_t entry, const Fault &fault)
{
    if (!stop(entry, fault))
        return;
    m_world->pool.spawn(0, [this, entry, fault] {
        net::sleepFor(part(latestPause, fault.strength));
        const Entry &stopping = m_world->entries[entry];
        if (!stopping.endExpected)
            return;
        const Millis lasts = std::min(fault.lasts, longestPause);
        m_world->disturbances.entries[entry].add(World::now(), World::now() + lasts);
        stopping.process->signal(SIGSTOP);
        net::sleepFor(lasts);
        stopping.process->signal(SIGCONT);
    });
}

void StopFaults::hangUpAround(std::size_t entry, const Fault &fault)
{
    if (!stop(entry, fault))
        return;
    StartTrouble &next = m_world->entries[entry].nextStart;
    next.hangups = hangupsInSeries;
    next.firstHangup = part(latestHangup, fault.strength);
    m_world->pool.spawn(0, [this, entry] { m_world->sendHangups(entry, hangupsInSeries, 1_ms); });
}

void StopFaults::disturbStore(const Fault &fault)
{
    constexpr std::array<StoreMode, 3> modes {StoreMode::Unavailable, StoreMode::Reset,
                                              StoreMode::Hang};
    PlatformStore &store = m_world->store;
    m_world->disturbances.store.add(World::now(), World::now() + fault.lasts);
    store.setMode(modes[choice(fault, modes.size())]);
    m_world->pool.spawn(0, [&store, lasts = fault.lasts] {
        net::sleepFor(lasts);
        store.setMode(StoreMode::Serve);
    });
}

void StopFaults::cutStoreLink(std::size_t entry, const Fault &fault)
{
    FaultRelay &relay = *m_world->entries[entry].storeRelay;
    m_world->disturbances.storeLinks[entry].add(World::now(), World::now() + fault.lasts);
    relay.setMode(choice(fault, 2) == 0 ? RelayMode::Refuse : RelayMode::Silent);
    if (choice(fault, 2) == 0)
        relay.resetOpen();
    m_world->pool.spawn(0, [&relay, lasts = fault.lasts] {
        net::sleepFor(lasts);
        relay.setMode(RelayMode::Pass);
        relay.resetOpen();
    });
}

void StopFaults::drainEndpoints(const Fault &fault)
{
    EndpointFarm &farm = m_world->farm;
    for (const std::string_view service : {engineService, firstPlainService}) {
        std::vector<Endpoint *> live = farm.live(service);
        // Half of them stay.
        live.resize(live.size() / 2);
        for (Endpoint *endpoint : live) {
            const Millis notice = shortestNotice + part(longestExtraNotice, fault.strength);
            farm.drain(*endpoint, notice);
            m_world->pool.spawn(0, [&farm, service, zone = endpoint->zone, notice] {
                net::sleepFor(notice + replacementPause);
                farm.start(service, zone, true);
            });
        }
    }
}

} // namespace fescue::soak
