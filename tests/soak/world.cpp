#include "tests/soak/world.h"

#include "platform/names.h"
#include "tests/soak/faultplan.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <unistd.h>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace fescue::soak {

namespace names = platform::names;

namespace {

constexpr Millis superviseInterval = 20_ms;
// Processes that have ended start again after this time.
constexpr Millis restartPause = 400_ms;
// From SIGTERM to SIGKILL; the users' GraceS.
constexpr Millis grace = 8_s;
// A process ends at the latest this long before the end of its grace.
constexpr Millis ownEndMargin = 300_ms;
// The first code of a program, which handles its signals, runs this long after its start at the
// latest.
constexpr Millis firstCodeTime = 500_ms;
// A process that has just started is given this long before it counts as undisturbed.
constexpr Millis startTime = 1_s;
// Of the users' machines: the smallest, and how engines come and go there.
constexpr std::uint64_t memoryLimit = std::uint64_t {110} * 1024 * 1024;
constexpr Millis churnInterval = 3300_ms;
constexpr Millis churnNotice = 1800_ms;
constexpr Millis churnPause = 4_s;
constexpr Millis delayProbe = 20_ms;
// Longest delay of the driver that does not count as a disturbance.
constexpr Millis longestDelay = 100_ms;
constexpr Millis readinessInterval = 1_s;
constexpr Millis recoveryTime = 12_s;
// Roll-outs: their times, the trouble of a bad version, and the users' bounds.
constexpr Millis rolloutBegin = 4_s;
constexpr Millis rolloutTime = 20_s;
constexpr double badVersionShare = 0.5;
constexpr std::size_t badVersionLoad = 2;
constexpr Millis badVersionDelay = 600_ms;
constexpr double exposureShare = 0.1;
constexpr double exposureTolerance = 50;
constexpr Millis rollbackTime = 5_s;
// Between signals for changed settings in a series.
constexpr Millis hangupGap = 7_ms;

// Loopback networks of processes that run at the same time differ.
std::string loopbackIp(std::size_t entry)
{
    const unsigned pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(pid % 250) + '.'
        + std::to_string(entry + 1);
}

} // namespace

World::World(net::WorkerPool &workerPool, SoakOptions soakOptions)
    : pool(workerPool), options(std::move(soakOptions)), disturbances(options.entries),
      ledger(disturbances), store(options.entries),
      farm(pool, store, ledger, disturbances, options.seed), entries(options.entries)
{
    farm.setLongWork(options.seed >= firstSeedOfStops);
}

void World::createEntry(std::size_t index)
{
    Entry &entry = entries[index];
    entry.storeServer = std::make_unique<net::HttpServer>(
        pool, net::Address {"127.0.0.1", 0}, net::ServerLimits {},
        [this, index](const net::HttpRequest &request, net::ResponseWriter &writer) {
            store.handle(index, request, writer);
        });
    if (const Result<void> started = entry.storeServer->start(); !started)
        throw std::runtime_error(started.error().toString());
    entry.storeRelay = std::make_unique<FaultRelay>(pool, entry.storeServer->address());
    EntryOptions process;
    process.program = options.program;
    process.folder = options.folder;
    process.zone = zones[index % zones.size()];
    process.name = "entry-" + std::to_string(index);
    process.ip = loopbackIp(index);
    process.store = entry.storeRelay->address();
    process.hasRollouts = !options.rollout.empty();
    entry.process = std::make_unique<EntryProcess>(process);
    entry.callerRelay = std::make_unique<FaultRelay>(pool, entry.process->front());
}

