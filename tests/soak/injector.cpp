#include "tests/soak/injector.h"

#include "platform/names.h"
#include "tests/clients/clientscripts.h"

#include <algorithm>
#include <csignal>
#include <memory>

namespace fescue::soak {

namespace names = platform::names;

namespace {

// A zone is out for longer than the other faults last, so that the bound for leaving it is met.
constexpr Millis zoneOutExtra = 7_s;
constexpr Millis replacementPause = 2_s;
constexpr Millis reuseAfter = 2_s;
constexpr std::size_t crowdClients = 60;
constexpr Millis shortestNotice = 1500_ms;
// Some endpoints serve on for many seconds after they have given notice.
constexpr Millis longestExtraNotice = 6500_ms;
// An endpoint that says in its answers that it leaves serves on for longer than it takes until
// nothing may reach it any more.
constexpr Millis drainWord = 3_s;
constexpr Millis stormGap = 150_ms;
constexpr unsigned stormVersions = 6;
constexpr unsigned manyRoutes = 300;
constexpr Millis mostDelay = 400_ms;

Millis part(Millis whole, double strength)
{
    return {static_cast<std::int64_t>(static_cast<double>(whole.count) * strength) + 1};
}

} // namespace

void Injector::run(const std::vector<Fault> &plan)
{
    for (const Fault &fault : plan) {
        const Millis due = m_world->beganAt + fault.at;
        if (due > World::now())
            net::sleepFor(due - World::now());
        m_applied.push_back(
            std::to_string(fault.at.count) + " ms " + std::string(toString(fault.kind)) + " target "
            + std::to_string(fault.target) + " for " + std::to_string(fault.lasts.count) + " ms");
        apply(fault);
    }
}

void Injector::after(Millis span, std::function<void()> over)
{
    m_world->pool.spawn(0, [span, over = std::move(over)] {
        net::sleepFor(span);
        over();
    });
}

void Injector::apply(const Fault &fault)
{
    if (fault.kind == FaultKind::ClientCrowdComes)
        sendCrowd(fault);
    else if (fault.kind >= FaultKind::EntryAddressHeld)
        m_stops.apply(fault);
    else if (fault.kind == FaultKind::StoreComesBackOlder)
        rewindStore(fault);
    else if (fault.kind == FaultKind::OddEntries)
        writeOddEntries(fault);
    else if (fault.kind <= FaultKind::AllEntriesKilled)
        hitEntry(fault);
    else if (fault.kind <= FaultKind::StoreTurnsEntryAway)
        hitStore(fault);
    else if (fault.kind == FaultKind::EntriesLapse)
        lapseEntries(fault);
    else if (fault.kind <= FaultKind::StoreConnectionsSilenced)
        hitStoreLink(fault);
    else if (fault.kind <= FaultKind::CallerConnectionsSilenced)
        hitCallerLink(fault);
    else if (fault.kind <= FaultKind::EndpointConnectionsSilenced
             || fault.kind >= FaultKind::EndpointSaysLeaving)
        hitEndpoint(fault);
    else if (fault.kind == FaultKind::ZoneOut)
        takeZoneOut(fault);
    else
        changeConfig(fault);
}

void Injector::writeOddEntries(const Fault &fault)
{
    constexpr std::size_t nestedLists = 20'000;
    const std::string nested = std::string(nestedLists, '[') + std::string(nestedLists, ']');
    // The members of an entry that differ from those of a usable one.
    const std::array<std::string, 6> oddMembers {
        R"("Service":)" + nested, R"("Models":)" + nested, R"("Slots":1e400)",
        R"("Slots":-1)",          R"("born":1e300)",       R"("Address":"127.0.0.1:70000")"};
    const std::string prefix = "servers/odd-" + std::to_string(fault.at.count) + '-';
    for (std::size_t n = 0; n < oddMembers.size(); ++n) {
        // The last of two members with one name counts.
        const std::string usable = R"({"Service":")" + std::string(firstPlainService)
            + R"(","Address":"127.0.0.1:9","Zone":"z0","Version":"v1","Slots":6,"State":"ready",)"
            + R"("ColdRemainingMs":0,"Sequence":1,)";
        m_world->store.put(prefix + std::to_string(n), usable + oddMembers[n] + '}');
    }
    after(fault.lasts, [this, prefix, n = oddMembers.size()] {
        for (std::size_t i = 0; i < n; ++i)
            m_world->store.remove(prefix + std::to_string(i));
    });
}

