#pragma once

#include "fescue/serving/memberdatagrams.h"

namespace fescue::serving {

// Reports of loads on endpoints between the processes of a large system, in which gossip stays
// within a zone.
class LoadReports
{
public:
    LoadReports(ServingState &state, MemberDatagrams &datagrams);

    // Reports new load on an endpoint to the processes of other zones, and removed load to all.
    // Does nothing where loads are not reported by their changes.
    void sendChange(const EndpointName &endpoint, bool added, const EndpointLoad &load);
    // In a large system, if this process is a relay, sends the load sum of this zone to the relays
    // of other zones, and the sums of other zones to the members of this zone.
    void sendZoneLoads(std::span<const MemberView> members);

private:
    [[nodiscard]] bool handleChange(std::string_view bytes);
    [[nodiscard]] bool handleZoneLoads(std::string_view bytes);

    ServingState *m_state;
    MemberDatagrams *m_datagrams;
    // Loads that were dropped because the ledger has no room for more names.
    observe::Counter &m_beyondBounds;
};

} // namespace fescue::serving
