#pragma once

#include "fescue/core/rendezvous.h"
#include "fescue/observe/log.h"
#include "fescue/observe/timeline.h"
#include "fescue/serving/periodictask.h"

#include <algorithm>

namespace fescue::serving {

// Interval of reports and permits, and the one in a large system.
inline constexpr Millis rolloutTickInterval = 250_ms;
inline constexpr Millis largeRolloutTickInterval = 500_ms;
// Number of processes that judge a roll-out.
inline constexpr std::size_t rolloutCollectorCount = 5;
// Time after which the next collector writes what the one before it should have written.
inline constexpr Millis rolloutWriteSpacing = 600_ms;
// Reports about open requests, and about being rejected by the store, count for this time.
inline constexpr Millis rolloutReportLifetime = 2_s;
// Time for which permits go on after a completion.
inline constexpr Millis rolloutPermitsAfterCompletion = 5_s;
// Pause after a write until the store's change arrives, and after the first failed write; the
// latter doubles with each further one.
inline constexpr Millis rolloutWritePause = 500_ms;
inline constexpr Millis firstRolloutBackOff = 250_ms;
inline constexpr int maxRolloutBackOffs = 4;
// Time in a stage after which reports of all processes are of that stage.
inline constexpr Millis minClosingTime = 500_ms;

template <PlatformProtocol P>
RolloutController<P>::RolloutController(ServingState &state, GenerationMover<P> &mover,
                                        MemberInfo self, RolloutHooks hooks)
    : m_state(&state), m_mover(&mover), m_self(std::move(self)), m_hooks(std::move(hooks))
{ }

template <PlatformProtocol P>
void RolloutController<P>::start()
{
    m_state->pool.spawn(net::currentWorker(), [this] {
        repeatUntilStopped(m_state->metrics, "roll-outs", [this] {
            tick();
            net::sleepFor(m_state->isLarge() ? largeRolloutTickInterval : rolloutTickInterval);
        });
    });
}

template <PlatformProtocol P>
void RolloutController<P>::orderChanged(const ServiceName &service, const StoreChange &change)
{
    const Millis now = m_hooks.now();
    if (change.removed) {
        m_state->rollouts.orderRemoved(now, service, change.fromListing);
        observe::logChange("rollout-order-removed",
                           {{"service", service.text()},
                            {"revision", change.revision.value},
                            {"listed", change.fromListing ? "yes" : "no"}});
        return;
    }
    Result<RolloutOrder> order = P::decodeRolloutOrder(service, change.value);
    if (order && !m_state->settings.deploymentLimits.rollout)
        order = fail(ResultCode::ConfigSyntax, "the settings have no limits for roll-outs");
    if (!order) {
        observe::logChange(observe::LogLevel::Error, "rollout-order-rejected",
                           {{"service", service.text()},
                            {"revision", change.revision.value},
                            {"reason", order.error().message}});
        return;
    }
    order->revision = change.revision;
    const RolloutLimits &limits = *m_state->settings.deploymentLimits.rollout;
    // A process that finds the order by a listing may have had its part before a restart.
    const double credit = change.fromListing ? 0 : initialCredit(service, limits);
    const OrderEffect effect = m_state->rollouts.orderWritten(
        now, *order, change.fromListing ? std::nullopt : std::optional<Millis>(Millis {0}), credit);
    if (effect == OrderEffect::Begun) {
        m_collected.erase(service);
        // The record may have arrived before its order.
        const auto stored = m_stored.find(service);
        if (stored != m_stored.end() && stored->second.record)
            m_state->rollouts.recordSeen(now, Millis {observe::wallMillisNow()},
                                         *stored->second.record);
        const Rollout *rollout = m_state->rollouts.find(service);
        followStage(service, rollout == nullptr ? RolloutStage::Canary : rollout->stage());
    }
    const bool isKnownService = m_state->routes && m_state->routes->findService(service) != nullptr;
    observe::logChange("rollout-order",
                       {{"service", service.text()},
                        {"to", order->version},
                        {"duration_ms", order->duration.count},
                        {"revision", change.revision.value},
                        {"era", change.revision.era},
                        {"credit_permille", static_cast<int>(credit * 1000)},
                        {"service_known", isKnownService ? "yes" : "no"},
                        {"effect",
                         effect == OrderEffect::Begun          ? std::string_view("begun")
                             : effect == OrderEffect::Repeated ? std::string_view("repeated")
                                                               : "already completed"}});
}

template <PlatformProtocol P>
double RolloutController<P>::initialCredit(const ServiceName &service, const RolloutLimits &limits)
{
    const std::vector<MemberView> members = m_state->members.members(m_hooks.now());
    const std::uint64_t own = rendezvousScore(service.text(), m_self.name.text());
    const std::size_t rank = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const MemberView &member) {
            return rendezvousScore(service.text(), member.info.name.text()) > own;
        }));
    return RolloutQuota::initialCredit(limits.exposureAllowance, m_state->membersForShares(), rank,
                                       m_state->uniform());
}

