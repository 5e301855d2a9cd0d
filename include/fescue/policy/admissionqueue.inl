#pragma once

#include <algorithm>
#include <utility>

namespace fescue {

namespace detail {

// Time for which an endpoint that returned a request is avoided.
constexpr Millis avoidDuration {500};
// Requests of other accounts may overtake a request that cannot be placed until it has waited this
// long, or the queue limit divided by bypassLimitDivisor if that is shorter.
constexpr Millis bypassLimit {2000};
constexpr std::int64_t bypassLimitDivisor = 40;
constexpr Millis minRetryAfter {1000};
constexpr Millis maxRetryAfter {120000};
// Retry time if the wait cannot be predicted.
constexpr Millis defaultRetryAfter {5000};
// The memory promise of a running request is raised once at most half of this many tokens of it
// remain unused.
constexpr std::uint64_t promiseStepTokens = 64;
// Number of requests over which the mean promise is averaged.
constexpr std::uint64_t meanPromiseWindow = 8;

} // namespace detail

template <AdmissionPolicy Policy>
AdmissionQueue<Policy>::AdmissionQueue(ServiceName service, Policy policy,
                                       CreditBalance &creditBalance, LengthForecast &forecast)
    : m_service(std::move(service)), m_policy(std::move(policy)), m_creditBalance(creditBalance),
      m_forecast(forecast)
{ }

template <AdmissionPolicy Policy>
std::vector<Decision> AdmissionQueue<Policy>::arrival(Request request, Millis now)
{
    Decisions decisions;
    ++m_counters.arrived;
    const RequestId id = request.id;
    const AccountName account = request.account;
    const std::optional<ResultCode> refusal = refusalOnArrival(request, now);
    m_waiting.emplace(id, QueuedRequest {std::move(request), now, 0});
    m_queue.push(account, id);
    if (refusal) {
        refuse(id, *refusal, decisions, now);
        return decisions;
    }
    drain(decisions, now);
    return decisions;
}

template <AdmissionPolicy Policy>
void AdmissionQueue<Policy>::tokensProduced(RequestId id, std::uint32_t n, Millis /*now*/)
{
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    RunningRequest &running = it->second;
    running.produced += n;
    m_queue.charge(running.queued.request.account, n);
    const std::uint64_t used = running.queued.request.promptTokens + running.produced;
    if (used + detail::promiseStepTokens / 2 < running.promised)
        return;
    const std::uint64_t promised =
        m_policy.promise(m_forecast, running.queued.request, running.produced);
    if (promised <= running.promised)
        return;
    m_creditBalance.resize(running.endpoint, running.promised, promised);
    running.promised = promised;
}

template <AdmissionPolicy Policy>
std::vector<Decision> AdmissionQueue<Policy>::ended(RequestId id, EndKind kind, Millis now)
{
    Decisions decisions;
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return decisions;
    const RunningRequest &running = it->second;
    const bool completed = kind == EndKind::Completed;
    m_creditBalance.release(running.endpoint, running.promised, completed);
    if (completed && running.queued.request.maxTokens > 0)
        m_forecast.observe(running.queued.request.account, m_service, running.produced);
    m_queue.runningEnded(running.queued.request.account);
    m_running.erase(it);
    ++m_counters.ended;
    drain(decisions, now);
    return decisions;
}

template <AdmissionPolicy Policy>
std::vector<Decision> AdmissionQueue<Policy>::returned(RequestId id, Millis now)
{
    Decisions decisions;
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return decisions;
    RunningRequest running = std::move(it->second);
    m_running.erase(it);
    m_creditBalance.release(running.endpoint, running.promised, false);
    m_queue.runningEnded(running.queued.request.account);
    m_avoidedUntil[running.endpoint] = now + detail::avoidDuration;
    ++m_counters.returned;
    ++running.queued.attempts;
    const AccountName account = running.queued.request.account;
    m_waiting.emplace(id, std::move(running.queued));
    m_queue.pushFront(account, id);
    if (!m_policy.usesCredit() && m_waiting.at(id).attempts > 1) {
        refuse(id, ResultCode::NoCapacity, decisions, now);
        return decisions;
    }
    refuseLate(decisions, now);
    drain(decisions, now);
    return decisions;
}

template <AdmissionPolicy Policy>
bool AdmissionQueue<Policy>::withdraw(RequestId id, Millis now)
{
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end())
        return false;
    m_queue.remove(it->second.request.account, id);
    m_waiting.erase(it);
    updateBacklog(now);
    return true;
}

