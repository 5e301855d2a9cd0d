#include "fescue/serving/slotbroker.h"

#include <algorithm>
#include <limits>

namespace fescue::serving {

namespace {

// Bounds of an endpoint's limit, as multiples of its slots. Above its slots, requests wait at the
// endpoint for the time that messages between processes take.
constexpr double minLimitFactor = 0.5;
constexpr double initialLimitFactor = 1.5;
constexpr double maxLimitFactor = 2;
constexpr double decreaseFactor = 0.75;
// Rejections within this time are one sign of a full endpoint.
constexpr Millis decreaseInterval {100};
// Time for which a slot is used before any has been; and weight of one request in the average.
constexpr double initialMeanMillis = 30;
// An endpoint's mean is forgotten when none of its slots was used for this time.
constexpr Millis meanLifetime {2500};
constexpr double meanWeight = 0.1;
// A request may wait for this fraction of its target, also where the service takes longer than
// that.
constexpr double minWaitFraction = 0.5;
// A slot is taken back this long after its caller's deadline.
constexpr Millis leaseMargin {200};
// Costs in milliseconds of expected delay, as in placement.cpp. A request that fails has to be
// repeated by its caller, if it may be repeated at all.
constexpr double otherZoneCost = 8;
constexpr double failureCost = 500;
constexpr double triedCost = 500;
constexpr double coldCost = 60;
// Requests that may wait at one broker. Several times what the largest system sends in the longest
// wait.
constexpr std::size_t maxWaiting = 4096;

} // namespace

void SlotBroker::setEndpoints(std::span<const SlotEndpoint> endpoints)
{
    std::map<EndpointName, Endpoint> kept;
    for (const SlotEndpoint &spec : endpoints) {
        const auto it = m_endpoints.find(spec.name);
        Endpoint endpoint;
        if (it != m_endpoints.end()) {
            endpoint = it->second;
        } else {
            endpoint.limit = std::max(1.0, spec.slots * initialLimitFactor);
            endpoint.meanMillis = initialMeanMillis;
            for (const std::pair<const SlotKey, Lease> &lease : m_leases)
                endpoint.used += lease.second.endpoint == spec.name ? 1 : 0;
        }
        endpoint.spec = spec;
        kept.emplace(spec.name, endpoint);
    }
    m_endpoints = std::move(kept);
}

double SlotBroker::limitOf(const EndpointName &endpoint) const
{
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? 0 : it->second.limit;
}

bool SlotBroker::isFree(const Endpoint &endpoint) noexcept
{
    return endpoint.used + 1 <= endpoint.limit;
}

double SlotBroker::costOf(Millis now, const Endpoint &endpoint, const SlotAsk &ask) const
{
    const double load = endpoint.used / std::max(endpoint.limit, 1.0);
    double cost = endpoint.meanMillis * (1 + load) + waitAt(endpoint);
    cost += m_health.failureRate(now, endpoint.spec.name) * failureCost;
    cost += endpoint.spec.zone == ask.zone ? 0 : otherZoneCost;
    cost += endpoint.spec.isCold ? coldCost : 0;
    cost += ask.tried.contains(endpoint.spec.name) ? triedCost : 0;
    return cost;
}

double SlotBroker::waitAt(const Endpoint &endpoint) const
{
    const double over = std::max(0.0, endpoint.used + 1 - endpoint.limit);
    const double queued = over > 0 ? over + static_cast<double>(m_waiting.size()) : 0;
    return endpoint.meanMillis * queued / std::max(endpoint.limit, 1.0);
}

bool SlotBroker::mayUse(const Endpoint &endpoint, const SlotAsk &ask)
{
    return !ask.excluded.contains(endpoint.spec.name);
}

bool SlotBroker::hasFree(const SlotAsk &ask) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(),
                       [&ask](const std::pair<const EndpointName, Endpoint> &entry) {
                           return isFree(entry.second) && mayUse(entry.second, ask);
                       });
}

SlotBroker::Endpoint *SlotBroker::choose(Millis now, const Waiting &waiting)
{
    Endpoint *best = nullptr;
    Endpoint *bestFree = nullptr;
    double least = std::numeric_limits<double>::infinity();
    double leastFree = std::numeric_limits<double>::infinity();
    for (std::pair<const EndpointName, Endpoint> &entry : m_endpoints) {
        if (!mayUse(entry.second, waiting.ask))
            continue;
        const double cost = costOf(now, entry.second, waiting.ask);
        if (cost < least) {
            least = cost;
            best = &entry.second;
        }
        if (isFree(entry.second) && cost < leastFree) {
            leastFree = cost;
            bestFree = &entry.second;
        }
    }
    if (bestFree == nullptr || best == bestFree)
        return bestFree;
    const double waited = static_cast<double>((now - waiting.since).count);
    const double left = static_cast<double>((waiting.deadline - now).count);
    const double wait = waitAt(*best);
    const bool mayWait = waited + wait <= longestWait(waiting.ask) && wait + meanMillis() <= left;
    return mayWait ? nullptr : bestFree;
}

