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
    const double over = std::max(0.0, endpoint.used + 1 - endpoint.limit);
    const double queued = over > 0 ? over + static_cast<double>(m_waiting.size()) : 0;
    const double load = endpoint.used / std::max(endpoint.limit, 1.0);
    double cost = endpoint.meanMillis * (1 + load + queued / std::max(endpoint.limit, 1.0));
    cost += m_health.failureRate(now, endpoint.spec.name) * failureCost;
    cost += endpoint.spec.zone == ask.zone ? 0 : otherZoneCost;
    cost += endpoint.spec.isCold ? coldCost : 0;
    cost += ask.tried.contains(endpoint.spec.name) ? triedCost : 0;
    return cost;
}

SlotBroker::Endpoint *SlotBroker::choose(Millis now, const SlotAsk &ask)
{
    Endpoint *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (std::pair<const EndpointName, Endpoint> &entry : m_endpoints) {
        const double cost = costOf(now, entry.second, ask);
        if (cost < least) {
            least = cost;
            best = &entry.second;
        }
    }
    return best != nullptr && isFree(*best) ? best : nullptr;
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
        const double wait = waitMillis(aheadOf(ask));
        if (wait > longestWait(ask)
            || wait + meanMillis() > static_cast<double>(ask.patience.count)) {
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
    if (it != m_endpoints.end()) {
        learn(now, it->second, returned);
        it->second.used -= std::min<std::uint32_t>(1, it->second.used);
    }
    m_leases.erase(lease);
    serveWaiting(now, answers);
    return answers;
}

std::vector<SlotAnswer> SlotBroker::expire(Millis now)
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.expiresAt > now) {
            ++it;
            continue;
        }
        const auto endpoint = m_endpoints.find(it->second.endpoint);
        if (endpoint != m_endpoints.end())
            endpoint->second.used -= std::min<std::uint32_t>(1, endpoint->second.used);
        it = m_leases.erase(it);
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

void SlotBroker::refuseLate(Millis now, std::vector<SlotAnswer> &answers)
{
    const Millis mean {static_cast<std::int64_t>(meanMillis())};
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto current = it++;
        const Waiting &entry = current->second;
        // While others wait, one that would be late gives way to those that would not.
        const double waited = static_cast<double>((now - entry.since).count);
        const bool isOverdue = waited > longestWait(entry.ask) && m_waiting.size() > 1;
        if (!isOverdue && now + mean <= entry.deadline)
            continue;
        answers.push_back({entry.ask.key, SlotVerdict::Refused, {}});
        removeWaiting(current);
    }
}

void SlotBroker::serveWaiting(Millis now, std::vector<SlotAnswer> &answers)
{
    refuseLate(now, answers);
    for (std::pair<const int, FairQueue> &entry : m_queues) {
        FairQueue &queue = entry.second;
        while (!queue.empty()) {
            const AccountName account = queue.order().front();
            const RequestId id = queue.front(account).value_or(RequestId {});
            const auto it = m_waiting.find(m_keys[id]);
            const SlotAsk ask = it->second.ask;
            const Millis deadline = it->second.deadline;
            Endpoint *endpoint = choose(now, ask);
            if (endpoint == nullptr)
                return;
            queue.popFront(account);
            queue.charge(account, 1);
            queue.runningEnded(account);
            m_keys.erase(id);
            m_waiting.erase(it);
            answers.push_back(grant(now, ask, deadline, *endpoint));
        }
    }
}

} // namespace fescue::serving
