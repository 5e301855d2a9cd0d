#pragma once

#include <cstddef>
#include <span>
#include <string>

namespace fescue::net {

// Memory that a server holds for the requests from one IP number.
struct PeerMemory
{
    std::string ip;
    // Bytes for all of its requests.
    std::size_t held = 0;
    // Bytes of those that are still arriving, which can be refused as not run, and of idle
    // connections.
    std::size_t releasable = 0;
};

// Returns the peer whose connections give way to a request of another that finds no memory
// and needs `wanted` more bytes; nullptr where none has to. Only a peer that holds more than twice
// as much as the other will hold gives way, and only if that makes enough room. So a peer that is
// alone, or one of several that hold about the same, is never refused for another.
[[nodiscard]] inline const PeerMemory *peerGivingWay(std::span<const PeerMemory> peers,
                                                     const std::string &asking, std::size_t wanted)
{
    std::size_t own = wanted;
    for (const PeerMemory &peer : peers) {
        if (peer.ip == asking)
            own += peer.held;
    }
    const PeerMemory *largest = nullptr;
    for (const PeerMemory &peer : peers) {
        const bool mayGiveWay =
            peer.ip != asking && peer.releasable >= wanted && own < peer.held / 2;
        if (mayGiveWay && (largest == nullptr || peer.held > largest->held))
            largest = &peer;
    }
    return largest;
}

} // namespace fescue::net