double SlotBroker::meanMillis() const
{
    // That of the fastest endpoint, which gets the request: a slow one must not make requests look
    // too late for all.
    double least = std::numeric_limits<double>::infinity();
    for (const std::pair<const EndpointName, Endpoint> &entry : m_endpoints)
        least = std::min(least, entry.second.meanMillis);
    return m_endpoints.empty() ? 0 : least;
}

double SlotBroker::waitMillis(std::size_t ahead) const
{
    double perMilli = 0;
    for (const std::pair<const EndpointName, Endpoint> &entry : m_endpoints)
        perMilli += entry.second.limit / std::max(entry.second.meanMillis, 1.0);
    return perMilli > 0 ? static_cast<double>(ahead) / perMilli
                        : std::numeric_limits<double>::infinity();
}

double SlotBroker::longestWait(const SlotAsk &ask) const
{
    const double target = static_cast<double>(ask.target.count);
    return std::max(target - meanMillis(), target * minWaitFraction);
}

std::size_t SlotBroker::aheadOf(const SlotAsk &ask) const
{
    std::size_t ahead = 0;
    for (const std::pair<const int, FairQueue> &entry : m_queues) {
        if (entry.first < ask.priority)
            ahead += entry.second.size();
        else if (entry.first == ask.priority)
            ahead += entry.second.aheadOfNew(ask.account);
    }
    return ahead;
}

SlotAnswer SlotBroker::grant(Millis now, const SlotAsk &ask, Millis deadline, Endpoint &endpoint)
{
    ++endpoint.used;
    m_leases[ask.key] = {endpoint.spec.name, std::max(deadline, now) + leaseMargin};
    return {ask.key, SlotVerdict::Granted, endpoint.spec.name};
}

std::vector<SlotAnswer> SlotBroker::ask(Millis now, const SlotAsk &ask)
{
    const auto known = m_waiting.find(ask.key);
    if (known != m_waiting.end())
        known->second.ask.excluded = ask.excluded;
    std::vector<SlotAnswer> answers = expire(now);
    const bool isAnswered =
        std::any_of(answers.begin(), answers.end(),
                    [&ask](const SlotAnswer &answer) { return answer.key == ask.key; });
    if (isAnswered)
        return answers;
    const auto lease = m_leases.find(ask.key);
    if (lease != m_leases.end()) {
        answers.push_back({ask.key, SlotVerdict::Granted, lease->second.endpoint});
        return answers;
    }
    if (!m_waiting.contains(ask.key)) {
        const double wait = hasFree(ask) ? 0 : waitMillis(aheadOf(ask));
        const bool isLate = wait > longestWait(ask)
            || wait + meanMillis() > static_cast<double>(ask.patience.count);
        const bool hasEndpoint =
            std::any_of(m_endpoints.begin(), m_endpoints.end(),
                        [&ask](const std::pair<const EndpointName, Endpoint> &entry) {
                            return mayUse(entry.second, ask);
                        });
        if (isLate || !hasEndpoint || m_waiting.size() >= maxWaiting) {
            answers.push_back({ask.key, SlotVerdict::Refused, {}});
            return answers;
        }
        const RequestId id {m_nextId++};
        m_keys[id] = ask.key;
        m_waiting[ask.key] = {ask, now, now + ask.patience, id};
        m_queues[ask.priority].push(ask.account, id);
        serveWaiting(now, answers);
    }
    if (m_waiting.contains(ask.key))
        answers.push_back({ask.key, SlotVerdict::Waiting, {}});
    return answers;
}

std::vector<SlotAnswer> SlotBroker::giveBack(Millis now, const SlotReturn &returned)
{
    std::vector<SlotAnswer> answers;
    const auto waiting = m_waiting.find(returned.key);
    if (waiting != m_waiting.end())
        removeWaiting(waiting);
    const auto lease = m_leases.find(returned.key);
    if (lease == m_leases.end())
        return answers;
    const auto it = m_endpoints.find(lease->second.endpoint);
    if (it != m_endpoints.end())
        learn(now, it->second, returned);
    removeLease(lease);
    serveWaiting(now, answers);
    return answers;
}

std::vector<SlotAnswer> SlotBroker::reconcile(Millis now, const SlotReport &report)
{
    const auto isOver = [&report](const SlotKey &key) {
        return key.incarnation < report.next.incarnation || !report.held.contains(key.number);
    };
    // Keys are ordered by process, life and number.
    const SlotKey first {report.next.member, {}, 0};
    for (auto it = m_leases.lower_bound(first); it != m_leases.end() && it->first < report.next;) {
        const auto current = it++;
        if (isOver(current->first))
            removeLease(current);
    }
    for (auto it = m_waiting.lower_bound(first);
         it != m_waiting.end() && it->first < report.next;) {
        const auto current = it++;
        if (isOver(current->first))
            removeWaiting(current);
    }
    std::vector<SlotAnswer> answers;
    serveWaiting(now, answers);
    return answers;
}

