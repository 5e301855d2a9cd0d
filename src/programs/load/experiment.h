#pragma once

#include "fescue/policy/admissionqueue.h"
#include "fescue/policy/creditbalance.h"
#include "fescue/policy/lengthforecast.h"
#include "fleet.h"
#include "measures.h"
#include "scenario.h"
#include "workload.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::load {

// Follows every request of one run from its arrival to its end, and takes the measures.
class Recorder
{
public:
    Recorder(const Scenario &scenario, std::span<const Arrival> arrivals, const Capacity &capacity);

    void arrived(std::size_t request);
    void started(std::size_t request, std::uint64_t stream);
    // Takes in a token. Returns false where it is not the next one of the current generation.
    bool token(std::size_t request, const emulator::EngineEvent &event);
    void completed(std::size_t request);
    void cut(std::size_t request);
    void refused(std::size_t request, ResultCode code, Millis now);
    void preempted(Millis at);
    void crashed() noexcept { ++m_measures.crashes; }
    void overCold() noexcept { ++m_measures.overCold; }
    void sample(Millis now, std::uint32_t queued, std::uint32_t running, std::uint32_t endpointsIn);

    [[nodiscard]] std::uint32_t delivered(std::size_t request) const;
    [[nodiscard]] std::uint64_t stream(std::size_t request) const;
    [[nodiscard]] std::size_t openRequests() const noexcept { return m_open; }
    // Closes the books; call once, at the end.
    [[nodiscard]] Measures finish();

private:
    struct Track
    {
        std::uint64_t stream = 0;
        std::uint32_t delivered = 0;
        std::uint32_t deliveredInWindow = 0;
        std::uint32_t deliveredAway = 0;
        std::uint32_t ends = 0;
        Millis firstTokenAt {0};
        Millis lastTokenAt {0};
    };

    [[nodiscard]] bool inWindow(Millis at) const noexcept;
    [[nodiscard]] bool isAway(Millis at) const noexcept;
    void end(std::size_t request);
    SeriesPoint &pointAt(Millis at);

    const Scenario &m_scenario;
    std::span<const Arrival> m_arrivals;
    std::vector<Track> m_tracks;
    std::size_t m_open = 0;
    Millis m_awayFrom {0};
    Millis m_awayTo {0};
    Measures m_measures;
};

// Runs one scenario with one policy in steps of a few milliseconds on a manual clock.
template <AdmissionPolicy Policy>
class Experiment
{
public:
    Experiment(const Scenario &scenario, const Mechanisms &mechanisms,
               std::span<const Arrival> arrivals, const Capacity &capacity,
               const Policy &prototype);

    [[nodiscard]] Measures run();

private:
    struct Entry
    {
        Entry(const MemberName &name, const Policy &policy)
            : creditBalance(name), queue(ServiceName("model"), policy, creditBalance, forecast)
        { }
        CreditBalance creditBalance;
        LengthForecast forecast;
        AdmissionQueue<Policy> queue;
    };
    struct PendingGrant
    {
        Millis at {0};
        std::size_t entry = 0;
        CreditGrant grant;
    };
    struct PendingDecision
    {
        std::size_t entry = 0;
        Decision decision;
    };

    void step();
    void updateEligible();
    void exchangeCredit();
    void sendDemands(std::size_t entry);
    [[nodiscard]] CreditGrant staticGrant(std::size_t engine, const EntryDemand &demand);
    void arrive(std::size_t request);
    void queueDecisions(std::size_t entry, std::vector<Decision> decisions);
    void applyDecisions();
    void start(std::size_t entry, const Start &decision);
    void handleEvent(std::size_t engine, const emulator::EngineEvent &event);
    void handleCrash(std::size_t engine);
    void sample();

    const Scenario &m_scenario;
    Mechanisms m_mechanisms;
    std::span<const Arrival> m_arrivals;
    Recorder m_recorder;
    Fleet m_fleet;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<std::vector<EligibleEndpoint>> m_eligible;
    std::deque<PendingGrant> m_grants;
    std::deque<PendingDecision> m_decisions;
    // Request of each stream, and the requests on each engine.
    std::vector<std::size_t> m_streams;
    std::vector<std::vector<std::size_t>> m_onEngine;
    std::size_t m_nextArrival = 0;
    std::uint64_t m_staticSerial = 0;
    Millis m_now {0};
};

// Names of the policies that runPolicy() knows.
[[nodiscard]] std::span<const std::string_view> policyNames();

// Runs a scenario with the named policy.
[[nodiscard]] Result<Measures> runPolicy(std::string_view policy, const Scenario &scenario,
                                         const Mechanisms &mechanisms,
                                         std::span<const Arrival> arrivals,
                                         const Capacity &capacity);

} // namespace fescue::load

#include "experiment.inl"
