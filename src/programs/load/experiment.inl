#pragma once

#include <algorithm>
#include <iterator>
#include <utility>

namespace fescue::load {

namespace detail {

constexpr Millis stepLength {5};
constexpr Millis eligibleInterval {100};
constexpr Millis pollInterval {250};
// Interval of demands, and the shorter one while requests wait.
constexpr Millis demandInterval {250};
constexpr Millis urgentDemandInterval {100};
// Time from a demand until its grant is in force.
constexpr Millis grantDelay {10};
// After the last arrival, time for what still runs to end.
constexpr Millis drainTime {1500000};
constexpr std::uint64_t staticMemoryPercent = 95;

} // namespace detail

template <AdmissionPolicy Policy>
Experiment<Policy>::Experiment(const Scenario &scenario, const Mechanisms &mechanisms,
                               std::span<const Arrival> arrivals, const Capacity &capacity,
                               const Policy &prototype)
    : m_scenario(scenario), m_mechanisms(mechanisms), m_arrivals(arrivals),
      m_recorder(scenario, arrivals, capacity), m_fleet(scenario, mechanisms),
      m_eligible(scenario.entries), m_onEngine(scenario.engines)
{
    for (std::size_t i = 0; i < scenario.entries; ++i) {
        const MemberName name("entry-" + std::to_string(i));
        m_entries.push_back(std::make_unique<Entry>(name, prototype));
        for (const AccountLoad &account : scenario.accounts)
            m_entries.back()->queue.setWeight(AccountName(account.name), account.weight);
    }
}

template <AdmissionPolicy Policy>
Measures Experiment<Policy>::run()
{
    const Millis end = m_scenario.warmup + m_scenario.duration + detail::drainTime;
    while (m_now < end && (m_nextArrival < m_arrivals.size() || m_recorder.openRequests() > 0)) {
        step();
        m_now += detail::stepLength;
    }
    return m_recorder.finish();
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::step()
{
    m_fleet.applyFaults(m_now);
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        for (const emulator::EngineEvent &event : m_fleet.engine(i).advance(m_now))
            handleEvent(i, event);
    }
    if (m_now.count % detail::pollInterval.count == 0)
        m_fleet.pollLoad(m_now);
    if (m_now.count % detail::eligibleInterval.count == 0)
        updateEligible();
    exchangeCredit();
    while (m_nextArrival < m_arrivals.size() && m_arrivals[m_nextArrival].at <= m_now)
        arrive(m_nextArrival++);
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        queueDecisions(i, m_entries[i]->queue.tick(m_now));
    applyDecisions();
    if (m_now.count % 1000 == 0)
        sample();
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::updateEligible()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        std::vector<EligibleEndpoint> eligible;
        for (std::size_t j = 0; j < m_fleet.size(); ++j) {
            if (m_fleet.isEligible(j, m_now))
                eligible.push_back(
                    {m_fleet.name(j), m_scenario.zoneOfEngine(j) == m_scenario.zoneOfEntry(i)});
        }
        if (eligible == m_eligible[i])
            continue;
        m_eligible[i] = eligible;
        queueDecisions(i, m_entries[i]->queue.setEligible(std::move(eligible), m_now));
    }
    applyDecisions();
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::exchangeCredit()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const Millis interval = m_entries[i]->queue.queued() > 0 ? detail::urgentDemandInterval
                                                                 : detail::demandInterval;
        const Millis offset = detail::stepLength * static_cast<std::int64_t>(i);
        if ((m_now + offset).count % interval.count == 0)
            sendDemands(i);
    }
    while (!m_grants.empty() && m_grants.front().at <= m_now) {
        const PendingGrant pending = std::move(m_grants.front());
        m_grants.pop_front();
        Entry &entry = *m_entries[pending.entry];
        if (entry.creditBalance.apply(pending.grant, m_now))
            queueDecisions(pending.entry, entry.queue.creditChanged(m_now));
    }
    applyDecisions();
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::sendDemands(std::size_t entry)
{
    for (std::size_t j = 0; j < m_fleet.size(); ++j) {
        if (m_fleet.engine(j).isDown())
            continue;
        const EntryDemand demand = m_entries[entry]->queue.demand(m_fleet.name(j), m_now);
        const CreditGrant grant =
            m_mechanisms.credit ? m_fleet.answer(j, demand, m_now) : staticGrant(j, demand);
        m_grants.push_back({m_now + detail::grantDelay, entry, grant});
    }
}