template <PlatformProtocol P>
void RolloutController<P>::statusChanged(const ServiceName &service, const StoreChange &change)
{
    m_writes[service].failures = 0;
    m_writes[service].notBefore = {0};
    if (change.removed) {
        m_stored.erase(service);
        return;
    }
    const Result<RolloutRecord> record = P::decodeRolloutStatus(service, change.value);
    if (!record) {
        m_stored[service] = {std::nullopt, change.revision};
        observe::logChange(observe::LogLevel::Warning, "rollout-status-malformed",
                           {{"service", service.text()},
                            {"revision", change.revision.value},
                            {"reason", record.error().message}});
        return;
    }
    m_stored[service] = {*record, change.revision};
    const bool isNew =
        m_state->rollouts.recordSeen(m_hooks.now(), Millis {observe::wallMillisNow()}, *record);
    observe::logChange("rollout-status",
                       {{"service", service.text()},
                        {"to", record->version},
                        {"stage", toString(record->stage)},
                        {"change", record->change},
                        {"revision", change.revision.value},
                        {"applied", isNew ? "yes" : "no"},
                        {"reason", record->reason}});
    if (isNew)
        followStage(service, record->stage);
}

template <PlatformProtocol P>
void RolloutController<P>::followStage(const ServiceName &service, RolloutStage stage)
{
    if (stage == RolloutStage::Closing)
        m_closing.insert(service);
    else
        m_closing.erase(service);
}

template <PlatformProtocol P>
void RolloutController<P>::leaveOldVersions(Millis now, const ServiceName &service)
{
    const Rollout *rollout = m_state->rollouts.find(service);
    if (rollout == nullptr || !rollout->order)
        return;
    const RolloutSchedule schedule(rollout->order->duration);
    if (rollout->elapsed(now) < schedule.moveAt)
        return;
    const Millis left = schedule.decideAt - rollout->elapsed(now);
    std::vector<EndpointName> retiring;
    for (const std::pair<const EndpointName, EndpointView> &entry : m_state->endpoints.all()) {
        if (entry.second.record.service == service && !entry.second.leaving()
            && m_state->rollouts.isRetiring(now, entry.second.record))
            retiring.push_back(entry.first);
    }
    if (!retiring.empty())
        m_closing.erase(service);
    for (const EndpointName &endpoint : retiring)
        m_mover->evacuate(endpoint, std::max(left, Millis {0}));
}

template <PlatformProtocol P>
void RolloutController<P>::tick()
{
    const Millis now = m_hooks.now();
    m_state->rollouts.tick(now);
    for (const ServiceName &service : std::set<ServiceName>(m_closing))
        leaveOldVersions(now, service);
    std::vector<ServiceName> services;
    for (const std::pair<const ServiceName, Rollout> &entry : m_state->rollouts.all()) {
        // A decision that the store has lost is written again.
        if (entry.second.isActive() || isLost(entry.second) || isJustCompleted(now, entry.second))
            services.push_back(entry.first);
    }
    std::erase_if(m_collected, [&services](const std::pair<const ServiceName, Collected> &entry) {
        return std::find(services.begin(), services.end(), entry.first) == services.end();
    });
    if (services.empty())
        return;
    const std::vector<MemberView> members = m_state->members.members(now);
    for (const ServiceName &service : services)
        serve(now, service, members);
}