void Injector::hitEntry(const Fault &fault)
{
    const std::size_t n = m_world->entries.size();
    const std::size_t first = fault.target % n;
    switch (fault.kind) {
    case FaultKind::EntryStopped:
        m_world->end(first, SIGTERM);
        break;
    case FaultKind::EntryReloads:
        m_world->entries[first].process->writeSettings(fault.target);
        // Settings may change with and without a signal.
        if (fault.target / 64 % 2 == 0)
            after(0_ms, [this, first] { m_world->sendHangups(first, 1, 0_ms); });
        break;
    case FaultKind::EntryPaused:
        m_world->disturbances.entries[first].add(World::now(), World::now() + fault.lasts);
        m_world->entries[first].process->signal(SIGSTOP);
        after(fault.lasts, [this, first] { m_world->entries[first].process->signal(SIGCONT); });
        break;
    default: {
        const std::size_t killed = fault.kind == FaultKind::AllEntriesKilled ? n
            : fault.kind == FaultKind::ManyEntriesKilled                     ? (n + 1) / 2
                                                                             : 1;
        for (std::size_t i = 0; i < killed; ++i)
            m_world->end((first + i) % n, SIGKILL);
        break;
    }
    }
}

void Injector::hitStore(const Fault &fault)
{
    PlatformStore &store = m_world->store;
    const std::size_t entry = fault.target % m_world->entries.size();
    const Millis now = World::now();
    if (fault.kind == FaultKind::StoreTurnsEntryAway) {
        constexpr std::array<StoreMode, 3> modes {StoreMode::Unavailable, StoreMode::Reset,
                                                  StoreMode::Hang};
        m_world->disturbances.storeLinks[entry].add(now, now + fault.lasts);
        store.setMode(entry, modes[fault.target / 64 % modes.size()]);
        after(fault.lasts, [&store, entry] { store.setMode(entry, StoreMode::Serve); });
        return;
    }
    m_world->disturbances.store.add(now, now + fault.lasts);
    switch (fault.kind) {
    case FaultKind::StoreUnavailable:
        store.setMode(StoreMode::Unavailable);
        break;
    case FaultKind::StoreReset:
        store.setMode(StoreMode::Reset);
        break;
    case FaultKind::StoreHangs:
        store.setMode(StoreMode::Hang);
        break;
    case FaultKind::StoreSlow:
        store.setDelay(part(mostDelay, fault.strength));
        break;
    case FaultKind::StoreLosesAnswers:
        store.setLostAnswers(1 + static_cast<unsigned>(fault.strength * 6));
        break;
    default:
        store.dropHistory();
        break;
    }
    after(fault.lasts, [&store] {
        store.setMode(StoreMode::Serve);
        store.setDelay({0});
        store.setLostAnswers(0);
    });
}

void Injector::lapseEntries(const Fault &fault)
{
    // Entries of endpoints lapse while the store is away, and are back within two seconds.
    constexpr Millis latestReturn = 2_s;
    const Millis now = World::now();
    PlatformStore &store = m_world->store;
    m_world->disturbances.store.add(now, now + fault.lasts + latestReturn);
    store.setMode(StoreMode::Unavailable);
    for (const std::unique_ptr<Endpoint> &endpoint : m_world->farm.all()) {
        if (endpoint->alive && (endpoint->index + fault.target) % 2 == 0)
            m_world->farm.setRegistered(*endpoint, false);
    }
    after(fault.lasts, [this, &store, latestReturn, fault] {
        store.setMode(StoreMode::Serve);
        net::sleepFor(part(latestReturn, fault.strength * 0.9));
        registerLiveEndpoints();
    });
}

void Injector::registerLiveEndpoints()
{
    for (const std::unique_ptr<Endpoint> &endpoint : m_world->farm.all())
        m_world->farm.setRegistered(*endpoint, true);
}