std::vector<SlotAnswer> SlotBroker::expire(Millis now)
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        const auto current = it++;
        if (current->second.expiresAt <= now)
            removeLease(current);
    }
    m_health.purge(now);
    // An endpoint that was slow is tried again.
    for (std::pair<const EndpointName, Endpoint> &entry : m_endpoints) {
        if (entry.second.used == 0 && now - entry.second.usedAt > meanLifetime)
            entry.second.meanMillis = std::min(entry.second.meanMillis, initialMeanMillis);
    }
    std::vector<SlotAnswer> answers;
    serveWaiting(now, answers);
    return answers;
}

void SlotBroker::learn(Millis now, Endpoint &endpoint, const SlotReturn &returned)
{
    if (returned.use == SlotUse::Unused)
        return;
    m_health.record(now, endpoint.spec.name, returned.use == SlotUse::Served);
    const double slots = std::max<std::uint32_t>(endpoint.spec.slots, 1);
    if (returned.use == SlotUse::Rejected) {
        if (now - endpoint.reducedAt < decreaseInterval)
            return;
        endpoint.reducedAt = now;
        endpoint.limit = std::max({endpoint.limit * decreaseFactor, slots * minLimitFactor, 1.0});
        return;
    }
    endpoint.usedAt = now;
    endpoint.meanMillis +=
        (static_cast<double>(returned.took.count) - endpoint.meanMillis) * meanWeight;
    // A limit that is not reached says nothing about more requests.
    if (endpoint.used + 1 >= endpoint.limit)
        endpoint.limit = std::min(endpoint.limit + 1 / endpoint.limit, slots * maxLimitFactor);
}

void SlotBroker::removeWaiting(std::map<SlotKey, Waiting>::iterator it)
{
    const SlotAsk &ask = it->second.ask;
    m_queues[ask.priority].remove(ask.account, it->second.id);
    m_keys.erase(it->second.id);
    m_waiting.erase(it);
}

void SlotBroker::removeLease(std::map<SlotKey, Lease>::iterator it)
{
    const auto endpoint = m_endpoints.find(it->second.endpoint);
    if (endpoint != m_endpoints.end())
        endpoint->second.used -= std::min<std::uint32_t>(1, endpoint->second.used);
    m_leases.erase(it);
}

void SlotBroker::refuseLate(Millis now, std::vector<SlotAnswer> &answers)
{
    const Millis mean {static_cast<std::int64_t>(meanMillis())};
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto current = it++;
        const Waiting &entry = current->second;
        // While others wait, one that would be late gives way to those that would not.
        const double waited = static_cast<double>((now - entry.since).count);
        // One that may use a free slot gets it when it waits no longer for a better one.
        const bool isOverdue =
            waited > longestWait(entry.ask) && m_waiting.size() > 1 && !hasFree(entry.ask);
        if (!isOverdue && now + mean <= entry.deadline)
            continue;
        answers.push_back({entry.ask.key, SlotVerdict::Refused, {}});
        removeWaiting(current);
    }
}

bool SlotBroker::serveAccount(Millis now, FairQueue &queue, const AccountName &account,
                              std::vector<SlotAnswer> &answers)
{
    for (const RequestId id : queue.queued(account)) {
        const auto it = m_waiting.find(m_keys[id]);
        Endpoint *endpoint = choose(now, it->second);
        if (endpoint == nullptr)
            continue;
        const Waiting served = it->second;
        queue.pop(account, id);
        queue.charge(account, 1);
        queue.runningEnded(account);
        m_keys.erase(id);
        m_waiting.erase(it);
        answers.push_back(grant(now, served.ask, served.deadline, *endpoint));
        return true;
    }
    return false;
}

void SlotBroker::serveWaiting(Millis now, std::vector<SlotAnswer> &answers)
{
    refuseLate(now, answers);
    const auto isAnyFree = [this] {
        return std::any_of(m_endpoints.begin(), m_endpoints.end(),
                           [](const std::pair<const EndpointName, Endpoint> &entry) {
                               return isFree(entry.second);
                           });
    };
    for (std::pair<const int, FairQueue> &entry : m_queues) {
        FairQueue &queue = entry.second;
        bool isServed = true;
        while (isServed && isAnyFree()) {
            const std::vector<AccountName> accounts = queue.order();
            isServed =
                std::any_of(accounts.begin(), accounts.end(), [&](const AccountName &account) {
                    return serveAccount(now, queue, account, answers);
                });
        }
    }
    // Those that got none of the free slots.
    refuseLate(now, answers);
}

} // namespace fescue::serving