template <PlatformProtocol P>
bool RolloutController<P>::isLost(const Rollout &rollout) const
{
    const RolloutRecord *known = rollout.current();
    if (known == nullptr)
        return false;
    const auto stored = m_stored.find(known->service);
    const bool hasRecord = stored != m_stored.end() && stored->second.record;
    // A restored store that lacks the order has the state of the one before.
    if (rollout.missingSince && hasRecord && !stored->second.record->belongsTo(*rollout.order))
        return false;
    return isLostByStore(*rollout.order, *known, hasRecord ? &*stored->second.record : nullptr);
}

template <PlatformProtocol P>
bool RolloutController<P>::isJustCompleted(Millis now, const Rollout &rollout)
{
    const RolloutRecord *known = rollout.current();
    return known != nullptr && known->stage == RolloutStage::Completed
        && now - rollout.recordSeenAt <= rolloutPermitsAfterCompletion;
}

template <PlatformProtocol P>
void RolloutController<P>::serve(Millis now, const ServiceName &service,
                                 const std::vector<MemberView> &members)
{
    const Rollout *rollout = m_state->rollouts.find(service);
    if (rollout == nullptr || !rollout->order)
        return;
    const std::vector<MemberName> chosen = collectors(now, service, members);
    const RolloutReport report = ownReport(now, *rollout);
    handleReport(report);
    const std::string bytes = encodeRolloutNotice(report);
    for (const MemberView &member : members) {
        if (std::find(chosen.begin(), chosen.end(), member.info.name) != chosen.end())
            m_hooks.send(member.info, bytes);
    }
    const auto self = std::find(chosen.begin(), chosen.end(), m_self.name);
    if (self != chosen.end())
        collect(now, *rollout, static_cast<std::size_t>(self - chosen.begin()), members);
}

template <PlatformProtocol P>
std::vector<MemberName>
RolloutController<P>::collectors(Millis now, const ServiceName &service,
                                 const std::vector<MemberView> &members) const
{
    std::vector<std::string_view> names;
    for (const MemberView &member : members) {
        const auto rejected = m_rejectedAt.find(member.info.name);
        const bool isRejected =
            rejected != m_rejectedAt.end() && now - rejected->second <= rolloutReportLifetime;
        if (member.state == MemberState::Live && !member.info.leaving && !isRejected)
            names.push_back(member.info.name.text());
    }
    std::vector<MemberName> chosen;
    for (const std::size_t i : rendezvousOrder(service.text(), names)) {
        if (chosen.size() == rolloutCollectorCount)
            break;
        chosen.emplace_back(names[i]);
    }
    return chosen;
}

template <PlatformProtocol P>
RolloutReport RolloutController<P>::ownReport(Millis now, const Rollout &rollout) const
{
    RolloutReport report {m_self.name,
                          m_self.incarnation,
                          rollout.order->service,
                          rollout.order->revision,
                          rollout.current() == nullptr ? 0 : rollout.current()->change,
                          0,
                          m_hooks.isRejected(),
                          m_state->rollouts.evidence(now, rollout.order->service),
                          rollout.order->version,
                          rollout.order->duration,
                          rollout.counts};
    for (const EndpointLoadEntry &entry : m_state->ledger.own()) {
        const EndpointView *view = m_state->endpoints.find(entry.endpoint);
        if (view != nullptr && view->record.service == rollout.order->service
            && view->record.softwareVersion != rollout.order->version)
            report.openAtOld += entry.load.requests;
    }
    return report;
}

template <PlatformProtocol P>
bool RolloutController<P>::handleNotice(std::string_view bytes)
{
    const Result<RolloutNotice> notice = decodeRolloutNotice(bytes);
    if (!notice)
        return false;
    if (const RolloutReport *report = std::get_if<RolloutReport>(&*notice))
        handleReport(*report);
    else
        handlePermit(std::get<RolloutPermit>(*notice));
    return true;
}

template <PlatformProtocol P>
void RolloutController<P>::handleReport(const RolloutReport &report)
{
    const Millis now = m_hooks.now();
    if (report.isRejected)
        m_rejectedAt[report.from] = now;
    else
        m_rejectedAt.erase(report.from);
    const Rollout *rollout = m_state->rollouts.find(report.service);
    if (rollout == nullptr || !rollout->order
        || !rollout->order->mayBe(report.order, report.version, report.duration))
        return;
    Collected &collected = m_collected[report.service];
    collected.judge.report(report.from, report.incarnation, report.evidence);
    collected.reports[report.from] = {now, report.change, report.openAtOld};
    // Datagrams may arrive out of order.
    RolloutCounts &counts = collected.counts[{report.from, report.incarnation}];
    if (report.counts.requests >= counts.requests && report.counts.toNew >= counts.toNew)
        counts = report.counts;
}

