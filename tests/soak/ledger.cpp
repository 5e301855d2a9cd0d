#include "tests/soak/ledger.h"

#include <algorithm>
#include <cstdlib>

namespace fescue::soak {

namespace {

constexpr int statusOk = 200;

// Answers that promise that the request has not run and will not run.
bool promisesNotRun(int status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::size_t countSince(const std::deque<Millis> &times, Millis from, Millis to)
{
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(), [from, to](Millis at) { return at > from && at <= to; }));
}

} // namespace

std::size_t Ledger::addEndpoint(const EndpointFacts &facts)
{
    m_endpoints.push_back(facts);
    return m_endpoints.size() - 1;
}

Call &Ledger::callerSends(const Call &call)
{
    const auto route = configs.newest().routes.find(call.prefix);
    if (route != configs.newest().routes.end())
        m_requests[route->second.service].push_back(call.sentAt);
    Call &added = m_calls[call.id] = call;
    added.writtenAt = std::max(call.writtenAt, call.sentAt);
    return added;
}

void Ledger::callerEnds(Call &call, CallEnd end, int status, Millis now)
{
    call.end = end;
    call.status = status;
    call.endedAt = now;
    // The entry may have replaced the endpoint's answer, where that arrived damaged.
    const bool passedOn = end == CallEnd::Answered && status == call.endpointStatus;
    if (passedOn && call.saidLeavingBy)
        m_endpoints[*call.saidLeavingBy].saidLeavingTo.emplace(call.entry, now);
}

Call *Ledger::arrives(const std::string &id, std::size_t endpoint, std::string_view prefix,
                      std::string_view account, Millis now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        violation("UNASKED", "request " + id + " of no caller reached an endpoint");
        return nullptr;
    }
    Call &call = it->second;
    EndpointFacts &facts = m_endpoints[endpoint];
    const std::size_t mark = account.rfind(versionMark);
    if (mark != std::string_view::npos) {
        checkVersion(call, account.substr(mark + 1), now);
        account = account.substr(0, mark);
    }
    if (prefix != call.prefix)
        violation("UNASKED", describe(call) + " reached an endpoint as " + std::string(prefix));
    const bool inTouch = m_disturbances->inTouch(call.entry, now);
    bool allowed = false;
    bool rightAccount = false;
    for (const SoakConfig *config : configs.inForce(call.sentAt, now, inTouch)) {
        const auto route = config->routes.find(call.prefix);
        const auto key = config->keys.find(call.key);
        const bool routed = route != config->routes.end() && route->second.service == facts.service;
        allowed = allowed || (routed && key != config->keys.end());
        rightAccount = rightAccount || (key != config->keys.end() && key->second == account);
    }
    if (!allowed)
        violation(inTouch ? "CONFIG" : "ROUTE", describe(call) + " reached " + facts.service);
    else if (!rightAccount)
        violation("UNASKED", describe(call) + " reached an endpoint for " + std::string(account));
    checkLeaving(call, facts, now);
    checkPause(call.entry, endpoint, now);
    if (call.crashing && inTouch)
        checkCrashing(call, now);
    checkCold(facts, now);
    call.lastReached = endpoint;
    call.lastArrivalAt = now;
    if (++call.arrivals > 1) {
        m_repeats[facts.service].push_back(now);
        checkRepeats(facts.service, now);
    }
    return &call;
}

void Ledger::controlArrives(const std::string &id, std::size_t endpoint, Millis now)
{
    const auto it = m_calls.find(id);
    if (it != m_calls.end())
        checkPause(it->second.entry, endpoint, now);
}

void Ledger::endpointAsksPause(std::size_t entry, std::size_t endpoint, Millis now, Millis span)
{
    Pause &pause = m_endpoints[endpoint].pauses[entry];
    // A later answer may shorten it no more than lengthen it.
    if (now + span > pause.until)
        pause = {now + pauseSlack, now + span, 0};
}

void Ledger::checkPause(std::size_t entry, std::size_t endpoint, Millis now)
{
    EndpointFacts &facts = m_endpoints[endpoint];
    const auto it = facts.pauses.find(entry);
    if (it == facts.pauses.end() || now < it->second.from || now >= it->second.until)
        return;
    const Millis asked = it->second.from - pauseSlack;
    const bool excused = m_disturbances->entries[entry].touch(asked, now)
        || m_disturbances->stops[entry].touch(asked, now)
        || m_disturbances->driver.touch(asked, now)
        || !m_disturbances->endpointCalm(endpoint, asked, now);
    if (!excused && ++it->second.arrivals > pauseAllowance)
        violation("BUDGET",
                  std::to_string(it->second.arrivals) + " requests at " + facts.id + " from entry "
                      + std::to_string(entry) + " within the pause it asked for");
}