void World::startEntry(std::size_t index)
{
    Entry &entry = entries[index];
    const StartTrouble trouble = std::exchange(entry.nextStart, {});
    if (trouble.settings == SettingsState::Whole)
        entry.process->writeSettings(++m_settingsGeneration);
    else
        disturbSettings(index, trouble.settings, trouble.lasts);
    if (trouble.held)
        holdAddress(*trouble.held, trouble.lasts);
    // Callers of an address that is held get no answer.
    if (trouble.lasts > 0_ms)
        disturbances.entries[index].add(now(), now() + trouble.lasts + startTime);
    entry.process->start();
    entry.endExpected = false;
    entry.killed = false;
    entry.endedEarly = false;
    entry.startedAt = now();
    if (trouble.hangups > 0) {
        pool.spawn(0, [this, index, trouble] {
            sendHangups(index, trouble.hangups, trouble.firstHangup);
        });
    }
}

void World::holdAddress(const net::Address &address, Millis lasts)
{
    using boost::asio::ip::tcp;
    const std::shared_ptr<tcp::acceptor> holder = std::make_shared<tcp::acceptor>(pool.context(0));
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
    boost::system::error_code ec;
    holder->open(endpoint.protocol(), ec);
    holder->set_option(tcp::acceptor::reuse_address(true), ec);
    holder->bind(endpoint, ec);
    if (!ec)
        holder->listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        throw std::runtime_error(address.toString() + " cannot be held: " + ec.message());
    pool.spawn(0, [holder, lasts] {
        net::sleepFor(lasts);
        holder->close();
    });
}

void World::disturbSettings(std::size_t index, SettingsState state, Millis lasts)
{
    EntryProcess &process = *entries[index].process;
    const std::string whole = process.settingsText(++m_settingsGeneration);
    switch (state) {
    case SettingsState::Whole:
        process.writeSettingsText(whole);
        return;
    case SettingsState::Empty:
        process.writeSettingsText("");
        break;
    case SettingsState::Cut:
        process.writeSettingsText(std::string_view(whole).substr(0, whole.size() / 2));
        break;
    case SettingsState::Replaced:
        process.writeSettingsText("[]\n");
        break;
    case SettingsState::Absent:
        process.removeSettings();
        break;
    }
    pool.spawn(0, [&process, whole, lasts] {
        net::sleepFor(lasts);
        process.writeSettingsText(whole);
    });
}

bool World::waitForFirstCode(std::size_t index)
{
    const EntryProcess &process = *entries[index].process;
    const Millis startedAt = entries[index].startedAt;
    while (process.isRunning() && !process.handles(SIGHUP)) {
        net::sleepFor(1_ms);
        if (entries[index].startedAt != startedAt)
            return false;
        const bool isDisturbed = entries[index].endExpected
            || disturbances.entries[index].touch(startedAt, now())
            || disturbances.driver.touch(startedAt, now());
        if (now() > startedAt + firstCodeTime && !isDisturbed) {
            ledger.violation("FAULT",
                             process.name() + " handles no signals "
                                 + std::to_string((now() - startedAt).count)
                                 + " ms after its start");
            return false;
        }
    }
    return process.isRunning();
}

void World::sendHangups(std::size_t index, unsigned hangups, Millis first)
{
    // Before the loader has prepared the program, no code of it can handle a signal.
    if (!waitForFirstCode(index))
        return;
    net::sleepFor(first);
    for (unsigned i = 0; i < hangups && !stopping; ++i) {
        entries[index].process->signal(SIGHUP);
        net::sleepFor(hangupGap);
    }
}

void World::start()
{
    for (std::size_t i = 0; i < options.engines; ++i)
        farm.start(engineService, zones[i % zones.size()], false);
    for (std::size_t i = 0; i < options.plainEndpoints; ++i) {
        farm.start(firstPlainService, zones[i % zones.size()], false);
        farm.start(secondPlainService, zones[i % zones.size()], false);
    }
    SoakConfig config = firstConfig();
    if (options.hasResumable)
        config.routes["/verdict/"] = {CallKind::Verdict, std::string(engineService), 6_s};
    publish(config);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        createEntry(i);
        startEntry(i);
    }
    beganAt = now();
}

void World::publish(const SoakConfig &config)
{
    store.put(std::string(names::configKey), config.encode());
    ledger.configs.add(config, now());
}

