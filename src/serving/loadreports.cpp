#include "fescue/serving/loadreports.h"

#include "fescue/serving/gossip.h"
#include "fescue/serving/storefeed.h"

namespace fescue::serving {

LoadReports::LoadReports(ServingState &state, MemberDatagrams &datagrams)
    : m_state(&state), m_datagrams(&datagrams),
      m_beyondBounds(state.metrics.counter("fescue_loads_beyond_bounds_total"))
{
    datagrams.setHandler(DatagramKind::LoadChange,
                         [this](std::string_view bytes) { return handleChange(bytes); });
    datagrams.setHandler(DatagramKind::ZoneLoads,
                         [this](std::string_view bytes) { return handleZoneLoads(bytes); });
}

void LoadReports::sendChange(const EndpointName &endpoint, bool added, const EndpointLoad &load)
{
    if (!m_state->reportsLoadChanges())
        return;
    const NodeSettings &settings = m_state->settings;
    const std::vector<MemberView> members = m_state->members.members(ServingState::now());
    std::vector<const MemberView *> receivers;
    for (const MemberView &member : members) {
        // The processes of this zone receive new load with the gossip.
        if (!added || member.info.zone != settings.zone)
            receivers.push_back(&member);
    }
    m_datagrams->send(receivers, DatagramKind::LoadChange,
                      encodeLoadChange({settings.name, settings.zone, endpoint, added, load}));
}

bool LoadReports::handleChange(std::string_view bytes)
{
    const Result<LoadChange> change = decodeLoadChange(bytes);
    if (!change)
        return false;
    if (change->fromZone != m_state->settings.zone) {
        if (!m_state->ledger.zoneChanged(ServingState::now(), *change))
            m_beyondBounds.Increment();
    } else if (!change->added) {
        m_state->ledger.peerRemoved(change->from, change->endpoint, change->load);
    }
    return true;
}

void LoadReports::sendZoneLoads(std::span<const MemberView> members)
{
    if (!m_state->isLarge())
        return;
    const NodeSettings &settings = m_state->settings;
    const std::set<MemberName> relays = FeedPolicy::relays(settings.name, members);
    if (!relays.contains(settings.name))
        return;
    const Millis now = ServingState::now();
    const ZoneLoads sum {settings.zone, Millis {0}, m_state->ledger.sum(now)};
    const std::vector<std::string> toOthers = encodeZoneLoads({&sum, 1});
    const std::vector<std::string> toZone = encodeZoneLoads(m_state->ledger.zones(now));
    for (const MemberView &member : members) {
        const bool sameZone = member.info.zone == settings.zone;
        if (!sameZone && !relays.contains(member.info.name))
            continue;
        for (const std::string &text : sameZone ? toZone : toOthers)
            m_datagrams->send(member.info, DatagramKind::ZoneLoads, text);
    }
}

bool LoadReports::handleZoneLoads(std::string_view bytes)
{
    const Result<ZoneLoads> received = decodeZoneLoads(bytes);
    if (!received)
        return false;
    // The processes of this zone report their loads directly.
    if (received->zone != m_state->settings.zone
        && !m_state->ledger.zoneReported(ServingState::now(), received->zone, received->age,
                                         received->loads))
        m_beyondBounds.Increment();
    return true;
}

} // namespace fescue::serving
