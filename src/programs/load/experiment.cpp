#include "experiment.h"

#include "fescue/policy/policies.h"

#include <array>

namespace fescue::load {

namespace {

constexpr std::array<std::string_view, 4> knownPolicies = {"finish", "latency", "least-in-flight",
                                                           "round-robin"};

ProfileSettings withMechanisms(ProfileSettings settings, const Mechanisms &mechanisms,
                               const Scenario &scenario)
{
    if (!mechanisms.forecast)
        settings.horizonTokens = 0;
    if (!mechanisms.affinity)
        settings.router.affinityPercent = 0;
    settings.router.zoneFirst = mechanisms.zoneFirst;
    settings.refusesEarly = mechanisms.earlyRefusal;
    if (!mechanisms.earlyRefusal)
        settings.queueLimit = scenario.patience;
    return settings;
}

template <AdmissionPolicy Policy>
Measures runWith(const Policy &policy, const Scenario &scenario, const Mechanisms &mechanisms,
                 std::span<const Arrival> arrivals, const Capacity &capacity)
{
    Experiment<Policy> experiment(scenario, mechanisms, arrivals, capacity, policy);
    return experiment.run();
}

} // namespace

std::span<const std::string_view> policyNames()
{
    return knownPolicies;
}

Result<Measures> runPolicy(std::string_view policy, const Scenario &scenario,
                           const Mechanisms &mechanisms, std::span<const Arrival> arrivals,
                           const Capacity &capacity)
{
    Service service;
    service.name = ServiceName("model");
    if (policy == "finish") {
        const ProfileSettings settings =
            withMechanisms(finishSettings(service), mechanisms, scenario);
        return runWith(CreditPolicy(settings), scenario, mechanisms, arrivals, capacity);
    }
    if (policy == "latency") {
        const ProfileSettings settings =
            withMechanisms(latencySettings(service), mechanisms, scenario);
        return runWith(CreditPolicy(settings), scenario, mechanisms, arrivals, capacity);
    }
    if (policy == "least-in-flight")
        return runWith(LeastInFlightPolicy {}, scenario, mechanisms, arrivals, capacity);
    if (policy == "round-robin")
        return runWith(RoundRobinPolicy {}, scenario, mechanisms, arrivals, capacity);
    return fail(ResultCode::SettingsInvalid,
                "unknown policy \"" + std::string(policy)
                    + "\"; known are finish, latency, least-in-flight and round-robin");
}

} // namespace fescue::load