void Injector::rewindStore(const Fault &fault)
{
    // The store is away for a moment at most; the operator and the endpoints write again soon.
    constexpr Millis longestAway = 800_ms;
    constexpr Millis latestReturn = 2_s;
    constexpr Millis furthestBack = 6_s;
    const Millis away = part(longestAway, fault.target % 16 / 16.0);
    const Millis back = part(furthestBack, fault.strength);
    const Millis now = World::now();
    PlatformStore &store = m_world->store;
    m_world->disturbances.store.add(now, now + away + latestReturn);
    // Sometimes nobody sees that it was away.
    const bool seen = fault.target / 16 % 4 != 0;
    if (seen)
        store.setMode(StoreMode::Unavailable);
    after(away, [this, &store, back, latestReturn, fault] {
        store.rewind(back);
        store.setMode(StoreMode::Serve);
        net::sleepFor(part(latestReturn, fault.target / 64 % 16 / 16.0));
        store.writeAgain();
        registerLiveEndpoints();
    });
}

void Injector::hitStoreLink(const Fault &fault)
{
    const std::size_t index = fault.target % m_world->entries.size();
    FaultRelay &relay = *m_world->entries[index].storeRelay;
    m_world->disturbances.storeLinks[index].add(World::now(), World::now() + fault.lasts);
    switch (fault.kind) {
    case FaultKind::StoreLinkSilent:
        relay.setMode(RelayMode::Silent);
        break;
    case FaultKind::StoreLinkOneWay:
        relay.setMode(fault.target / 64 % 2 == 0 ? RelayMode::SilentToCaller
                                                 : RelayMode::SilentToTarget);
        break;
    case FaultKind::StoreLinkRefuses:
        relay.setMode(RelayMode::Refuse);
        relay.resetOpen();
        break;
    default:
        relay.silenceOpen();
        return;
    }
    after(fault.lasts, [&relay] {
        relay.setMode(RelayMode::Pass);
        relay.resetOpen();
    });
}

void Injector::hitCallerLink(const Fault &fault)
{
    const std::size_t index = fault.target % m_world->entries.size();
    FaultRelay &relay = *m_world->entries[index].callerRelay;
    // Callers of a silent connection wait until their deadline.
    m_world->disturbances.callerLinks[index].add(World::now(), World::now() + fault.lasts);
    if (fault.kind == FaultKind::CallerLinkDelayed) {
        relay.setDelay(part(mostDelay, fault.strength));
        after(fault.lasts, [&relay] { relay.setDelay({0}); });
    } else if (fault.kind == FaultKind::CallerLinkReset) {
        relay.resetOpen();
    } else {
        relay.silenceOpen();
        m_world->disturbances.callerLinks[index].add(World::now(), World::now() + 25_s);
    }
}

void Injector::hitEndpoint(const Fault &fault)
{
    std::vector<Endpoint *> live;
    for (const std::unique_ptr<Endpoint> &endpoint : m_world->farm.all()) {
        if (endpoint->alive && !endpoint->draining && !endpoint->saysLeaving)
            live.push_back(endpoint.get());
    }
    if (live.empty())
        return;
    Endpoint &endpoint = *live[fault.target % live.size()];
    const bool ends = fault.kind <= FaultKind::EndpointAddressReused
        || fault.kind == FaultKind::EndpointSaysLeaving;
    if (ends)
        endEndpoint(fault, endpoint);
    else if (fault.kind == FaultKind::EndpointAsksPause)
        pauseEndpoint(fault, endpoint);
    else
        troubleEndpoint(fault, endpoint);
}

void Injector::endEndpoint(const Fault &fault, Endpoint &endpoint)
{
    EndpointFarm &farm = m_world->farm;
    const bool crashes = fault.kind == FaultKind::EndpointCrashes;
    const bool saysSo = fault.kind == FaultKind::EndpointSaysLeaving;
    const Millis notice =
        shortestNotice + part(longestExtraNotice, fault.strength) + (saysSo ? drainWord : 0_ms);
    if (crashes)
        farm.crash(endpoint);
    else if (saysSo)
        farm.sayLeaving(endpoint, notice);
    else
        farm.drain(endpoint, notice);
    const Millis pause = (crashes ? 0_ms : notice) + std::max(replacementPause, reuseAfter);
    after(pause, [&farm, &endpoint, fault] {
        const bool reuses = fault.kind == FaultKind::EndpointAddressReused;
        const bool isEngine = endpoint.service == engineService;
        const std::string_view other = isEngine ? firstPlainService : engineService;
        if (reuses)
            EndpointFarm::reuseAddress(endpoint, farm.start(other, endpoint.zone, true));
        farm.start(endpoint.service, endpoint.zone, true);
    });
}

