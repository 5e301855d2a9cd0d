#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/policy/credit.h"
#include "fescue/policy/slowstart.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fescue {

// What one endpoint can bear, from the configuration.
struct EndpointCapacity
{
    EndpointName endpoint;
    std::uint32_t slots = 16;
    std::uint32_t coldSlots = 2;
    // 0 for plain services: memory is not limited then.
    std::uint64_t memoryTokens = 0;
};

struct CreditSettings
{
    Millis term = 2_s;
    // Part of the endpoint's memory that is granted, in percent; the rest takes forecast errors.
    std::uint32_t memoryPercent = 95;
    // An entry that has not been heard of for this long has none of its requests counted, except
    // those that the endpoint itself reports.
    Millis memberTimeout = 10_s;
    SlowStartSettings slowStart;
};

// Splits what one endpoint can bear among the entries. All grants that have not ended stay within
// the endpoint's limit, also across a change of authority: a successor grants nothing before all
// grants of its predecessor have ended and the endpoint has reported what runs since, and no grant
// outlives the authority's own lease.
class CreditAuthority
{
public:
    CreditAuthority(const EndpointCapacity &capacity, const CreditSettings &settings,
                    FencingNumber authority);

    // Declares that an earlier authority may have granted the whole limit until now.
    void startAsSuccessor(Millis now) noexcept;
    // Sets when this authority's lease ends; no grant is made for later. Unset: no limit.
    void setLeaseEnd(Millis end) noexcept { m_leaseEnd = end; }
    // Applies a changed capacity.
    void setCapacity(const EndpointCapacity &capacity);
    // Out of service: grants nothing. Back in service: starts at the cold limit.
    void setServing(bool serving) noexcept;

    void observeLoad(const LoadReport &report, Millis now);
    // An incarnation seen by any means, such as an answer of the endpoint.
    void observeIncarnation(Incarnation incarnation) noexcept;

    // Answers a demand. The grant may be for 0 slots.
    [[nodiscard]] CreditGrant answer(const EntryDemand &demand, Millis now);
    // Forgets an entry that has left; its last grants still count until they end.
    void memberLeft(const MemberName &member) noexcept;

    [[nodiscard]] std::uint32_t slotLimit() const noexcept;
    [[nodiscard]] std::uint64_t memoryLimit() const noexcept;
    // Sum over the entries of what their unended grants allow at most.
    [[nodiscard]] std::uint64_t grantedSlots(Millis now) const;
    [[nodiscard]] const SlowStart &slowStart() const noexcept { return m_slowStart; }
    [[nodiscard]] FencingNumber authority() const noexcept { return m_authority; }

private:
    struct LiveGrant
    {
        std::uint64_t serial = 0;
        std::uint32_t slots = 0;
        std::uint64_t memoryTokens = 0;
        Millis end {0};
    };
    struct MemberState
    {
        EntryDemand demand;
        Millis heardAt {0};
        bool left = false;
        std::vector<LiveGrant> grants;
    };
    struct Amount
    {
        std::uint64_t slots = 0;
        std::uint64_t memoryTokens = 0;
    };
    // What one entry gets, while it is worked out.
    struct Claim
    {
        Amount share;
        std::uint32_t running = 0;
        std::uint32_t settled = 0;
        // Running and queued requests.
        std::uint32_t wanted = 0;
        // Memory of each running request, and of one more.
        std::uint64_t runningTokens = 0;
        std::uint64_t unitTokens = 0;
        double weight = 1;

        [[nodiscard]] std::uint64_t nextTokens() const noexcept
        {
            return share.slots < running ? runningTokens : unitTokens;
        }
        [[nodiscard]] double filled() const noexcept
        {
            return (static_cast<double>(share.slots) - settled) / weight;
        }
    };
    using Members = std::map<MemberName, MemberState>;

    void record(const EntryDemand &demand, Millis now);
    void expire(Millis now);
    [[nodiscard]] Amount committed(const MemberState &state) const noexcept;
    [[nodiscard]] Amount committedByOthers(const MemberName &member) const noexcept;
    // Load in a report that no known entry accounted for at the time of the report.
    [[nodiscard]] Amount unaccountedIn(const LoadReport &report) const noexcept;
    // Whether what runs on the endpoint is known well enough to grant anything.
    [[nodiscard]] bool mayGrant(Millis now) const noexcept;
    void recordRunning(Millis now);
    [[nodiscard]] Amount target(const MemberName &member, Millis now) const;
    [[nodiscard]] static Claim claimOf(const EntryDemand &demand) noexcept;
    static void giveUnits(std::vector<Claim> &claims, Amount &left, std::size_t first, bool spare);
    [[nodiscard]] Millis termFor(Millis now) const noexcept;
    [[nodiscard]] std::uint32_t busyPercent() const noexcept;

    EndpointCapacity m_capacity;
    CreditSettings m_settings;
    FencingNumber m_authority;
    SlowStart m_slowStart;
    Members m_members;
    std::optional<LoadReport> m_report;
    Millis m_reportAt {0};
    Amount m_unaccounted;
    // Requests running for all known entries, over the time that a lagging report may refer to.
    struct RunningSample
    {
        Millis at {0};
        std::uint64_t running = 0;
    };
    std::deque<RunningSample> m_runningHistory;
    Millis m_assumedUntil {0};
    bool m_isSuccessor = false;
    std::optional<Millis> m_leaseEnd;
    bool m_serving = true;
    std::uint64_t m_nextSerial = 1;
};

} // namespace fescue
