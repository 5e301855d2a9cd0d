#pragma once

#include "fescue/core/linkmonitor.h"
#include "fescue/core/result.h"
#include "fescue/peer/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::peer {

// A daemon to hold a link with.
struct PeerTarget
{
    MemberName member;
    // IP number and port of its peer listener.
    std::string address;
    Incarnation incarnation;
    // True where only the address is known: whoever answers there is accepted, and `member` is a
    // name to tell the target from others.
    bool anyMember = false;
    bool operator==(const PeerTarget &) const = default;
};

struct LinkOptions
{
    // A link that is silent in either direction is closed and dialled again.
    LinkLimits limits {500_ms, 1500_ms, 1_s};
    BackoffLimits redial {100_ms, 2_s};
    Millis tickInterval = 100_ms;
    // A link with more unsent bytes than this is closed.
    std::size_t maxBufferedBytes = std::size_t {8} << 20;
    // Links that others may open to this daemon.
    std::size_t maxLinks = 1024;
};

enum class LinkState : std::uint8_t
{
    Up,
    // Lost; it is dialled again where it is still wanted.
    Down,
    // The other side said goodbye.
    Left,
};

struct TrafficCount
{
    std::uint64_t messages = 0;
    // Bytes of the messages without the headers of WebSocket and TCP.
    std::uint64_t bytes = 0;
};

// Traffic of all links since the start, by index of the type in Message.
struct LinkCounters
{
    std::array<TrafficCount, messageTypeCount> sent {};
    std::array<TrafficCount, messageTypeCount> received {};
    std::uint64_t dials = 0;
    std::uint64_t linksOpened = 0;
    std::uint64_t linksSilent = 0;
    std::uint64_t messagesRejected = 0;
    std::uint64_t handlerFailures = 0;
};

// Called on the links' own thread; they must not block. Sending from them is allowed.
struct LinkCallbacks
{
    std::function<void(const MemberName &, const Message &)> onMessage;
    // Called with a peer's heartbeat, and the time at which this side sent the latest heartbeat
    // that it acknowledges, where there is one.
    std::function<void(const MemberName &, const Heartbeat &, std::optional<Millis>)> onHeartbeat;
    // Up comes before the first message of a link, Down or Left after its last. The greeting is
    // that of the other side.
    std::function<void(const Hello &, LinkState)> onLink;
    // Makes the contents of the next heartbeat; the links number it themselves.
    std::function<Heartbeat()> heartbeat;
};

// Links to other daemons on one thread of their own: at most one link to each member, heartbeats
// both ways, silent links replaced. Where both sides dial at the same time, the link that the side
// with the lower name dialled stays. Every method may be called from any thread.
class PeerLinks
{
public:
    PeerLinks(Hello self, LinkOptions options, LinkCallbacks callbacks);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    // Opens the listener on "ip:port" and returns its real port; port 0 takes a free one. The
    // greeting carries the real address from then on. Call before start().
    [[nodiscard]] Result<std::uint16_t> listen(std::string_view address);

    // Starts the thread.
    void start();

    // Says goodbye on every link, closes them and joins the thread. Callbacks stop.
    void stop();

    // Ends the thread without a word to the other sides, as a crash does. Callbacks stop.
    void abandon();

    // Replaces the set of wanted members. Links to others that this side dialled are closed.
    void setPeers(std::vector<PeerTarget> targets);

    // Queues a message to a member. False where no link to it is up, or the message is too large;
    // true does not say that it arrives.
    bool send(const MemberName &member, const Message &message);

    // Queues a message on every link that is up; returns how many.
    std::size_t broadcast(const Message &message);

    [[nodiscard]] bool isUp(const MemberName &member) const;
    [[nodiscard]] std::vector<MemberName> upMembers() const;
    [[nodiscard]] LinkCounters counters() const;
    [[nodiscard]] const Hello &self() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace fescue::peer