void Injector::pauseEndpoint(const Fault &fault, Endpoint &endpoint)
{
    // The endpoint is sound: no disturbance excuses what reaches it.
    endpoint.trouble.pausing = fault.strength;
    after(fault.lasts, [&endpoint] { endpoint.trouble.pausing = 0; });
}

void Injector::troubleEndpoint(const Fault &fault, Endpoint &endpoint)
{
    FaultRelay &relay = *endpoint.relay;
    EndpointTrouble &trouble = endpoint.trouble;
    m_world->disturbances.endpoints[endpoint.index].add(World::now(), World::now() + fault.lasts);
    switch (fault.kind) {
    case FaultKind::EndpointGrey:
        trouble.failing = fault.strength;
        break;
    case FaultKind::EndpointLosesAnswers:
        trouble.losing = fault.strength;
        break;
    case FaultKind::EndpointTruncates:
        trouble.truncating = fault.strength;
        break;
    case FaultKind::EndpointSheds:
        trouble.shedding = fault.strength;
        break;
    case FaultKind::EndpointEndless:
        trouble.endless = fault.strength;
        break;
    case FaultKind::EndpointGarbles:
        relay.setGarbled(true);
        break;
    case FaultKind::EndpointLinkDelayed:
        relay.setDelay(part(mostDelay, fault.strength));
        break;
    case FaultKind::EndpointLinkSilent:
        relay.setMode(RelayMode::Silent);
        break;
    case FaultKind::EndpointConnectionsReset:
        relay.resetOpen();
        break;
    default:
        relay.silenceOpen();
        break;
    }
    after(fault.lasts, [&relay, &trouble] {
        relay.setMode(RelayMode::Pass);
        relay.setDelay({0});
        relay.setGarbled(false);
        trouble = {};
    });
}

void Injector::changeConfig(const Fault &fault)
{
    SoakConfig config = m_world->ledger.configs.newest();
    config.version += 1 + fault.target % 5;
    const std::string account = config.keys.begin()->second;
    const std::string spare = "spare-" + account;
    SoakRoute &read = config.routes["/read/"];
    SoakRoute &post = config.routes["/post/"];
    switch (fault.kind) {
    case FaultKind::ConfigMovesRoute:
        std::swap(read.service, post.service);
        break;
    case FaultKind::ConfigChangesKey:
        if (config.keys.erase(spare) == 0)
            config.keys[spare] = account;
        break;
    case FaultKind::ConfigChangesRoute:
        if (config.routes.erase("/extra/") == 0)
            config.routes["/extra/"] = read;
        break;
    case FaultKind::ConfigGrows:
        config.fillers = config.fillers == 0 ? manyRoutes : 0;
        break;
    default:
        for (unsigned i = 0; i < stormVersions; ++i) {
            after(stormGap * i, [this] {
                SoakConfig next = m_world->ledger.configs.newest();
                ++next.version;
                std::swap(next.routes["/read/"].service, next.routes["/post/"].service);
                m_world->publish(next);
            });
        }
        return;
    }
    m_world->publish(config);
}

void Injector::takeZoneOut(const Fault &fault)
{
    const std::string zone(zones[fault.target % zones.size()]);
    World &world = *m_world;
    if (!world.ledger.zonesOut.empty())
        return;
    const std::string key = std::string(names::zoneOutPrefix) + zone;
    world.store.put(key, "{}");
    world.ledger.zonesOut[zone] = World::now();
    after(fault.lasts + zoneOutExtra, [&world, key, zone] {
        world.store.remove(key);
        world.ledger.zonesOut.erase(zone);
    });
}

void Injector::sendCrowd(const Fault &fault)
{
    const EntryProcess &process = *m_world->entries[fault.target % m_world->entries.size()].process;
    const std::size_t kind = fault.target / 4096 % test::clientKinds;
    const auto script = [kind](test::Door door) {
        return test::scriptOf(static_cast<test::ClientKind>(kind), door);
    };
    const std::shared_ptr<test::ClientCrowd> crowd = std::make_shared<test::ClientCrowd>(
        std::vector<test::ClientCrowd::Target> {
            {process.front(), script(test::Door::NoRoute)},
            {process.ready(), script(test::Door::Ready)},
            {process.directory(), script(test::Door::Directory)},
            {process.metrics(), script(test::Door::Metrics)},
            {process.peer(), script(test::Door::Peer)}},
        crowdClients);
    // The end of the crowd closes its connections.
    after(fault.lasts, [crowd] {});
}

} // namespace fescue::soak
