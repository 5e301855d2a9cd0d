#pragma once

#include "fescue/serving/memberdatagrams.h"

#include <optional>
#include <vector>

namespace fescue::serving {

// Spreads what endpoints announce about their leaving among the processes, ahead of the store.
class LeavingNotices
{
public:
    // Moves the work of this process away from an endpoint, which leaves after the time if known.
    using Evacuate = std::function<void(const EndpointName &, std::optional<Millis> leavesIn)>;

    LeavingNotices(ServingState &state, MemberDatagrams &datagrams, Evacuate evacuate);

    // Handles the announcement of an endpoint in an answer to this process.
    void announced(const EndpointIncarnation &endpoint, std::optional<Millis> leavesIn);
    // Applies the notices of a peer, which the log names; returns those that were new.
    std::vector<EndpointIncarnation> apply(std::span<const EndpointIncarnation> notices,
                                           std::optional<Millis> leavesIn, std::string_view from);

private:
    // In a large system, other zones are notified through their relays.
    void send(std::vector<EndpointIncarnation> endpoints, std::optional<Millis> leavesIn,
              bool toOtherZones);
    [[nodiscard]] bool handle(std::string_view bytes);

    ServingState *m_state;
    MemberDatagrams *m_datagrams;
    Evacuate m_evacuate;
};

} // namespace fescue::serving
