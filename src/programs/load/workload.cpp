#include "workload.h"

#include <algorithm>
#include <cmath>

namespace fescue::load {

namespace {

constexpr std::uint64_t capacitySeed = 20260;
constexpr Millis capacityTime = 900_s;
constexpr Millis capacityStep = 10_ms;
// So many requests always wait.
constexpr std::uint32_t capacityWaiting = 2;
// Exponent of the Pareto tail of output lengths.
constexpr double tailExponent = 1.3;
// The directory spreads an account over this many entries.
constexpr std::size_t entriesPerAccount = 3;

std::vector<double> sharesOf(const Scenario &scenario)
{
    std::vector<double> shares;
    for (const AccountLoad &account : scenario.accounts)
        shares.push_back(account.share);
    return shares;
}

std::uint64_t blockHash(std::size_t account, std::size_t prefix, std::size_t block)
{
    std::uint64_t hash = (account + 1) * 1000003 + (prefix + 1) * 8191 + block;
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 29U;
    return hash;
}

double rateFactorAt(const Scenario &scenario, Millis at)
{
    const double burstPart = static_cast<double>(scenario.burstLength.count)
        / static_cast<double>(std::max<std::int64_t>(1, scenario.burstEvery.count));
    const double base = 1.0 / (1.0 + burstPart * (scenario.burstFactor - 1.0));
    const bool inBurst = scenario.burstEvery.count > 0
        && at.count % scenario.burstEvery.count < scenario.burstLength.count;
    return inBurst ? base * scenario.burstFactor : base;
}

} // namespace

RequestSource::RequestSource(const Scenario &scenario, std::uint64_t seed)
    : m_scenario(scenario), m_random(seed)
{
    const std::vector<double> shares = sharesOf(scenario);
    m_account = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

std::uint32_t RequestSource::drawOutput(const AccountLoad &account)
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    double length = 0;
    if (uniform(m_random) < account.tailPart) {
        length = account.tailStart / std::pow(1.0 - uniform(m_random), 1.0 / tailExponent);
    } else {
        std::lognormal_distribution<double> body(std::log(account.medianOutput), account.sigma);
        length = body(m_random);
    }
    const double largest = m_scenario.largestOutput;
    return static_cast<std::uint32_t>(std::clamp(length, 2.0, largest));
}

std::size_t RequestSource::drawEntry(std::size_t account)
{
    std::uniform_int_distribution<std::size_t> pick(0, entriesPerAccount - 1);
    return (account * 5 + pick(m_random) * 3) % m_scenario.entries;
}

Arrival RequestSource::next()
{
    Arrival arrival;
    arrival.account = m_account(m_random);
    const AccountLoad &account = m_scenario.accounts[arrival.account];
    arrival.entry = drawEntry(arrival.account);
    arrival.outputTokens = drawOutput(account);
    std::uniform_int_distribution<std::uint32_t> prefix(0, std::max(1U, account.prefixes) - 1);
    const std::size_t chosen = prefix(m_random);
    for (std::uint32_t i = 0; i < account.prefixBlocks; ++i)
        arrival.prefixHashes.push_back(blockHash(arrival.account, chosen, i));
    std::uniform_int_distribution<std::uint32_t> own(1, 2 * account.ownPromptTokens + 1);
    arrival.promptTokens = account.prefixBlocks * m_scenario.engine.tokensPerBlock + own(m_random);
    return arrival;
}

Capacity measureCapacity(const Scenario &scenario)
{
    emulator::EngineSettings settings = scenario.engine;
    settings.coldLimit = settings.maxBatch;
    emulator::EngineModel engine(settings, Incarnation {1}, Millis {0});
    RequestSource source(scenario, capacitySeed);
    std::uint64_t finished = 0;
    std::uint64_t tokens = 0;
    std::uint64_t stream = 0;
    for (Millis now {0}; now < capacityTime; now += capacityStep) {
        for (const emulator::EngineEvent &event : engine.advance(now)) {
            if (event.kind != emulator::EngineEventKind::Finished)
                continue;
            ++finished;
            tokens += event.index;
        }
        while (engine.waiting() < capacityWaiting) {
            const Arrival arrival = source.next();
            static_cast<void>(engine.submit({emulator::StreamId {++stream}, arrival.prefixHashes,
                                             arrival.promptTokens, arrival.outputTokens, 0},
                                            now));
        }
    }
    const double seconds = static_cast<double>(capacityTime.count) / 1000.0;
    return {static_cast<double>(finished) / seconds, static_cast<double>(tokens) / seconds};
}

std::vector<Arrival> makeWorkload(const Scenario &scenario, const Capacity &capacity,
                                  std::uint64_t seed)
{
    RequestSource source(scenario, seed);
    const double perMilli = capacity.requestsPerSecond * scenario.engines * scenario.load / 1000.0;
    const Millis end = scenario.warmup + scenario.duration;
    std::exponential_distribution<double> gap(1.0);
    std::vector<Arrival> arrivals;
    double at = 0;
    while (true) {
        const double rate = perMilli * rateFactorAt(scenario, {static_cast<std::int64_t>(at)});
        at += gap(source.random()) / rate;
        if (at >= static_cast<double>(end.count))
            return arrivals;
        Arrival arrival = source.next();
        arrival.at = {static_cast<std::int64_t>(at)};
        arrivals.push_back(std::move(arrival));
    }
}

} // namespace fescue::load