template <AdmissionPolicy Policy>
std::vector<Decision> AdmissionQueue<Policy>::setEligible(std::vector<EligibleEndpoint> endpoints,
                                                          Millis now)
{
    m_eligible = std::move(endpoints);
    return tick(now);
}

template <AdmissionPolicy Policy>
std::vector<Decision> AdmissionQueue<Policy>::creditChanged(Millis now)
{
    Decisions decisions;
    drain(decisions, now);
    return decisions;
}

template <AdmissionPolicy Policy>
std::vector<Decision> AdmissionQueue<Policy>::tick(Millis now)
{
    Decisions decisions;
    std::erase_if(m_avoidedUntil, [now](const std::pair<const EndpointName, Millis> &entry) {
        return entry.second <= now;
    });
    drain(decisions, now);
    refuseLate(decisions, now);
    return decisions;
}

template <AdmissionPolicy Policy>
std::vector<Decision> AdmissionQueue<Policy>::refuseAll(ResultCode code, Millis now)
{
    Decisions decisions;
    while (!m_waiting.empty())
        refuse(m_waiting.begin()->first, code, decisions, now);
    return decisions;
}

template <AdmissionPolicy Policy>
EntryDemand AdmissionQueue<Policy>::demand(const EndpointName &endpoint, Millis now) const
{
    const std::size_t endpoints = std::max<std::size_t>(1, m_eligible.size());
    const bool isEligible = std::any_of(
        m_eligible.begin(), m_eligible.end(),
        [&endpoint](const EligibleEndpoint &item) { return item.endpoint == endpoint; });
    EntryDemand made = m_creditBalance.demand(endpoint, 0, m_meanPromisedTokens, now);
    made.weight = m_queue.queuedWeight();
    made.uncontendedRunning = static_cast<std::uint32_t>(made.running * m_queue.uncontendedShare());
    if (!isEligible || m_queue.empty())
        return made;
    made.queuedWanted = static_cast<std::uint32_t>((m_queue.size() + endpoints - 1) / endpoints);
    made.minimumTokensWanted = nextPromisedTokens();
    return made;
}

template <AdmissionPolicy Policy>
std::optional<Millis> AdmissionQueue<Policy>::predictedWait(const AccountName &account,
                                                            Millis now) const
{
    if (m_queue.empty())
        return Millis {0};
    return m_startRate.waitFor(m_queue.aheadOfNew(account), now);
}

template <AdmissionPolicy Policy>
void AdmissionQueue<Policy>::drain(Decisions &decisions, Millis now)
{
    const Millis bypassLimit =
        std::min(detail::bypassLimit, m_policy.queueLimit() / detail::bypassLimitDivisor);
    bool progress = true;
    while (progress && !m_queue.empty()) {
        progress = false;
        for (const AccountName &account : m_queue.order()) {
            const std::optional<RequestId> id = m_queue.front(account);
            if (!id)
                continue;
            if (tryStart(account, *id, decisions, now)) {
                progress = true;
                break;
            }
            if (now - m_waiting.at(*id).arrivedAt > bypassLimit)
                break;
        }
    }
    updateBacklog(now);
}

template <AdmissionPolicy Policy>
bool AdmissionQueue<Policy>::tryStart(const AccountName &account, RequestId id,
                                      Decisions &decisions, Millis now)
{
    const auto it = m_waiting.find(id);
    const Request &request = it->second.request;
    const std::uint64_t tokens = m_policy.promise(m_forecast, request, 0);
    const std::vector<Candidate> suitable = candidates(tokens, now);
    const std::optional<std::size_t> chosen = m_policy.choose(request, suitable);
    if (!chosen)
        return false;
    const EndpointName endpoint = suitable[*chosen].endpoint;
    m_creditBalance.reserve(endpoint, tokens);
    m_meanPromisedTokens = (m_meanPromisedTokens * (detail::meanPromiseWindow - 1) + tokens)
        / detail::meanPromiseWindow;
    decisions.push_back(Start {id, endpoint, m_creditBalance.available(endpoint, now).incarnation,
                               request.priority});
    m_queue.popFront(account);
    m_startRate.started(now);
    ++m_counters.started;
    RunningRequest running {std::move(it->second), endpoint, tokens, 0};
    m_waiting.erase(it);
    m_running.emplace(id, std::move(running));
    return true;
}

