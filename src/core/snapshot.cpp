#include "fescue/core/snapshot.h"

#include <algorithm>
#include <span>

namespace fescue {

namespace {

template <typename Item, typename ItemName>
const Item *findSorted(std::span<const Item> items, const ItemName &name) noexcept
{
    const auto it = std::lower_bound(
        items.begin(), items.end(), name,
        [](const Item &item, const ItemName &wanted) { return item.name < wanted; });
    return it != items.end() && it->name == name ? &*it : nullptr;
}

} // namespace

const Zone *Snapshot::findZone(const ZoneName &name) const noexcept
{
    return findSorted<Zone>(zones, name);
}

const Service *Snapshot::findService(const ServiceName &name) const noexcept
{
    return findSorted<Service>(services, name);
}

const Endpoint *Snapshot::findEndpoint(const EndpointName &name) const noexcept
{
    return findSorted<Endpoint>(endpoints, name);
}

const Account *Snapshot::findAccount(const AccountName &name) const noexcept
{
    return findSorted<Account>(accounts, name);
}

bool Snapshot::isVmOut(const VmName &name) const noexcept
{
    return findSorted<VmOut>(vmsOut, name) != nullptr;
}

bool Snapshot::isZoneIn(const ZoneName &name) const noexcept
{
    const Zone *zone = findZone(name);
    return zone != nullptr && !zone->out;
}

} // namespace fescue
