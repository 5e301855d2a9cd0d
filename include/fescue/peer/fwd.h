#pragma once

namespace fescue::peer {

struct Hello;
struct Heartbeat;
struct LinkOptions;
struct LinkCallbacks;
struct LinkCounters;
struct PeerTarget;
class PeerLinks;

} // namespace fescue::peer
