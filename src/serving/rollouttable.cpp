#include "fescue/serving/rollouttable.h"

#include "fescue/core/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace fescue::serving {

namespace {

// Routes beyond the number that a report can hold are counted together under this name.
const std::string otherRoutes = "(others)";

// Returns true if the version of the known order is in use for all requests.
bool isCompletedVersion(const Rollout &rollout) noexcept
{
    return rollout.record && rollout.record->stage == RolloutStage::Completed
        && rollout.record->version == rollout.order->version;
}

} // namespace

const RolloutRecord *Rollout::current() const noexcept
{
    return order && record && record->belongsTo(*order) ? &*record : nullptr;
}

RolloutStage Rollout::stage() const noexcept
{
    const RolloutRecord *known = current();
    return known == nullptr ? RolloutStage::Canary : known->stage;
}

bool Rollout::isActive() const noexcept
{
    if (!order)
        return false;
    const RolloutRecord *known = current();
    return known == nullptr || !known->isDecided();
}

OrderEffect RolloutTable::orderWritten(Millis now, const RolloutOrder &order,
                                       std::optional<Millis> age, double initialCredit)
{
    Rollout &rollout = m_rollouts[order.service];
    rollout.missingSince.reset();
    const bool isSame = rollout.order && rollout.order->version == order.version
        && rollout.order->duration == order.duration;
    if (isSame && order.revision == rollout.order->revision)
        return OrderEffect::Repeated;
    // The order was repeated, or the store was restored from an older copy and has it again.
    const bool isRestored = isSame && order.revision.era != rollout.order->revision.era;
    const bool isRepeated = isSame && rollout.isActive() && !rollout.isCancelled;
    if (isRestored || isRepeated) {
        rollout.order->revision = order.revision;
        return OrderEffect::Repeated;
    }
    const bool isCompleted = rollout.record && rollout.record->stage == RolloutStage::Completed
        && rollout.record->version == order.version;
    if (isCompleted && !rollout.isActive()) {
        rollout.order = order;
        return OrderEffect::AlreadyCompleted;
    }
    if (rollout.order && rollout.order->version != order.version && !isCompletedVersion(rollout))
        rollout.withheld.insert(rollout.order->version);
    rollout.withheld.erase(order.version);
    rollout.order = order;
    rollout.beganAt = now - age.value_or(Millis {0});
    rollout.isBeginEstimated = !age;
    rollout.isCancelled = false;
    rollout.isHalted = false;
    rollout.permittedAt.reset();
    rollout.counts = {};
    rollout.evidence.clear();
    rollout.quota.begin(initialCredit);
    return OrderEffect::Begun;
}

void RolloutTable::orderRemoved(Millis now, const ServiceName &service, bool fromListing)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || !it->second.order)
        return;
    Rollout &rollout = it->second;
    if (fromListing) {
        if (!rollout.missingSince)
            rollout.missingSince = now;
    } else if (rollout.isActive()) {
        rollout.isCancelled = true;
    } else {
        rollout.order.reset();
    }
}

bool RolloutTable::recordSeen(Millis now, Millis wallNow, const RolloutRecord &record)
{
    Rollout &rollout = m_rollouts[record.service];
    const bool isOfOrder = rollout.order && record.belongsTo(*rollout.order);
    // Also of a record that came before its order and is seen again with it.
    if (isOfOrder && rollout.isBeginEstimated) {
        const Millis age = std::min(wallNow - record.beganAtWall, record.duration);
        rollout.beganAt = now - std::max(age, rollout.elapsed(now));
    }
    const RolloutRecord *known = rollout.current();
    // A restored store may have an earlier state.
    if (known != nullptr && (!isOfOrder || !isLaterState(record, *known)))
        return false;
    rollout.record = record;
    rollout.recordSeenAt = now;
    // Long after the order only endpoints of later versions are left beside the completed one.
    const bool isLongAgo = wallNow - record.beganAtWall > record.duration + newVersionHold;
    rollout.retiredUntil = isLongAgo ? Millis {0} : now + newVersionHold;
    return true;
}

bool RolloutTable::permitted(Millis now, const RolloutPermit &permit)
{
    const auto it = m_rollouts.find(permit.service);
    if (it == m_rollouts.end() || !it->second.order)
        return false;
    Rollout &rollout = it->second;
    if (!rollout.order->mayBe(permit.order, permit.version, permit.duration))
        return false;
    if (permit.isHalted)
        rollout.isHalted = true;
    else
        rollout.permittedAt = now;
    if (rollout.isBeginEstimated && permit.age > rollout.elapsed(now))
        rollout.beganAt = now - std::min(permit.age, rollout.order->duration);
    return true;
}

