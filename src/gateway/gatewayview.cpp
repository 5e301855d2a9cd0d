#include "fescue/gateway/gatewayview.h"

#include <algorithm>
#include <utility>

namespace fescue::gateway {

Eligibility GatewayView::judge(const EndpointName &endpoint) const
{
    return judgeEndpoint(endpoint, *snapshot, vms, freshness);
}

std::optional<net::Address> GatewayView::addressOf(const EndpointName &endpoint) const
{
    const auto it = addresses.find(endpoint);
    if (it == addresses.end())
        return std::nullopt;
    return it->second;
}

std::vector<DirectoryEntry> GatewayView::directory(const DirectoryQuery &query) const
{
    return answerDirectory(query, members, *snapshot, vms);
}

bool GatewayView::mayLive(const MemberName &member, Incarnation incarnation) const
{
    return std::any_of(members.begin(), members.end(), [&](const MemberView &each) {
        return each.info.name == member && each.info.incarnation <= incarnation
            && each.state != MemberState::Gone;
    });
}

void completeView(GatewayView &view, const ZoneName &zone, const GatewayView &previous)
{
    if (view.snapshot == previous.snapshot)
        view.accounts = previous.accounts;
    if (view.accounts == nullptr && view.snapshot->version.value > 0)
        view.accounts = std::make_shared<AccountDirectory>(view.snapshot);

    view.eligible.clear();
    view.addresses.clear();
    for (const Endpoint &endpoint : view.snapshot->endpoints) {
        Result<net::Address> address = net::parseAddress(endpoint.address);
        if (!address)
            continue;
        view.addresses.emplace(endpoint.name, std::move(*address));
        if (view.judge(endpoint.name) == Eligibility::Eligible)
            view.eligible.push_back({endpoint.service, {endpoint.name, endpoint.zone == zone}});
    }
}

GatewayViewPtr GatewayViews::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void GatewayViews::publish(GatewayViewPtr view)
{
    const std::lock_guard lock(m_mutex);
    m_view = std::move(view);
}

} // namespace fescue::gateway
