// Fault matrix of the ownership of one endpoint: P2 (credits of two owners never live at the same
// time, so an endpoint is not given more than one owner hands out) and the order of fencing numbers
// at an endpoint that does not check them. The oracle is checked after every step.

#include "fescue/core/ownership.h"

#include <algorithm>
#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <span>
#include <string>
#include <vector>

namespace {

using namespace fescue;

constexpr Millis stepTime = 100_ms;
constexpr Millis renewInterval = 1_s;
constexpr Millis faultAt = 15_s;
constexpr Millis endAt = 50_s;
constexpr Millis slowAnswer = 1200_ms;
constexpr Millis watchLag = 2_s;
constexpr OwnershipLimits limits {};

enum class Fault : std::uint8_t
{
    OwnerPaused,
    OwnerKilled,
    OwnerCutFromStore,
    StoreDown,
    StoreSlow,
    StoreAnswersLost,
    WatchLags,
    BothWanted,
    OtherWanted,
    OtherPaused,
    Count,
};

constexpr std::size_t faultCount = static_cast<std::size_t>(Fault::Count);
constexpr std::array<Millis, 4> faultStarts {0_s, 13_s, faultAt, 17500_ms};
constexpr std::array<Millis, 3> faultSpans {700_ms, 3500_ms, 9_s};

struct FaultWindow
{
    Fault fault = Fault::OwnerPaused;
    Millis from {0};
    Millis to {0};
};

struct Lease
{
    std::uint64_t id = 0;
    Millis end {0};
};

// Leases and the one owner key of the store.
struct OwnerStore
{
    std::vector<Lease> leases;
    std::optional<OwnerKey> key;
    std::uint64_t keyLease = 0;
    std::uint64_t revision = 0;
    std::uint64_t lastLease = 0;

    [[nodiscard]] bool leaseLives(std::uint64_t id, Millis now) const
    {
        return std::any_of(leases.begin(), leases.end(),
                           [&](const Lease &lease) { return lease.id == id && now < lease.end; });
    }
};

// A credit that lives until a time, or an order, by the owner with this number.
struct Credit
{
    FencingNumber fence;
    Millis end {0};
};

struct Candidate
{
    ClaimHolder self;
    std::unique_ptr<OwnershipMachine> machine;
    std::uint64_t lease = 0;
    bool alive = true;
    bool paused = false;
    // What was decided on directly before a pause, and is sent after it.
    std::vector<std::function<void()>> delayedSends;
};

struct Delivery
{
    Millis at {0};
    Candidate *to = nullptr;
    std::function<void()> run;
};

class OwnerWorld
{
public:
    explicit OwnerWorld(FencingSupport fencing)
    {
        for (std::size_t n = 0; n < m_candidates.size(); ++n) {
            Candidate &candidate = m_candidates[n];
            candidate.self = {MemberName {"member-" + std::to_string(n)}, {1}};
            candidate.machine = std::make_unique<OwnershipMachine>(candidate.self, fencing, limits);
        }
    }

    // Returns the first thing that went against the points, or nothing.
    std::string run(std::span<const FaultWindow> faults)
    {
        m_faults = faults;
        for (; m_now < endAt; m_now += stepTime) {
            expireLeases();
            for (Candidate &candidate : m_candidates)
                act(candidate);
            checkCredits();
        }
        const bool anybody =
            std::any_of(m_candidates.begin(), m_candidates.end(), [this](const Candidate &c) {
                return c.alive && c.machine->mayOrder(m_now - stepTime);
            });
        require(anybody, "nobody owns the endpoint long after the faults");
        return m_violation;
    }

private:
    void require(bool holds, const char *what)
    {
        if (!holds && m_violation.empty())
            m_violation = std::string {what} + " at " + std::to_string(m_now.count) + " ms";
    }

    [[nodiscard]] bool active(Fault fault) const
    {
        return std::any_of(m_faults.begin(), m_faults.end(), [&](const FaultWindow &window) {
            return window.fault == fault && m_now >= window.from && m_now < window.to;
        });
    }

    [[nodiscard]] bool isFirst(const Candidate &candidate) const
    {
        return &candidate == m_candidates.data();
    }

    [[nodiscard]] bool isWanted(const Candidate &candidate) const
    {
        if (active(Fault::BothWanted))
            return true;
        const bool otherWanted = active(Fault::OtherWanted) || !m_candidates[0].alive;
        return isFirst(candidate) != otherWanted;
    }

