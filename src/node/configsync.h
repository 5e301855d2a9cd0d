#pragma once

#include "fescue/core/configfollower.h"
#include "fescue/core/snapshot.h"
#include "fescue/net/storeclient.h"
#include "fescue/peer/messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fescue::node {

// Key of the published configuration in the store, and the prefix that is watched for it.
constexpr std::string_view configKey = "config/current";
constexpr std::string_view configKeyPrefix = "config/";

// What configuration synchronisation needs from its surroundings.
struct ConfigHooks
{
    std::function<void(const MemberName &, const peer::Message &)> send;
    // The store has confirmed a version by an answer whose request was sent at that time.
    std::function<void(Millis, ConfigVersion)> confirmed;
    // A newer configuration is in force.
    std::function<void(const std::shared_ptr<const Snapshot> &)> applied;
    // Something that operators should know, in one word and a detail.
    std::function<void(std::string_view, std::string_view)> warn;
};

// Follows the published configuration: from the store, and from peers that have a newer one.
// Belongs to the control worker.
class ConfigSync
{
public:
    ConfigSync(net::StoreClient store, ConfigHooks hooks)
        : m_store(std::move(store)), m_hooks(std::move(hooks))
    { }

    // Asks the store for a newer configuration, waiting for at most that time. False where it did
    // not answer.
    bool checkStore(Millis now, Millis wait);

    // Records the version that a peer has in force.
    void peerHas(Millis now, const MemberName &peer, ConfigVersion version);
    void requested(const MemberName &from, const peer::ConfigRequest &request);
    void received(const peer::ConfigBody &body);

    // Sends a request to a peer where one is due. True where the store has to be read instead: the
    // caller then calls readStore() on a fiber that may wait.
    [[nodiscard]] bool fetchDue(Millis now);
    // Reads the configuration from the store. False where it did not answer.
    bool readStore(Millis now);

    [[nodiscard]] bool ready(Millis now, std::size_t expectedPeers)
    {
        return m_follower.ready(now, expectedPeers);
    }
    [[nodiscard]] ConfigVersion inForce() const noexcept { return m_follower.inForce(); }
    [[nodiscard]] const std::shared_ptr<const Snapshot> &snapshot() const noexcept
    {
        return m_snapshot;
    }

private:
    void offer(const std::string &body, std::uint64_t revision, ConfigSource source);
    void confirm(Millis askedAt, net::StoreRevision revision);

    net::StoreClient m_store;
    ConfigHooks m_hooks;
    ConfigFollower m_follower;
    std::shared_ptr<const Snapshot> m_snapshot = std::make_shared<Snapshot>();
    // The text of the configuration in force, for peers.
    std::string m_body;
    std::uint64_t m_bodyRevision = 0;
    // Where the next watch starts, and the version that the store held there.
    net::StoreRevision m_watched;
    std::optional<ConfigVersion> m_watchedVersion;
    // The store holds a configuration that this process cannot read.
    bool m_unreadable = false;
};

} // namespace fescue::node