void RolloutTable::halt(const ServiceName &service)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end())
        it->second.isHalted = true;
}

void RolloutTable::tick(Millis now)
{
    for (std::pair<const ServiceName, Rollout> &entry : m_rollouts) {
        Rollout &rollout = entry.second;
        if (!rollout.missingSince || now - *rollout.missingSince <= missingOrderGrace)
            continue;
        rollout.missingSince.reset();
        orderRemoved(now, entry.first, false);
    }
}

const Rollout *RolloutTable::find(const ServiceName &service) const
{
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() ? nullptr : &it->second;
}

bool RolloutTable::isPermitted(Millis now, const Rollout &rollout) const noexcept
{
    return rollout.permittedAt && now - *rollout.permittedAt <= permitLifetime && !rollout.isHalted
        && !rollout.isCancelled;
}

bool RolloutTable::wantsNewVersion(Millis now, const ServiceName &service,
                                   const RolloutLimits &limits) const
{
    const Rollout *rollout = find(service);
    if (rollout == nullptr || !rollout->isActive() || rollout->current() == nullptr)
        return false;
    const double share = newVersionShare(rollout->stage(), limits.exposureShare);
    return isPermitted(now, *rollout) && rollout->quota.allowsNext(share);
}

void RolloutTable::recordRequest(const EndpointRecord &endpoint, const RolloutLimits &limits,
                                 bool isRetry)
{
    const auto it = m_rollouts.find(endpoint.service);
    if (it == m_rollouts.end() || !it->second.isActive())
        return;
    Rollout &rollout = it->second;
    const bool isNew = endpoint.softwareVersion == rollout.order->version;
    rollout.counts += {isRetry ? 0U : 1U, isNew ? 1U : 0U};
    const double share = newVersionShare(rollout.stage(), limits.exposureShare);
    if (isNew || !isRetry)
        rollout.quota.record(isRetry ? 0 : share, isNew);
}

VersionRule RolloutTable::ruleFor(Millis now, const ServiceName &service) const
{
    const Rollout *rollout = find(service);
    if (rollout == nullptr)
        return VersionRule::Any;
    if (!rollout->isActive()) {
        if (!rollout->record)
            return VersionRule::Any;
        return rollout->record->stage == RolloutStage::Completed ? VersionRule::OnlyNew
                                                                 : VersionRule::WithoutNew;
    }
    const bool isPermittedNow = isPermitted(now, *rollout);
    // A process that hears of no decision does not know which version is left.
    if (!isPermittedNow && !rollout->isHalted && !rollout->isCancelled
        && rollout->elapsed(now) > rollout->order->duration)
        return VersionRule::Any;
    const RolloutRecord *record = rollout->current();
    const bool isClosing = record != nullptr && record->stage == RolloutStage::Closing;
    return isClosing && isPermittedNow ? VersionRule::OnlyNew : VersionRule::WithoutNew;
}

bool RolloutTable::isRetiring(Millis now, const EndpointRecord &endpoint) const
{
    const Rollout *rollout = find(endpoint.service);
    const RolloutRecord *record = rollout == nullptr ? nullptr : rollout->current();
    return record != nullptr && record->stage == RolloutStage::Closing && isPermitted(now, *rollout)
        && endpoint.softwareVersion != record->version;
}

void RolloutTable::filter(Millis now, const ServiceName &service, VersionRule rule,
                          const std::map<EndpointName, EndpointView> &all,
                          std::vector<const EndpointView *> &candidates) const
{
    const Rollout *rollout = find(service);
    if (rule == VersionRule::Any || rollout == nullptr)
        return;
    const bool isOfOrder = rollout->isActive();
    const std::string &version = isOfOrder ? rollout->order->version : rollout->record->version;
    const auto isNew = [&version](const EndpointView &view) {
        return view.record.softwareVersion == version;
    };
    const auto isExcluded = [&](const EndpointView *view) {
        return isNew(*view) != (rule == VersionRule::OnlyNew);
    };
    if (isOfOrder) {
        std::erase_if(candidates, isExcluded);
        const auto isWithheld = [rollout](const EndpointView *view) {
            return rollout->withheld.contains(view->record.softwareVersion);
        };
        if (!std::all_of(candidates.begin(), candidates.end(), isWithheld))
            std::erase_if(candidates, isWithheld);
        return;
    }
    if (rule == VersionRule::OnlyNew) {
        // The endpoints that the completion stopped may be listed for a while.
        const bool hasNew = std::any_of(candidates.begin(), candidates.end(),
                                        [&](const EndpointView *view) { return isNew(*view); });
        if (hasNew) {
            std::erase_if(candidates, [&](const EndpointView *view) {
                return !isNew(*view) && view->firstListedAt < rollout->retiredUntil;
            });
        }
        holdNewVersions(now, candidates);
        return;
    }
    const bool hasOther = std::any_of(
        all.begin(), all.end(), [&](const std::pair<const EndpointName, EndpointView> &entry) {
            return entry.second.record.service == service && !entry.second.leaving()
                && !isNew(entry.second);
        });
    if (hasOther)
        std::erase_if(candidates, isExcluded);
}