void Ledger::checkLeaving(const Call &call, const EndpointFacts &facts, Millis now)
{
    const auto said = facts.saidLeavingTo.find(call.entry);
    const bool bound = said != facts.saidLeavingTo.end() && call.sentAt > said->second + drainTime
        && !m_disturbances->entries[call.entry].touch(said->second, now)
        && !m_disturbances->stops[call.entry].touch(said->second, now);
    if (bound)
        violation("DRAIN", describe(call) + " reached " + facts.id + " that had said it leaves");
    if (!m_disturbances->inTouch(call.entry, now))
        return;
    if (now > facts.leavingAt + drainTime)
        violation("DRAIN", describe(call) + " reached " + facts.id + " that had left");
    const auto out = zonesOut.find(facts.zone);
    if (out != zonesOut.end() && now > out->second + evacuationTime)
        violation("EVAC", describe(call) + " reached zone " + facts.zone);
}

void Ledger::checkVersion(const Call &call, std::string_view version, Millis now)
{
    const std::uint64_t told = std::strtoull(std::string(version).c_str(), nullptr, 10);
    ShownVersion &shown = m_shown[call.entry];
    const bool sameLife = !m_disturbances->entries[call.entry].touch(shown.at, now)
        && !m_disturbances->stops[call.entry].touch(shown.at, now);
    if (told > shown.version || !sameLife)
        shown = {told, now};
    else if (told < shown.version && call.sentAt > shown.at + rollbackSlack)
        violation("CONFIG",
                  describe(call) + " was handled by version " + std::to_string(told) + " after "
                      + std::to_string(shown.version));
}

void Ledger::checkCold(EndpointFacts &facts, Millis now)
{
    if (now >= facts.coldUntil)
        return;
    facts.coldArrivals.push_back(now);
    const std::size_t n = countSince(facts.coldArrivals, now - 1_s, now);
    if (static_cast<double>(n) > coldPerSecond * coldOverrun + coldTolerance)
        violation("FAILBACK", std::to_string(n) + " requests a second at cold " + facts.id);
}

void Ledger::checkRepeats(const std::string &service, Millis now)
{
    const std::deque<Millis> &requests = m_requests[service];
    std::size_t most = 0;
    for (const Millis back : {0_ms, budgetWindow / 2, budgetWindow}) {
        const Millis to = now - back;
        most = std::max(most, countSince(requests, to - budgetWindow, to));
    }
    const std::size_t repeats = countSince(m_repeats[service], now - budgetWindow, now);
    if (static_cast<double>(repeats) > retryRatio * static_cast<double>(most) + retryAllowance)
        violation("BUDGET", std::to_string(repeats) + " repeats at " + service);
}

std::size_t Ledger::begins(Call &call, std::size_t endpoint, bool resumed, Millis now)
{
    call.runs.push_back({endpoint, now, endOfTime, resumed});
    return call.runs.size() - 1;
}

void Ledger::ends(Call &call, std::size_t run, Millis now)
{
    if (call.runs[run].endedAt == endOfTime)
        call.runs[run].endedAt = now;
}

void Ledger::crashedBy(const Call &call, Millis now)
{
    if (call.crashing)
        m_crashes.push_back(now);
}

void Ledger::checkCrashing(const Call &call, Millis now)
{
    const bool decided =
        m_crashes.size() >= decisiveCrashes && now > m_crashes[decisiveCrashes - 1] + crashReaction;
    if (decided && ++m_crashingSent == crashingAllowance + 1)
        violation("BUDGET",
                  describe(call) + " reached an engine after " + std::to_string(m_crashes.size())
                      + " crashes by such prompts");
}

void Ledger::judge()
{
    for (const std::pair<const std::string, Call> &entry : m_calls) {
        const Call &call = entry.second;
        if (call.end == CallEnd::None)
            continue;
        checkRuns(call);
        checkAnswer(call);
        checkConfig(call);
        checkLost(call);
        checkStop(call);
        checkOverlap(call);
        tallyLeft(call);
        tallyHeld(call);
    }
    constexpr std::uint32_t fewest = 8;
    if (m_left.counted >= fewest && m_left.bad * 4 > m_left.counted) {
        violation("GONE",
                  std::to_string(m_left.bad) + " of " + std::to_string(m_left.counted)
                      + " calls were worked on after their caller had left");
    }
    if (m_held.counted >= fewest && m_held.bad * 4 > m_held.counted) {
        violation("CONFIG",
                  std::to_string(m_held.bad) + " of " + std::to_string(m_held.counted)
                      + " calls had no answer after their route's time-out");
    }
}