template <PlatformProtocol P>
void RolloutController<P>::handlePermit(const RolloutPermit &permit)
{
    const Millis now = m_hooks.now();
    if (permit.isRejected)
        m_rejectedAt[permit.from] = now;
    const Rollout *before = m_state->rollouts.find(permit.service);
    const bool wasHalted = before != nullptr && before->isHalted;
    if (m_state->rollouts.permitted(now, permit) && permit.isHalted && !wasHalted)
        observe::logChange("rollout-halted",
                           {{"service", permit.service.text()}, {"by", permit.from.text()}});
}

template <PlatformProtocol P>
void RolloutController<P>::collect(Millis now, const Rollout &rollout, std::size_t rank,
                                   const std::vector<MemberView> &members)
{
    const RolloutOrder order = *rollout.order;
    Collected &collected = m_collected[order.service];
    collected.judge.step(now);
    collected.verdict = collected.judge.verdict();
    m_state->metrics.gauge("fescue_rollout_worst_sum", {{"service", order.service.text()}})
        .Set(collected.verdict.worstSum);
    const bool isRejected = m_hooks.isRejected();
    const bool isActive = rollout.isActive();
    if (isActive || isJustCompleted(now, rollout)) {
        // A completion is final: the old versions stop.
        const bool isHalted = isActive && (rollout.isHalted || collected.verdict.isBad);
        const RolloutPermit permit {
            m_self.name, order.service, order.revision, std::max(rollout.elapsed(now), Millis {0}),
            isHalted,    isRejected,    order.version,  order.duration};
        // A process that the store does not reach must not permit anything.
        if (permit.isHalted || !m_state->isStoreSilent()) {
            handlePermit(permit);
            const std::string bytes = encodeRolloutNotice(permit);
            for (const MemberView &member : members)
                m_hooks.send(member.info, bytes);
        }
    }
    const std::optional<NextRecord> next = nextRecord(now, rollout, collected, members);
    if (!next) {
        collected.writeWantedSince.reset();
        return;
    }
    const WriteState &writes = m_writes[order.service];
    if (writes.isWriting || now < writes.notBefore || m_state->isStoreSilent())
        return;
    const bool isSameChange = collected.changeBefore == next->record.change;
    if (!collected.writeWantedSince || !isSameChange)
        collected.writeWantedSince = now;
    collected.changeBefore = next->record.change;
    const Millis delay = rolloutWriteSpacing * static_cast<std::int64_t>(rank);
    if (now - *collected.writeWantedSince >= delay)
        spawnWrite(*next, collected.verdict);
}

template <PlatformProtocol P>
void RolloutController<P>::spawnWrite(const NextRecord &next, const RolloutVerdict &verdict)
{
    m_writes[next.record.service].isWriting = true;
    m_state->pool.spawn(net::currentWorker(), [this, next, verdict] {
        bool isWritten = false;
        try {
            isWritten = write(next, verdict);
        } catch (const net::WorkerStopped &) {
            throw;
        } catch (const std::exception &e) {
            noteTaskFailure(m_state->metrics, "rollout-write", e);
        }
        WriteState &writes = m_writes[next.record.service];
        writes.isWriting = false;
        const int backOffs = std::min(writes.failures, maxRolloutBackOffs);
        const Millis pause =
            isWritten ? rolloutWritePause : firstRolloutBackOff * (std::int64_t {1} << backOffs);
        writes.failures = isWritten ? 0 : writes.failures + 1;
        writes.notBefore = m_hooks.now() + pause;
    });
}

