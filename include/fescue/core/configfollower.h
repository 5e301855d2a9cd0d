#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace fescue {

// Where a configuration, or word of its version, came from.
enum class ConfigSource : std::uint8_t
{
    Store,
    Peer,
};

// What to do with a configuration that has been received.
enum class ConfigVerdict : std::uint8_t
{
    // It is newer than the one in force: put it in force.
    Apply,
    // It is the one in force.
    AlreadyInForce,
    // It is older than the one in force: ignore it.
    IgnoreOlder,
    // The store itself shows an older one than is in force: ignore it, and report that the store
    // has lost a write.
    StoreWentBack,
};

// Where to read the configuration from next.
struct ConfigFetch
{
    ConfigSource from = ConfigSource::Store;
    // The member that announced the newest version, where `from` is a peer.
    MemberName peer;
    ConfigVersion version;
};

struct ConfigLimits
{
    // Time to wait for the answer to a fetch before another source is tried.
    Millis fetchTimeout = 500_ms;
    // At boot: time to wait for peers.
    Millis bootWait = 1_s;
};

// Decides which published configuration is in force here. The version in force only grows, whatever
// the store or peers say later.
class ConfigFollower
{
public:
    explicit ConfigFollower(ConfigLimits limits = {}) noexcept : m_limits(limits) { }

    // Judges a configuration that has been received in whole. Apply makes it the one in force.
    [[nodiscard]] ConfigVerdict offer(ConfigVersion version, ConfigSource source);

    // Records that a peer has a version in force. 0 says that it has none.
    void peerHas(Millis now, const MemberName &peer, ConfigVersion version);

    // Records that the store has answered a read of the configuration and holds none.
    void storeIsEmpty();

    // Returns what to read now, if anything, and records that it is being read. A newer version is
    // read from the peer that announced it, and from the store where that peer does not answer.
    [[nodiscard]] std::optional<ConfigFetch> nextFetch(Millis now);

    // Records that the fetch in progress has failed.
    void fetchFailed() noexcept;

    // True once the newest version that was known of at boot is in force, and enough was asked to
    // know: a majority of the expected peers, or those that answered in time. Without the store and
    // peers a process never becomes ready. Call it often from the start on.
    [[nodiscard]] bool ready(Millis now, std::size_t expectedPeers);

    [[nodiscard]] ConfigVersion inForce() const noexcept { return m_inForce; }
    // The highest version that anything has told of.
    [[nodiscard]] ConfigVersion newestKnown() const noexcept { return m_newestKnown; }
    // How often the store has shown an older version than the one in force.
    [[nodiscard]] std::uint64_t storeRegressions() const noexcept { return m_storeRegressions; }

private:
    void settleFetch(ConfigVersion version);

    ConfigLimits m_limits;
    ConfigVersion m_inForce;
    ConfigVersion m_newestKnown;
    MemberName m_newestPeer;
    bool m_ready = false;
    bool m_storeAnswered = false;
    // Peers that have answered before this process became ready.
    std::set<MemberName> m_peersAnswered;
    std::optional<Millis> m_startedAt;
    std::optional<Millis> m_firstPeerAt;
    std::optional<Millis> m_fetchStartedAt;
    ConfigSource m_nextSource = ConfigSource::Peer;
    std::uint64_t m_storeRegressions = 0;
};

} // namespace fescue