bool World::end(std::size_t index, int signal)
{
    Entry &entry = entries[index];
    if (!entry.process->isRunning() || entry.endExpected)
        return false;
    entry.endExpected = true;
    entry.killed = signal == SIGKILL;
    entry.endedEarly = signal == SIGTERM && !entry.process->handles(SIGTERM);
    if (signal == SIGTERM)
        ledger.stopBegins(index, now());
    entry.endingSince = now();
    Spans &spans = signal == SIGTERM ? disturbances.stops[index] : disturbances.entries[index];
    // From now until it runs again; superviseEntry() adds what takes longer.
    spans.add(now(), now() + startTime);
    entry.process->signal(signal);
    entry.process->signal(SIGCONT);
    return true;
}

void World::kill(std::size_t index)
{
    Entry &entry = entries[index];
    if (!end(index, SIGKILL)) {
        // It is in a stop, whose calls end now as well.
        disturbances.entries[index].add(now(), now() + startTime);
        entry.killed = true;
        entry.process->signal(SIGKILL);
    }
}

void World::noteEnd(std::size_t index)
{
    const Entry &entry = entries[index];
    const std::string log = entry.process->logOfLife();
    const bool hasServed = log.find("started") != std::string::npos;
    const std::string_view phase = entry.endExpected && !entry.killed ? "stop"
        : hasServed                                                   ? "service"
                                                                      : "start";
    const std::size_t end = log.find_last_not_of('\n') + 1;
    const std::size_t begin = end == 0 ? 0 : log.find_last_of('\n', end - 1) + 1;
    const int status = entry.process->lastStatus();
    const std::string text = entry.process->name()
        + (entry.endExpected ? " ended" : " ended by itself")
        + (status < 0 ? " by signal " + std::to_string(-status)
                      : " with status " + std::to_string(status))
        + " in its " + std::string(phase) + ", " + std::to_string((now() - entry.startedAt).count)
        + " ms after its start; its last line: " + log.substr(begin, end - begin);
    ends.push_back(std::to_string((now() - beganAt).count) + " ms " + text);
    // A signal that comes before the first code of the program has its default effect. Then nothing
    // has been logged, and nothing served.
    const bool endedBeforeCode = status == -SIGTERM && entry.endedEarly && log.empty()
        && now() <= entry.startedAt + firstCodeTime;
    const bool isOrderly = entry.killed || (entry.endExpected && (status == 0 || endedBeforeCode));
    if (!isOrderly)
        ledger.violation("FAULT", text);
}

void World::superviseEntry(std::size_t index)
{
    Entry &entry = entries[index];
    if (entry.process->hasEnded()) {
        entry.endedAt = now();
        if (!entry.endExpected)
            entry.endingSince = now();
        ledger.stopEnds(index, now());
        noteEnd(index);
        return;
    }
    if (entry.process->isRunning()) {
        // Before its first code the process is a copy of this one.
        const std::uint64_t used =
            entry.process->handles(SIGTERM) ? entry.process->residentBytes() : 0;
        if (used > memoryLimit && !entry.killed) {
            ledger.violation("FAULT",
                             entry.process->name() + " uses too much memory, "
                                 + std::to_string(used) + " bytes");
            kill(index);
        }
        if (entry.endExpected && !entry.killed && now() > entry.endingSince + grace) {
            // A process that is paused when it would end cannot.
            const Millis lastMoment = entry.endingSince + grace - ownEndMargin;
            if (!disturbances.entries[index].touch(lastMoment, now()))
                ledger.violation("FAULT", entry.process->name() + " did not stop in time");
            kill(index);
        }
        return;
    }
    if (now() < entry.endedAt + restartPause)
        return;
    disturbances.stops[index].add(entry.endingSince, now() + startTime);
    startEntry(index);
}

void World::supervise()
{
    while (!stopping) {
        for (std::size_t i = 0; i < entries.size(); ++i)
            superviseEntry(i);
        net::sleepFor(superviseInterval);
    }
}