    [[nodiscard]] bool reachesStore(const Candidate &candidate) const
    {
        const bool cut = isFirst(candidate) && active(Fault::OwnerCutFromStore);
        return !active(Fault::StoreDown) && !cut;
    }

    void expireLeases()
    {
        if (m_store.key && !m_store.leaseLives(m_store.keyLease, m_now))
            changeKey(std::nullopt);
    }

    void changeKey(const std::optional<OwnerKey> &key)
    {
        const StoreRevision at {++m_store.revision};
        m_store.key = key;
        if (key)
            m_store.key->revision = at;
        const std::optional<OwnerKey> shown = m_store.key;
        const Millis delay = active(Fault::WatchLags) ? watchLag : stepTime;
        for (Candidate &candidate : m_candidates) {
            deliver(candidate, delay, [this, &candidate, at, shown] {
                carryOut(candidate, candidate.machine->keyChanged(m_now, at, shown));
            });
        }
    }

    void deliver(Candidate &to, Millis delay, std::function<void()> run)
    {
        m_deliveries.push_back({m_now + delay, &to, std::move(run)});
    }

    void act(Candidate &candidate)
    {
        if (isFirst(candidate) && active(Fault::OwnerKilled))
            candidate.alive = false;
        const bool pauses = active(isFirst(candidate) ? Fault::OwnerPaused : Fault::OtherPaused);
        const bool pauseBegins = pauses && !candidate.paused;
        candidate.paused = pauses;
        if (!candidate.alive || (pauses && !pauseBegins))
            return;
        for (const std::function<void()> &send : std::exchange(candidate.delayedSends, {}))
            send();
        receive(candidate);
        carryOut(candidate, candidate.machine->setWanted(m_now, isWanted(candidate)));
        carryOut(candidate, candidate.machine->tick(m_now));
        if (m_now.count % renewInterval.count == 0)
            renew(candidate);
        decide(candidate, pauseBegins);
    }

    void receive(Candidate &candidate)
    {
        // What the store sends waits while it cannot be reached.
        if (!reachesStore(candidate))
            return;
        std::vector<Delivery> due;
        std::erase_if(m_deliveries, [&](const Delivery &delivery) {
            const bool now = delivery.to == &candidate && delivery.at <= m_now;
            if (now)
                due.push_back(delivery);
            return now;
        });
        for (const Delivery &delivery : due)
            delivery.run();
    }

    // Looks at the clock and sends; where a pause begins in between, sends after it.
    void decide(Candidate &candidate, bool pauseBegins)
    {
        const FencingNumber fence = candidate.machine->fence();
        std::vector<std::function<void()>> sends;
        if (candidate.machine->mayGrant(m_now)) {
            const Millis end = m_now + limits.creditTerm;
            sends.emplace_back([this, fence, end] { m_credits.push_back({fence, end}); });
        }
        if (candidate.machine->mayOrder(m_now))
            sends.emplace_back([this, fence] { order(fence); });
        if (pauseBegins) {
            candidate.delayedSends = std::move(sends);
            return;
        }
        for (const std::function<void()> &send : sends)
            send();
    }

    void order(FencingNumber fence)
    {
        require(fence >= m_lastOrder, "an order of an earlier owner came after one of a later");
        m_lastOrder = std::max(m_lastOrder, fence);
    }

    void checkCredits()
    {
        std::erase_if(m_credits, [this](const Credit &credit) { return credit.end <= m_now; });
        for (const Credit &credit : m_credits) {
            require(credit.fence == m_credits.front().fence,
                    "P2: credits of two owners live at the same time");
        }
    }

    [[nodiscard]] Millis answerDelay() const
    {
        return active(Fault::StoreSlow) ? slowAnswer : stepTime;
    }

    [[nodiscard]] bool losesAnswer() const
    {
        return active(Fault::StoreAnswersLost) && m_now.count % 200 == 0;
    }

    void renew(Candidate &candidate)
    {
        if (!reachesStore(candidate))
            return;
        const Millis sentAt = m_now;
        const bool lives = m_store.leaseLives(candidate.lease, m_now);
        const std::uint64_t id = lives ? candidate.lease : ++m_store.lastLease;
        if (lives) {
            for (Lease &lease : m_store.leases) {
                if (lease.id == id)
                    lease.end = m_now + limits.leaseTtl;
            }
        } else {
            m_store.leases.push_back({id, m_now + limits.leaseTtl});
        }
        if (losesAnswer())
            return;
        deliver(candidate, answerDelay(), [&candidate, lives, id, sentAt] {
            candidate.lease = id;
            if (lives)
                candidate.machine->leaseRenewed(sentAt);
            else
                candidate.machine->leaseGranted(sentAt);
        });
    }

