#include "fescue/serving/leavingnotices.h"

#include "fescue/observe/log.h"
#include "fescue/serving/gossip.h"

namespace fescue::serving {

LeavingNotices::LeavingNotices(ServingState &state, MemberDatagrams &datagrams, Evacuate evacuate)
    : m_state(&state), m_datagrams(&datagrams), m_evacuate(std::move(evacuate))
{
    datagrams.setHandler(DatagramKind::Leaving,
                         [this](std::string_view bytes) { return handle(bytes); });
}

void LeavingNotices::announced(const EndpointIncarnation &endpoint, std::optional<Millis> leavesIn)
{
    m_evacuate(endpoint.endpoint, leavesIn);
    send({endpoint}, leavesIn, true);
}

void LeavingNotices::send(std::vector<EndpointIncarnation> endpoints,
                          std::optional<Millis> leavesIn, bool toOtherZones)
{
    const std::string message =
        encodeLeavingNotice({m_state->settings.zone, std::move(endpoints), leavesIn});
    m_datagrams->spread(DatagramKind::Leaving, {&message, 1}, toOtherZones);
}

std::vector<EndpointIncarnation> LeavingNotices::apply(std::span<const EndpointIncarnation> notices,
                                                       std::optional<Millis> leavesIn,
                                                       std::string_view from)
{
    std::vector<EndpointIncarnation> newNotices;
    for (const EndpointIncarnation &notice : notices) {
        if (!m_state->endpoints.announcedLeaving(ServingState::now(), notice))
            continue;
        observe::logChange("endpoint",
                           {{"endpoint", notice.endpoint.text()},
                            {"state", "leaving"},
                            {"peer", from},
                            {"reason", "announced to a peer"}});
        m_evacuate(notice.endpoint, leavesIn);
        newNotices.push_back(notice);
    }
    return newNotices;
}

bool LeavingNotices::handle(std::string_view bytes)
{
    const Result<LeavingNotice> received = decodeLeavingNotice(bytes);
    if (!received)
        return false;
    std::vector<EndpointIncarnation> newNotices =
        apply(received->endpoints, received->leavesIn, received->fromZone.text());
    // In a large system only the relays of a zone receive notices from other zones, so they forward
    // them.
    const bool isFromOtherZone = received->fromZone != m_state->settings.zone;
    if (!newNotices.empty() && isFromOtherZone && m_state->isLarge())
        send(std::move(newNotices), received->leavesIn, false);
    return true;
}

} // namespace fescue::serving
