#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace fescue {

// Whether this process may rely on its view of the configuration.
enum class FreshnessVerdict : std::uint8_t
{
    // The view was confirmed within the limit.
    Fresh,
    // The store is out for most of the fleet, so nothing newer can have been accepted: go on.
    Outage,
    // A newer configuration may exist without this process knowing: start no new work.
    Isolated,
};

struct FreshnessLimits
{
    // Longest age of the last confirmation.
    Millis contactLimit = 2_s;
    // Longest age of an answer by which a peer counts as reachable.
    Millis peerLimit = 2_s;
    // A longer time between two calls means that this process was paused.
    Millis pauseLimit = 1_s;
};

// What a peer says about its own last contact with the store.
struct StoreVouch
{
    // Age of the contact when the peer answered; empty where the peer has had none.
    std::optional<Millis> contactAge;
    // Configuration version that the contact confirmed.
    ConfigVersion version;
};

// Judges whether this process can still learn of a configuration that operators publish.
//
// Ages are counted pessimistically: a contact counts from the time at which its request was sent,
// not from the time at which the answer came. After a pause of this process, only what was asked
// for after the pause counts. A process that was isolated stays so until the newest version that it
// knows of is in force.
class FreshnessJudge
{
public:
    explicit FreshnessJudge(FreshnessLimits limits = {}) noexcept : m_limits(limits) { }

    // Records that the store has confirmed the configuration version: a read of the configuration,
    // or a completed watch answer on it, whose request was sent at `askedAt`.
    void storeContact(Millis askedAt, ConfigVersion version);

    // Records a peer's answer to a heartbeat that was sent at `askedAt`.
    void peerAnswered(const MemberName &peer, Millis askedAt, const StoreVouch &vouch);

    // Records that a configuration version is known to exist, for example because a peer has it in
    // force. A store that shows an earlier one from now on has gone back, and confirms nothing.
    void versionExists(ConfigVersion version) noexcept;

    // Forgets a peer that has left the fleet.
    void forgetPeer(const MemberName &peer);

    // Records that this process runs. Call it at least twice within each pause limit.
    void tick(Millis now);

    // Records the time, and judges with `inForce` as the version in force here, and with the number
    // of peers that the membership expects this process to reach.
    [[nodiscard]] FreshnessVerdict verdict(Millis now, ConfigVersion inForce,
                                           std::size_t expectedPeers);

    // What this process answers to its peers: the latest contact with the store that it knows of,
    // its own or a peer's. Since an age is only ever added to, a contact that goes round among
    // peers never seems younger than it is.
    [[nodiscard]] StoreVouch ownVouch(Millis now) const;

private:
    void noteContact(Millis at, ConfigVersion version);
    [[nodiscard]] bool isFresh(Millis now, ConfigVersion inForce) const;
    [[nodiscard]] std::size_t reachablePeers(Millis now) const;

    FreshnessLimits m_limits;
    // Versions for which a contact is kept. Earlier ones cannot be in force any more.
    static constexpr std::size_t maxVersions = 4;

    // Latest contact that confirmed each version.
    std::map<ConfigVersion, Millis> m_contacts;
    // Time of sending of the latest heartbeat that each peer has answered.
    std::map<MemberName, Millis> m_peers;
    ConfigVersion m_newest;
    // Time at which the newest version became known here.
    Millis m_newestSince {0};
    bool m_isolated = false;
    std::optional<Millis> m_lastTick;
    // What was asked for before this time does not count.
    Millis m_resumedAt {0};
};

} // namespace fescue
