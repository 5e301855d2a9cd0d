#pragma once

#include "fescue/core/claimrecord.h"
#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/snapshot.h"

#include <cstdint>
#include <optional>

namespace fescue {

struct OwnershipLimits
{
    // Time to live of the lease in the store.
    Millis leaseTtl = 3_s;
    // Longest life of credits that an owner hands out.
    Millis creditTerm = 2_s;
    // Longest pause of a process after which it may still send what it had decided before.
    Millis longestPause = 10_s;
    // A holder that finds a longer time between two looks at its clock does not act.
    Millis pauseLimit = 500_ms;
    // Time that a holder gives up before its lease ends, for differences between clocks.
    Millis clockMargin = 200_ms;
    // Time to wait for the answer to a request about the key.
    Millis answerTimeout = 1_s;
};

// What to do next about the ownership of an endpoint.
enum class OwnershipStep : std::uint8_t
{
    None,
    // Write the owner key, bound to the lease of this process, if the key does not exist.
    CreateKey,
    // Read the owner key, to learn whether a write whose answer was lost took effect.
    ReadKey,
    // Delete the owner key if it still has revision().
    DeleteKey,
};

// What the owner key holds: the member that owns the endpoint.
struct OwnerKey
{
    ClaimHolder holder;
    StoreRevision revision;
};

// Decides whether this process is the owner of one endpoint: the authority on its credits and the
// only giver of its orders. The owner key in the store is bound to a lease, and its revision is the
// fencing number.
//
// A new owner waits until credits of the previous one have ended. Where the endpoint does not check
// fencing numbers, it also waits out the longest pause of the previous owner before it gives
// orders.
class OwnershipMachine
{
public:
    // `self` names this life of this process.
    OwnershipMachine(ClaimHolder self, FencingSupport fencing,
                     OwnershipLimits limits = {}) noexcept;

    // Says whether this process is the one that should own the endpoint.
    [[nodiscard]] OwnershipStep setWanted(Millis now, bool wanted);

    // Records that a new lease was granted by a request that was sent at `sentAt`. Keys that were
    // bound to an earlier lease are no longer held.
    void leaseGranted(Millis sentAt) noexcept;
    // Records that the lease was renewed by a request that was sent at `sentAt`.
    void leaseRenewed(Millis sentAt) noexcept;
    // Records that the store does not know the lease any more.
    void leaseLost() noexcept;

    // Results of CreateKey.
    [[nodiscard]] OwnershipStep keyCreated(Millis now, StoreRevision revision);
    [[nodiscard]] OwnershipStep keyExists(Millis now);
    [[nodiscard]] OwnershipStep keyAnswerLost(Millis now);
    // Result of ReadKey; empty where the key does not exist.
    [[nodiscard]] OwnershipStep keyRead(Millis now, const std::optional<OwnerKey> &key);

    // Records a change that a watch shows, with its revision; empty where the key was deleted.
    [[nodiscard]] OwnershipStep keyChanged(Millis now, StoreRevision at,
                                           const std::optional<OwnerKey> &key);

    // An endpoint has refused an order for its fencing number: another owner has acted.
    [[nodiscard]] OwnershipStep fenceRefused(Millis now);

    // Asks again where an earlier attempt got no answer. Also notices pauses: call it at least
    // twice within each pause limit.
    [[nodiscard]] OwnershipStep tick(Millis now);

    // True where this process may hand out credits. Ask directly before each send. The user of a
    // credit counts its term from the time at which it asked, so an answer of an owner that was
    // paused in between has ended when it arrives.
    [[nodiscard]] bool mayGrant(Millis now) noexcept;
    // True where this process may give an order. Ask directly before each send.
    [[nodiscard]] bool mayOrder(Millis now) noexcept;

    [[nodiscard]] bool holdsKey() const noexcept { return m_holds; }
    [[nodiscard]] FencingNumber fence() const noexcept { return {m_revision.value}; }
    // Revision of the key that this process holds or held last.
    [[nodiscard]] StoreRevision revision() const noexcept { return m_revision; }
    // The owner as far as this process knows; empty where there is none.
    [[nodiscard]] const std::optional<OwnerKey> &knownOwner() const noexcept { return m_known; }

private:
    enum class Pending : std::uint8_t
    {
        Nothing,
        Create,
        Read,
    };

    void noticePause(Millis now) noexcept;
    [[nodiscard]] bool mayAct(Millis now, Millis wait) noexcept;
    [[nodiscard]] bool leaseStands(Millis now) const noexcept;
    [[nodiscard]] OwnershipStep tryCreate(Millis now);
    [[nodiscard]] OwnershipStep readKey(Millis now);
    [[nodiscard]] OwnershipStep take(Millis now, StoreRevision revision);

    ClaimHolder m_self;
    FencingSupport m_fencing;
    OwnershipLimits m_limits;
    bool m_wanted = false;
    bool m_holds = false;
    Pending m_pending = Pending::Nothing;
    Millis m_pendingSince {0};
    std::optional<Millis> m_leaseEnd;
    // Requests to the store that were sent before this time prove nothing about the lease.
    Millis m_resumedAt {0};
    StoreRevision m_revision;
    // Greatest revision of the key that this process has seen.
    StoreRevision m_seen;
    Millis m_takenAt {0};
    std::optional<OwnerKey> m_known;
    std::optional<Millis> m_lastLook;
};

} // namespace fescue