void RolloutTable::limitToShare(Millis now, const ServiceName &service, const RolloutLimits &limits,
                                std::vector<const EndpointView *> &candidates) const
{
    std::erase_if(candidates, [now](const EndpointView *view) { return view->isCold(now); });
    const Rollout *rollout = find(service);
    if (rollout == nullptr || candidates.empty())
        return;
    const double share = newVersionShare(rollout->stage(), limits.exposureShare);
    const double n = std::ceil(share * static_cast<double>(candidates.size()));
    const std::size_t used =
        std::clamp<std::size_t>(static_cast<std::size_t>(n), 1, candidates.size());
    if (used == candidates.size())
        return;
    const auto score = [&service](const EndpointView *view) {
        return rendezvousScore(service.text(), view->record.name.text());
    };
    std::nth_element(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(used),
                     candidates.end(), [&score](const EndpointView *a, const EndpointView *b) {
                         return score(a) > score(b);
                     });
    candidates.resize(used);
}

void RolloutTable::holdNewVersions(Millis now, std::vector<const EndpointView *> &candidates)
{
    if (candidates.empty())
        return;
    const std::string &first = candidates.front()->record.softwareVersion;
    const bool isMixed =
        std::any_of(candidates.begin(), candidates.end(), [&first](const EndpointView *view) {
            return view->record.softwareVersion != first;
        });
    if (!isMixed)
        return;
    std::map<std::string_view, Millis> appearedAt;
    for (const EndpointView *view : candidates) {
        const auto it =
            appearedAt.try_emplace(view->record.softwareVersion, view->firstListedAt).first;
        it->second = std::min(it->second, view->firstListedAt);
    }
    Millis oldest = now;
    for (const std::pair<const std::string_view, Millis> &entry : appearedAt)
        oldest = std::min(oldest, entry.second);
    std::erase_if(candidates, [&](const EndpointView *view) {
        const Millis at = appearedAt[view->record.softwareVersion];
        return at - oldest > newVersionHold && now - at < newVersionHold;
    });
}

AnswerCounts &RolloutTable::countsOf(const Rollout &rollout, RolloutEvidence &evidence,
                                     const std::string &version, const std::string &route)
{
    const bool hasRoom = evidence.size() + 1 < maxReportedRoutes || evidence.contains(route);
    RouteEvidence &counted = evidence[hasRoom ? route : otherRoutes];
    return version == rollout.order->version ? counted.newVersion : counted.oldVersion;
}

void RolloutTable::recordAnswer(const ServiceName &service, const std::string &version,
                                const std::string &route, bool succeeded, Millis firstByteTime)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || !it->second.isActive())
        return;
    AnswerCounts &counts = countsOf(it->second, it->second.evidence, version, route);
    if (succeeded) {
        ++counts.successes[timeClassOf(firstByteTime)];
        return;
    }
    ++counts.failures;
    ++counts.abandoned[timeClassOf(firstByteTime)];
}

void RolloutTable::recordAbandoned(const ServiceName &service, const std::string &version,
                                   const std::string &route, Millis waited)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end() && it->second.isActive())
        ++countsOf(it->second, it->second.evidence, version, route).abandoned[timeClassOf(waited)];
}

std::uint64_t RolloutTable::beginWait(OpenRequest request)
{
    const auto it = m_rollouts.find(request.service);
    if (it == m_rollouts.end() || !it->second.isActive())
        return 0;
    m_open[++m_lastOpen] = std::move(request);
    return m_lastOpen;
}

RolloutEvidence RolloutTable::evidence(Millis now, const ServiceName &service) const
{
    const Rollout *rollout = find(service);
    if (rollout == nullptr || !rollout->isActive())
        return {};
    RolloutEvidence evidence = rollout->evidence;
    for (const std::pair<const std::uint64_t, OpenRequest> &entry : m_open) {
        const OpenRequest &request = entry.second;
        // Requests of an earlier order belong to its evidence.
        if (request.service == service && request.sentAt >= rollout->beganAt) {
            ++countsOf(*rollout, evidence, request.version, request.route)
                  .open[timeClassOf(now - request.sentAt)];
        }
    }
    return evidence;
}

} // namespace fescue::serving