void Ledger::checkRuns(const Call &call)
{
    const bool mayRepeat = mayRunAgain(call.kind);
    const std::size_t fresh = static_cast<std::size_t>(
        std::count_if(call.runs.begin(), call.runs.end(), [this, &call](const Run &run) {
            // Engines that ended or were cut off do not count against the limit of attempts.
            const bool ended = m_endpoints[run.endpoint].goneAt <= call.endedAt
                || !m_disturbances->endpointCalm(run.endpoint, call.sentAt, call.endedAt);
            return !run.resumed && !(call.kind == CallKind::Verdict && ended);
        }));
    if (!mayRepeat && fresh > 1)
        violation("TWICE", describe(call) + " ran " + std::to_string(fresh) + " times");
    if (!mayRepeat && promisesNotRun(call.status) && !call.runs.empty())
        violation("REFUSED", describe(call) + " was refused and has run");
    constexpr std::size_t mostAttempts = 2;
    if (mayRepeat && fresh > mostAttempts)
        violation("BUDGET", describe(call) + " ran on too many endpoints");
}

void Ledger::checkAnswer(const Call &call)
{
    const bool ownFault = call.status >= 300 && call.status < 500 && !promisesNotRun(call.status)
        && call.endpointStatus != call.status;
    if (ownFault && call.status != 401 && call.status != 404)
        violation("DENIED", describe(call) + " got " + std::to_string(call.status));
}

void Ledger::checkConfig(const Call &call)
{
    if (call.status != 401 && call.status != 404)
        return;
    const bool inTouch = m_disturbances->inTouch(call.entry, call.endedAt);
    bool missing = false;
    for (const SoakConfig *config : configs.inForce(call.sentAt, call.endedAt, inTouch))
        missing =
            missing || !config->routes.contains(call.prefix) || !config->keys.contains(call.key);
    if (!missing)
        violation("CONFIG", describe(call) + " was denied with " + std::to_string(call.status));
}

void Ledger::checkLost(const Call &call)
{
    if (call.end != CallEnd::Broken || !isCalm(call) || isLostInTrouble(call))
        return;
    // The entry may close the connection of a request that it does not have as a whole.
    if (call.arrivals == 0 && call.writtenAt == endOfTime)
        return;
    // A connection that crosses the entry's close is closed soon, and nothing is passed on.
    if (call.arrivals == 0 && call.endedAt <= call.writtenAt + lossSlack)
        return;
    violation("LOST",
              describe(call) + describeStop(call) + " ended without an answer, "
                  + describeRuns(call));
}

void Ledger::checkStop(const Call &call)
{
    if (call.end != CallEnd::Answered || call.runs.empty() || stopAround(call) == nullptr)
        return;
    const bool ownWord =
        call.status >= 500 && !promisesNotRun(call.status) && call.status != call.endpointStatus;
    // Time-outs of routes and callers are answered with an unknown outcome as well.
    const auto route = configs.newest().routes.find(call.prefix);
    const Millis timeout = route == configs.newest().routes.end()
        ? call.patience
        : std::min(call.patience, route->second.timeout);
    const bool late = (call.endedAt - call.sentAt).count * 10 >= timeout.count * 7;
    if (ownWord && !late && isCalm(call))
        violation("LOST",
                  describe(call) + describeStop(call) + " has run and was told "
                      + std::to_string(call.status));
}

bool Ledger::isCalm(const Call &call) const
{
    if (!m_disturbances->onlyPlannedWork(call.entry, call.endedAt)
        || !m_disturbances->onlyPlannedWork(call.entry, call.sentAt))
        return false;
    return std::all_of(call.runs.begin(), call.runs.end(), [this, &call](const Run &run) {
        const EndpointFacts &facts = m_endpoints[run.endpoint];
        return facts.leavingAt > call.endedAt && facts.goneAt > call.endedAt
            && m_disturbances->endpointCalm(run.endpoint, call.sentAt, call.endedAt);
    });
}

bool Ledger::isLostInTrouble(const Call &call) const
{
    const bool hadEnded = !call.runs.empty()
        && std::all_of(call.runs.begin(), call.runs.end(),
                       [&call](const Run &run) { return run.endedAt <= call.lastArrivalAt; });
    return isStreamed(call.kind) && hadEnded
        && !m_disturbances->endpointCalm(call.lastReached, call.lastArrivalAt, call.endedAt);
}