// A fixed equal part for each entry, as without any authority.
template <AdmissionPolicy Policy>
CreditGrant Experiment<Policy>::staticGrant(std::size_t engine, const EntryDemand &demand)
{
    const std::uint32_t entries = m_scenario.entries;
    CreditGrant grant;
    grant.endpoint = m_fleet.name(engine);
    grant.incarnation = demand.incarnation;
    grant.member = demand.member;
    grant.authority = FencingNumber {1};
    grant.serial = ++m_staticSerial;
    grant.slots = std::max<std::uint32_t>(1, m_scenario.engine.maxBatch / entries);
    grant.memoryTokens =
        m_scenario.engine.memoryTokens * detail::staticMemoryPercent / 100 / entries;
    grant.demandSentAt = m_now;
    grant.term = CreditSettings {}.term;
    return grant;
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::arrive(std::size_t request)
{
    const Arrival &arrival = m_arrivals[request];
    m_recorder.arrived(request);
    Request made;
    made.id = RequestId {request};
    made.account = AccountName(m_mechanisms.fairness ? m_scenario.accounts[arrival.account].name
                                                     : std::string("all"));
    made.service = ServiceName("model");
    made.promptTokens = arrival.promptTokens;
    made.maxTokens = m_scenario.largestOutput;
    made.prefixHashes = arrival.prefixHashes;
    made.deadline = arrival.at + m_scenario.patience;
    queueDecisions(arrival.entry, m_entries[arrival.entry]->queue.arrival(std::move(made), m_now));
    applyDecisions();
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::queueDecisions(std::size_t entry, std::vector<Decision> decisions)
{
    for (Decision &decision : decisions)
        m_decisions.push_back({entry, std::move(decision)});
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::applyDecisions()
{
    while (!m_decisions.empty()) {
        const PendingDecision pending = std::move(m_decisions.front());
        m_decisions.pop_front();
        if (const Start *started = std::get_if<Start>(&pending.decision))
            start(pending.entry, *started);
        else if (const Refuse *refused = std::get_if<Refuse>(&pending.decision))
            m_recorder.refused(refused->id.value, refused->code, m_now);
    }
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::start(std::size_t entry, const Start &decision)
{
    const std::size_t request = decision.id.value;
    const std::size_t index = m_fleet.indexOf(decision.endpoint);
    emulator::EngineModel &engine = m_fleet.engine(index);
    const Arrival &arrival = m_arrivals[request];
    if (!engine.isDown() && engine.isCold() && engine.loadSinceCold() + 1 > engine.bearable())
        m_recorder.overCold();
    const emulator::StreamId stream {m_streams.size()};
    const emulator::SubmitResult result =
        engine.submit({stream, arrival.prefixHashes, arrival.promptTokens, arrival.outputTokens,
                       decision.priority},
                      m_now);
    CreditBalance &creditBalance = m_entries[entry]->creditBalance;
    if (result == emulator::SubmitResult::Accepted) {
        m_streams.push_back(request);
        m_onEngine[index].push_back(request);
        m_recorder.started(request, stream.value);
        creditBalance.observeIncarnation(decision.endpoint, engine.incarnation());
        return;
    }
    if (result != emulator::SubmitResult::Refused)
        creditBalance.endpointLost(decision.endpoint);
    queueDecisions(entry, m_entries[entry]->queue.returned(decision.id, m_now));
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::handleEvent(std::size_t engine, const emulator::EngineEvent &event)
{
    if (event.kind == emulator::EngineEventKind::Crashed) {
        handleCrash(engine);
        return;
    }
    if (event.kind == emulator::EngineEventKind::Restarted)
        return;
    const std::size_t request = m_streams[event.stream.value];
    AdmissionQueue<Policy> &queue = m_entries[m_arrivals[request].entry]->queue;
    if (event.kind == emulator::EngineEventKind::Preempted) {
        m_recorder.preempted(event.at);
    } else if (event.kind == emulator::EngineEventKind::TokenProduced) {
        if (m_recorder.token(request, event))
            queue.tokensProduced(RequestId {request}, 1, m_now);
    } else {
        std::erase(m_onEngine[engine], request);
        m_recorder.completed(request);
        queueDecisions(m_arrivals[request].entry,
                       queue.ended(RequestId {request}, EndKind::Completed, m_now));
        applyDecisions();
    }
}

// Requests without a token start afresh; the others end, as their tokens belong to a generation
// that is gone.
template <AdmissionPolicy Policy>
void Experiment<Policy>::handleCrash(std::size_t engine)
{
    m_recorder.crashed();
    for (const std::unique_ptr<Entry> &entry : m_entries)
        entry->creditBalance.endpointLost(m_fleet.name(engine));
    const std::vector<std::size_t> lost = std::exchange(m_onEngine[engine], {});
    for (const std::size_t request : lost) {
        const std::size_t entry = m_arrivals[request].entry;
        AdmissionQueue<Policy> &queue = m_entries[entry]->queue;
        if (m_recorder.delivered(request) == 0) {
            queueDecisions(entry, queue.returned(RequestId {request}, m_now));
            continue;
        }
        m_recorder.cut(request);
        queueDecisions(entry, queue.ended(RequestId {request}, EndKind::Aborted, m_now));
    }
    applyDecisions();
}

template <AdmissionPolicy Policy>
void Experiment<Policy>::sample()
{
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t in = 0;
    for (const std::unique_ptr<Entry> &entry : m_entries)
        queued += static_cast<std::uint32_t>(entry->queue.queued());
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        queued += m_fleet.engine(i).waiting();
        running += m_fleet.engine(i).running();
        in += m_fleet.isEligible(i, m_now) ? 1 : 0;
    }
    m_recorder.sample(m_now, queued, running, in);
}

} // namespace fescue::load