    void carryOut(Candidate &candidate, OwnershipStep step)
    {
        switch (step) {
        case OwnershipStep::None:
            return;
        case OwnershipStep::CreateKey:
            createKey(candidate);
            return;
        case OwnershipStep::ReadKey:
            readKey(candidate);
            return;
        case OwnershipStep::DeleteKey:
            if (reachesStore(candidate) && m_store.key
                && m_store.key->revision == candidate.machine->revision())
                changeKey(std::nullopt);
            return;
        }
    }

    void createKey(Candidate &candidate)
    {
        if (!reachesStore(candidate))
            return;
        const bool created = !m_store.key && m_store.leaseLives(candidate.lease, m_now);
        if (created) {
            m_store.keyLease = candidate.lease;
            changeKey(OwnerKey {candidate.self, {}});
        }
        const StoreRevision revision {m_store.revision};
        const bool lost = losesAnswer();
        deliver(candidate, answerDelay(), [this, &candidate, created, revision, lost] {
            if (lost)
                carryOut(candidate, candidate.machine->keyAnswerLost(m_now));
            else if (created)
                carryOut(candidate, candidate.machine->keyCreated(m_now, revision));
            else
                carryOut(candidate, candidate.machine->keyExists(m_now));
        });
    }

    void readKey(Candidate &candidate)
    {
        if (!reachesStore(candidate) || losesAnswer())
            return;
        const std::optional<OwnerKey> key = m_store.key;
        deliver(candidate, answerDelay(), [this, &candidate, key] {
            carryOut(candidate, candidate.machine->keyRead(m_now, key));
        });
    }

    Millis m_now {0};
    std::span<const FaultWindow> m_faults;
    std::array<Candidate, 2> m_candidates;
    OwnerStore m_store;
    std::vector<Delivery> m_deliveries;
    std::vector<Credit> m_credits;
    FencingNumber m_lastOrder;
    std::string m_violation;
};

FaultWindow makeWindow(std::size_t fault, std::size_t start, std::size_t span)
{
    return {static_cast<Fault>(fault), faultStarts[start], faultStarts[start] + faultSpans[span]};
}

class OwnerMatrix : public testing::TestWithParam<std::tuple<std::size_t, std::size_t, std::size_t>>
{
protected:
    [[nodiscard]] static FaultWindow fault()
    {
        return makeWindow(std::get<0>(GetParam()), std::get<1>(GetParam()),
                          std::get<2>(GetParam()));
    }
};

TEST_P(OwnerMatrix, SingleFault)
{
    EXPECT_EQ(OwnerWorld(FencingSupport::Ignores).run(std::array {fault()}), "");
}

TEST_P(OwnerMatrix, EveryPairWithASecondFault)
{
    for (std::size_t second = std::get<0>(GetParam()); second < faultCount; ++second) {
        for (std::size_t start = 0; start < faultStarts.size(); ++start) {
            const FaultWindow other = makeWindow(second, start, start % faultSpans.size());
            ASSERT_EQ(OwnerWorld(FencingSupport::Ignores).run(std::array {fault(), other}), "")
                << "second fault " << second << " from " << other.from.count << " ms";
        }
    }
}

INSTANTIATE_TEST_SUITE_P(FaultsBySteps, OwnerMatrix,
                         testing::Combine(testing::Range(std::size_t {0}, faultCount),
                                          testing::Range(std::size_t {0}, faultStarts.size()),
                                          testing::Range(std::size_t {0}, faultSpans.size())));

RC_GTEST_PROP(OwnerMatrixRandom, ManyFaults, (const std::vector<std::uint16_t> &draws))
{
    std::vector<FaultWindow> faults;
    for (const std::uint16_t draw : draws) {
        const Millis from = stepTime * (draw / faultCount % 250);
        const Millis span = stepTime * (1 + draw / 7 % 80);
        faults.push_back({static_cast<Fault>(draw % faultCount), from, from + span});
    }
    RC_ASSERT(OwnerWorld(FencingSupport::Ignores).run(faults) == std::string {});
}

} // namespace