void Ledger::stopBegins(std::size_t entry, Millis now)
{
    m_stops[entry].push_back({now});
}

void Ledger::stopEnds(std::size_t entry, Millis now)
{
    std::vector<Stop> &stops = m_stops[entry];
    if (!stops.empty() && stops.back().endedAt == endOfTime)
        stops.back().endedAt = now;
}

const Stop *Ledger::stopAround(const Call &call) const
{
    const auto it = m_stops.find(call.entry);
    if (it == m_stops.end())
        return nullptr;
    for (const Stop &stop : it->second) {
        if (call.sentAt > stop.signalledAt && call.sentAt <= stop.endedAt)
            return &stop;
    }
    return nullptr;
}

std::string Ledger::describeStop(const Call &call) const
{
    const Stop *stop = stopAround(call);
    if (stop == nullptr)
        return {};
    return ", sent " + std::to_string((call.sentAt - stop->signalledAt).count)
        + " ms after the signal,";
}

std::string Ledger::describeRuns(const Call &call) const
{
    const auto after = [&call](Millis at) {
        return at == endOfTime ? std::string("open")
                               : std::to_string((at - call.sentAt).count) + " ms";
    };
    std::string text = "after " + after(call.endedAt) + ", arrivals "
        + std::to_string(call.arrivals) + ", runs " + std::to_string(call.runs.size());
    for (const Run &run : call.runs) {
        text += ", " + m_endpoints[run.endpoint].id + (run.resumed ? " resumed " : " ")
            + after(run.begunAt) + " to " + after(run.endedAt);
    }
    return text;
}

void Ledger::checkOverlap(const Call &call)
{
    for (std::size_t i = 1; i < call.runs.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const Run &before = call.runs[j];
            const Run &after = call.runs[i];
            const Millis limit = after.begunAt + overlapLimit;
            const bool goesOn = after.resumed || call.kind == CallKind::Verdict;
            const bool both = goesOn && before.endpoint != after.endpoint && before.endedAt > limit
                && after.endedAt > limit;
            if (both && m_disturbances->runsCalmly(call.entry, limit)
                && m_disturbances->endpointCalm(before.endpoint, after.begunAt, limit)
                && m_disturbances->endpointCalm(after.endpoint, after.begunAt, limit))
                violation("TWICE", describe(call) + " was worked on by two engines");
        }
    }
}

void Ledger::tallyLeft(const Call &call)
{
    if (call.end != CallEnd::Left || call.kind == CallKind::Post)
        return;
    const Millis limit = call.endedAt + workAfterLeaving;
    for (const Run &run : call.runs) {
        if (!m_disturbances->runsCalmly(call.entry, limit)
            || !m_disturbances->endpointCalm(run.endpoint, call.sentAt, limit)
            || run.endedAt < call.endedAt)
            continue;
        ++m_left.counted;
        if (run.endedAt > limit)
            ++m_left.bad;
    }
}

void Ledger::tallyHeld(const Call &call)
{
    const Millis limit = call.sentAt + call.patience + answerSlack;
    const bool decided = call.end == CallEnd::Answered || call.end == CallEnd::TimedOut
        || call.end == CallEnd::Broken;
    if (!decided || call.endedAt < call.sentAt + call.patience
        || !m_disturbances->runsCalmly(call.entry, limit))
        return;
    ++m_held.counted;
    if (call.endedAt > limit)
        ++m_held.bad;
}

double Ledger::servedShare(Millis from, Millis to) const
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const std::pair<const std::string, Call> &entry : m_calls) {
        const Call &call = entry.second;
        const SoakConfig &config = configs.newest();
        const bool owed = !call.crashing && call.sentAt >= from && call.sentAt <= to
            && call.end != CallEnd::Left && config.routes.contains(call.prefix)
            && config.keys.contains(call.key);
        if (!owed)
            continue;
        ++sent;
        served += call.end == CallEnd::Answered && call.status == statusOk ? 1 : 0;
    }
    return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
}

void Ledger::violation(std::string_view promise, const std::string &text)
{
    m_violations.push_back(std::string(promise) + ": " + text);
}

std::string Ledger::describe(const Call &call) const
{
    return std::string(toString(call.kind)) + ' ' + call.id + " at entry "
        + std::to_string(call.entry);
}

} // namespace fescue::soak