template <PlatformProtocol P>
std::optional<typename RolloutController<P>::NextRecord>
RolloutController<P>::nextRecord(Millis now, const Rollout &rollout, const Collected &collected,
                                 const std::vector<MemberView> &members)
{
    const RolloutOrder &order = *rollout.order;
    const RolloutRecord *known = rollout.current();
    const auto stored = m_stored.find(order.service);
    const net::StoreRevision expected =
        stored == m_stored.end() ? net::StoreRevision {} : stored->second.revision;
    if (known == nullptr) {
        const Millis beganAt = Millis {observe::wallMillisNow()} - rollout.elapsed(now);
        const RolloutRecord first {
            order.service,  order.version, order.duration, RolloutStage::Canary, 1,
            order.revision, beganAt,       "ordered"};
        // A record of a later order arrives before that order at times.
        const bool hasRecord = stored != m_stored.end() && stored->second.record;
        if (hasRecord && !isLostByStore(order, first, &*stored->second.record))
            return std::nullopt;
        return NextRecord {first, expected, {}};
    }
    if (isLost(rollout))
        return NextRecord {*known, expected, {}};
    const RolloutFacts facts = factsOf(now, rollout, *known, collected, members);
    const std::optional<RolloutStep> step = nextStep(*known, facts);
    if (!step)
        return std::nullopt;
    RolloutRecord record = *known;
    record.stage = step->stage;
    record.reason = step->reason;
    record.order = order.revision;
    ++record.change;
    return NextRecord {record, expected, facts.counts};
}

template <PlatformProtocol P>
RolloutFacts RolloutController<P>::factsOf(Millis now, const Rollout &rollout,
                                           const RolloutRecord &record, const Collected &collected,
                                           const std::vector<MemberView> &members) const
{
    const RolloutVerdict &verdict = collected.verdict;
    const RolloutLimits &limits = *m_state->settings.deploymentLimits.rollout;
    RolloutFacts facts;
    facts.elapsed = rollout.elapsed(now);
    facts.inStage = now - rollout.recordSeenAt;
    facts.isBad = verdict.isBad || rollout.isHalted;
    facts.isDoubtful = verdict.isDoubtful;
    facts.isSuspicious = verdict.isSuspicious;
    facts.hasEnoughEvidence = verdict.hasEnoughEvidence;
    facts.isCancelled = rollout.isCancelled;
    facts.isOldIdle = isOldIdle(now, record, collected, members);
    for (const std::pair<const std::pair<MemberName, Incarnation>, RolloutCounts> &entry :
         collected.counts)
        facts.counts += entry.second;
    facts.exposureShare = limits.exposureShare;
    facts.exposureAllowance = limits.exposureAllowance;
    return facts;
}

template <PlatformProtocol P>
bool RolloutController<P>::isOldIdle(Millis now, const RolloutRecord &record,
                                     const Collected &collected,
                                     const std::vector<MemberView> &members) const
{
    const Rollout *rollout = m_state->rollouts.find(record.service);
    if (rollout == nullptr || now - rollout->recordSeenAt < minClosingTime)
        return false;
    return std::all_of(members.begin(), members.end(), [&](const MemberView &member) {
        if (member.state != MemberState::Live)
            return true;
        const auto it = collected.reports.find(member.info.name);
        return it != collected.reports.end() && now - it->second.at <= rolloutReportLifetime
            && it->second.change >= record.change && it->second.openAtOld == 0;
    });
}

template <PlatformProtocol P>
bool RolloutController<P>::write(const NextRecord &next, const RolloutVerdict &verdict)
{
    const RolloutRecord &record = next.record;
    const net::StoreResult<void> written = m_hooks.write(
        P::rolloutStatusKey(record.service), P::encodeRolloutStatus(record), next.expected);
    observe::logChange(
        written ? "rollout-step" : "rollout-not-written",
        {{"service", record.service.text()},
         {"to", record.version},
         {"stage", toString(record.stage)},
         {"change", record.change},
         {"reason", record.reason},
         {"requests", next.counts.requests},
         {"to_new", next.counts.toNew},
         {"answers", verdict.answers},
         {"failures", verdict.failures},
         {"worst_route", verdict.route},
         {"worst_kind", verdict.kind},
         {"worst_sum_permille", static_cast<int>(verdict.worstSum * 1000)},
         {"detail", written ? std::string_view() : std::string_view(written.error().message)}});
    if (written) {
        m_state->metrics
            .counter("fescue_rollout_steps_total",
                     {{"service", record.service.text()},
                      {"stage", std::string(toString(record.stage))}})
            .Increment();
    }
    return written.has_value();
}

} // namespace fescue::serving