void World::churn()
{
    while (!stopping) {
        net::sleepFor(churnInterval);
        const std::vector<Endpoint *> live = farm.live(engineService);
        if (live.size() <= options.engines / 2)
            continue;
        Endpoint &oldest = *live.front();
        farm.drain(oldest, churnNotice);
        const std::string zone = oldest.zone;
        pool.spawn(0, [this, zone] {
            net::sleepFor(churnPause);
            if (!stopping)
                farm.start(engineService, zone, true);
        });
    }
}

std::string World::waitForRollout(Millis until)
{
    const std::string key = std::string(names::rolloutStatusPrefix) + std::string(engineService);
    std::string state(names::rolloutServing);
    while (state == names::rolloutServing && now() < until && !stopping) {
        net::sleepFor(superviseInterval);
        const std::optional<std::string> text = store.find(key);
        if (text)
            state = standins::Json::parse(*text).value("State", state);
    }
    return state;
}

void World::rollOut()
{
    const bool isGood = options.rollout == "good";
    net::sleepFor(rolloutBegin);
    VersionTrouble &trouble = farm.versionTrouble;
    trouble.share = isGood ? 0 : badVersionShare;
    trouble.from = options.rollout == "later" ? now() + rolloutTime / 3 : now();
    trouble.load = options.rollout == "load" ? badVersionLoad : 0;
    trouble.delay = options.rollout == "slow" ? badVersionDelay : Millis {0};
    farm.versionTally = {};
    const standins::Json order = {
        {"Service", engineService}, {"To", newVersion}, {"DurationS", rolloutTime.count / 1000}};
    const Millis deadline = now() + rolloutTime;
    store.put(std::string(names::rolloutPrefix) + std::string(engineService), order.dump());
    for (std::size_t i = 0; i < options.engines; ++i)
        farm.start(engineService, zones[i % zones.size()], true, newVersion);
    const std::string state = waitForRollout(deadline);
    if (state == names::rolloutCompleted) {
        for (Endpoint *endpoint : farm.live(engineService)) {
            if (endpoint->version != newVersion)
                farm.stop(*endpoint);
        }
    }
    net::sleepFor(std::max(deadline - now(), 1_ms));
    const VersionTally &tally = farm.versionTally;
    const std::string text = "roll-out " + options.rollout + ": " + state + ", "
        + std::to_string(tally.toNew) + " of " + std::to_string(tally.requests)
        + " requests to the new version, " + std::to_string(tally.bad) + " bad";
    ends.push_back(text);
    if (state != (isGood ? names::rolloutCompleted : names::rolloutReverted))
        ledger.violation("ROLLOUT", text);
    const double limit = exposureShare * tally.requests + exposureTolerance;
    if (!isGood && tally.toNew > limit)
        ledger.violation("EXPOSURE", text);
    if (!isGood && tally.decisiveAt && tally.lastToNew > *tally.decisiveAt + rollbackTime)
        ledger.violation("EXPOSURE", text + ", the last one too late");
    if (state == names::rolloutCompleted)
        return;
    for (Endpoint *endpoint : farm.live(engineService)) {
        if (endpoint->version == newVersion)
            farm.drain(*endpoint, churnNotice);
    }
}

void World::watchOwnDelays()
{
    while (!stopping) {
        const Millis before = now();
        net::sleepFor(delayProbe);
        const Millis after = now();
        if (after - before > delayProbe + longestDelay)
            disturbances.driver.add(before, after);
    }
}

void World::checkReadiness()
{
    net::HttpClient client;
    while (!stopping) {
        net::sleepFor(readinessInterval);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            net::HttpRequest request;
            request.target = names::readyPath;
            request.freshConnection = true;
            const Result<net::HttpResponse> answer =
                client.request(entries[i].process->ready(), request, 1_s);
            const bool ready = answer && answer->status == 200;
            const bool calm = disturbances.inTouch(i, now())
                && now() > entries[i].startedAt + recoveryTime && !entries[i].endExpected;
            if (!ready && calm)
                ledger.violation("RECOVER", entries[i].process->name() + " is not ready");
        }
    }
}

} // namespace fescue::soak
