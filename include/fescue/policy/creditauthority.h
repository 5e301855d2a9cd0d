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

// Configured capacity of one endpoint.
struct EndpointCapacity
{
    EndpointName endpoint;
    std::uint32_t slots = 16;
    std::uint32_t coldSlots = 2;
    // 0 for plain services, whose memory is not limited.
    std::uint64_t memoryTokens = 0;
};

struct CreditSettings
{
    Millis term = 2_s;
    // Part of the endpoint's memory that is granted, in percent; the rest absorbs forecast errors.
    std::uint32_t memoryPercent = 95;
    // An entry from which no demand has been received for this long is removed as soon as its
    // grants have ended. Its requests then count only if the endpoint itself reports them.
    Millis memberTimeout = 10_s;
    SlowStartSettings slowStart;
};

// Distributes the capacity of one endpoint among the entries. The sum of all unexpired grants stays
// within the endpoint's limit, also across a change of authority: a successor grants nothing until
// all grants of its predecessor have ended and the endpoint has reported its load since then, and
// no grant outlives the authority's own lease.
class CreditAuthority
{
public:
    CreditAuthority(const EndpointCapacity &capacity, const CreditSettings &settings,
                    FencingNumber authority);

    // Assumes that an earlier authority may have granted the whole limit until now; these grants
    // end within one term.
    void startAsSuccessor(Millis now) noexcept;
    // Sets the end of this authority's lease, beyond which no grant extends. Without it, grants
    // last the full term.
    void setLeaseEnd(Millis end) noexcept { m_leaseEnd = end; }
    // Applies a changed capacity.
    void setCapacity(const EndpointCapacity &capacity);
    // Sets whether the endpoint is in service. Out of service, nothing is granted; on return to
    // service, the limit restarts at the cold limit.
    void setServing(bool serving) noexcept;

    void observeLoad(const LoadReport &report, Millis now);
    // Applies an incarnation of the endpoint that was seen in any message, such as a response. A
    // new one resets the slow start and discards the last load report.
    void observeIncarnation(Incarnation incarnation) noexcept;

    // Returns the grant that answers a demand. It may be for 0 slots.
    [[nodiscard]] CreditGrant answer(const EntryDemand &demand, Millis now);
    // Stops sharing credit with a departed entry. Its last grants still count until they end.
    void memberLeft(const MemberName &member) noexcept;

    [[nodiscard]] std::uint32_t slotLimit() const noexcept;
    [[nodiscard]] std::uint64_t memoryLimit() const noexcept;
    // Returns the sum over all entries of the most slots that any of their unexpired grants allows.
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
        Millis lastReceivedAt {0};
        bool left = false;
        std::vector<LiveGrant> grants;
    };
    struct Amount
    {
        std::uint64_t slots = 0;
        std::uint64_t memoryTokens = 0;
    };
    // Demand of one entry and its share, while the shares are computed.
    struct Claim
    {
        Amount share;
        std::uint32_t running = 0;
        std::uint32_t uncontended = 0;
        // Number of running and queued requests.
        std::uint32_t wanted = 0;
        // Memory, in tokens, of each running request, and of one further request.
        std::uint64_t runningTokens = 0;
        std::uint64_t unitTokens = 0;
        double weight = 1;

        [[nodiscard]] std::uint64_t nextTokens() const noexcept
        {
            return share.slots < running ? runningTokens : unitTokens;
        }
        [[nodiscard]] double slotsPerWeight() const noexcept
        {
            return (static_cast<double>(share.slots) - uncontended) / weight;
        }
    };
    using Members = std::map<MemberName, MemberState>;

    void record(const EntryDemand &demand, Millis now);
    void expire(Millis now);
    [[nodiscard]] Amount committed(const MemberState &state) const noexcept;
    [[nodiscard]] Amount committedByOthers(const MemberName &member) const noexcept;
    // Returns the load in a report that exceeds what the known entries ran at the time of the
    // report.
    [[nodiscard]] Amount unaccountedIn(const LoadReport &report) const noexcept;
    // Returns whether the load of the endpoint is known well enough to grant anything.
    [[nodiscard]] bool mayGrant(Millis now) const noexcept;
    void recordRunning(Millis now);
    [[nodiscard]] Amount target(const MemberName &member, Millis now) const;
    [[nodiscard]] static Claim claimOf(const EntryDemand &demand) noexcept;
    static void distributeUnits(std::vector<Claim> &claims, Amount &left, std::size_t first,
                                bool spare);
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
    // Number of requests running for all known entries, over the time to which a delayed report may
    // refer.
    struct RunningSample
    {
        Millis at {0};
        std::uint64_t running = 0;
    };
    std::deque<RunningSample> m_runningHistory;
    Millis m_predecessorGrantsEnd {0};
    bool m_isSuccessor = false;
    std::optional<Millis> m_leaseEnd;
    bool m_serving = true;
    std::uint64_t m_nextSerial = 1;
};

} // namespace fescue