template <AdmissionPolicy Policy>
std::vector<Candidate> AdmissionQueue<Policy>::candidates(std::uint64_t tokens, Millis now) const
{
    std::vector<Candidate> suitable;
    for (const EligibleEndpoint &item : m_eligible) {
        if (m_avoidedUntil.contains(item.endpoint))
            continue;
        const CreditAvailable credit = m_creditBalance.available(item.endpoint, now);
        if (m_policy.usesCredit() && (credit.slots == 0 || credit.memoryTokens < tokens))
            continue;
        suitable.push_back({item.endpoint, item.sameZone, credit.running, credit.busyPercent,
                            credit.grantedSlots, credit.memoryTokens});
    }
    return suitable;
}

template <AdmissionPolicy Policy>
void AdmissionQueue<Policy>::refuse(RequestId id, ResultCode code, Decisions &decisions, Millis now)
{
    const auto it = m_waiting.find(id);
    const AccountName account = it->second.request.account;
    m_queue.remove(account, id);
    m_waiting.erase(it);
    ++m_counters.refused;
    decisions.push_back(Refuse {id, code, retryAfter(account, now)});
    updateBacklog(now);
}

template <AdmissionPolicy Policy>
void AdmissionQueue<Policy>::refuseLate(Decisions &decisions, Millis now)
{
    std::vector<RequestId> late;
    for (const std::pair<const RequestId, QueuedRequest> &entry : m_waiting) {
        if (now >= latestStart(entry.second))
            late.push_back(entry.first);
    }
    for (const RequestId id : late) {
        const bool pastDeadline = now >= m_waiting.at(id).request.deadline;
        refuse(id, pastDeadline ? ResultCode::DeadlineUnreachable : ResultCode::NoCapacity,
               decisions, now);
    }
}

template <AdmissionPolicy Policy>
std::optional<ResultCode> AdmissionQueue<Policy>::refusalOnArrival(const Request &request,
                                                                   Millis now) const
{
    if (now >= request.deadline)
        return ResultCode::DeadlineUnreachable;
    if (m_eligible.empty())
        return ResultCode::NoEndpoint;
    const std::optional<Millis> wait = predictedWait(request.account, now);
    if (!wait || !m_policy.refusesEarly())
        return std::nullopt;
    if (request.deadline != noDeadline && now + *wait > request.deadline)
        return ResultCode::DeadlineUnreachable;
    if (*wait > m_policy.queueLimit())
        return ResultCode::NoCapacity;
    return std::nullopt;
}

// Returns the time after which a request of the account would be accepted if no other request
// arrived.
template <AdmissionPolicy Policy>
Millis AdmissionQueue<Policy>::retryAfter(const AccountName &account, Millis now) const
{
    const std::optional<Millis> wait = predictedWait(account, now);
    if (!wait)
        return detail::defaultRetryAfter;
    const Millis over = *wait - std::min(m_policy.queueLimit(), *wait);
    return std::clamp(std::max(over, *wait / 2), detail::minRetryAfter, detail::maxRetryAfter);
}

template <AdmissionPolicy Policy>
Millis AdmissionQueue<Policy>::latestStart(const QueuedRequest &queued) const
{
    if (m_policy.queueLimit() == noDeadline)
        return queued.request.deadline;
    return std::min(queued.request.deadline, queued.arrivedAt + m_policy.queueLimit());
}

// Returns the memory, in tokens, that the next request to start needs; 0 if none is queued.
template <AdmissionPolicy Policy>
std::uint64_t AdmissionQueue<Policy>::nextPromisedTokens() const
{
    const std::vector<AccountName> order = m_queue.order();
    if (order.empty())
        return 0;
    const std::optional<RequestId> id = m_queue.front(order.front());
    return m_policy.promise(m_forecast, m_waiting.at(*id).request, 0);
}

template <AdmissionPolicy Policy>
void AdmissionQueue<Policy>::updateBacklog(Millis now)
{
    m_startRate.setBacklogged(!m_queue.empty(), now);
}

} // namespace fescue
