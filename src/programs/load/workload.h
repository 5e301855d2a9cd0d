#pragma once

#include "fescue/core/clock.h"
#include "fescue/emulator/enginemodel.h"
#include "scenario.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace fescue::load {

// One request of the workload. outputTokens is what the engine will produce.
struct Arrival
{
    Millis at {0};
    std::size_t account = 0;
    std::size_t entry = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1;
    std::vector<std::uint64_t> prefixHashes;
};

// Draws requests of a scenario. The same seed gives the same requests.
class RequestSource
{
public:
    RequestSource(const Scenario &scenario, std::uint64_t seed);
    // Draws all but the arrival time.
    [[nodiscard]] Arrival next();
    [[nodiscard]] std::mt19937_64 &random() noexcept { return m_random; }

private:
    [[nodiscard]] std::uint32_t drawOutput(const AccountLoad &account);
    [[nodiscard]] std::size_t drawEntry(std::size_t account);

    const Scenario &m_scenario;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_account;
};

// What one engine of a scenario can do.
struct Capacity
{
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
};

// Measures one warm engine for which requests always wait, so that its memory is always full.
[[nodiscard]] Capacity measureCapacity(const Scenario &scenario);

// Draws all arrivals of a scenario, in order of time: open loop, Poisson with bursts.
[[nodiscard]] std::vector<Arrival> makeWorkload(const Scenario &scenario, const Capacity &capacity,
                                                std::uint64_t seed);

} // namespace fescue::load
