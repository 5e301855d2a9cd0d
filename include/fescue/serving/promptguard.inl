#pragma once

#include "fescue/observe/log.h"

#include <utility>

namespace fescue::serving {

// Number of times that an engine is asked for its state after it lost a request, and the interval.
inline constexpr int crashChecks = 3;
inline constexpr Millis crashCheckInterval = 200_ms;
inline constexpr Millis crashCheckTimeout = 500_ms;

template <PlatformProtocol P>
std::optional<net::Problem> PromptGuard<P>::refusal(RequestContext &context) const
{
    const PromptDecision decision =
        m_state->quarantine.decide(ServingState::now(), context.caller.promptParts);
    if (decision.verdict == PromptVerdict::Admit)
        return std::nullopt;
    return quarantineProblem(context, decision);
}

template <PlatformProtocol P>
std::optional<net::Problem> PromptGuard<P>::admit(RequestContext &context)
{
    const PromptDecision decision =
        m_state->quarantine.decide(ServingState::now(), context.caller.promptParts);
    if (decision.verdict == PromptVerdict::Admit)
        return std::nullopt;
    if (decision.verdict == PromptVerdict::Trial && m_state->claimTrial(decision.entry)) {
        context.isTrial = true;
        m_state->metrics.counter("fescue_quarantine_trials_total").Increment();
        observe::logChange("quarantine-trial",
                           {{"id", context.caller.requestId},
                            {"parts", partsText(decision.entry.parts)},
                            {"crashes", decision.entry.crashes},
                            {"trials", decision.entry.trials + 1}});
        return std::nullopt;
    }
    return quarantineProblem(context, decision);
}

template <PlatformProtocol P>
void PromptGuard<P>::recordStart(RequestContext &context)
{
    if (std::exchange(context.promptStarted, true))
        return;
    const QuarantineNotice notice =
        m_state->quarantine.recordStart(ServingState::now(), context.caller.promptParts);
    if (notice.empty())
        return;
    for (const QuarantineEntry &entry : notice.entries) {
        observe::logChange("quarantine-released",
                           {{"parts", partsText(entry.parts)},
                            {"crashes", entry.crashes},
                            {"id", context.caller.requestId},
                            {"reason", "an engine answered a request"}});
    }
    m_state->sendQuarantineNotice(notice);
}

template <PlatformProtocol P>
void PromptGuard<P>::recordLoss(const RequestContext &context, const EndpointRecord &engine)
{
    const EndpointView *view = m_state->endpoints.find(engine.name);
    std::vector<PartId> parts = PromptQuarantine::decisiveParts(context.caller.promptParts);
    // An engine that leaves terminates with the requests that it has.
    if (parts.empty() || (view != nullptr && view->leaving()))
        return;
    const Millis lostAt = ServingState::now();
    m_state->pool.spawn(
        net::currentWorker(),
        [this, engine, lostAt, parts = std::move(parts), id = context.caller.requestId] {
            const bool crashed = hasCrashed(engine);
            observe::logChange("engine-lost",
                               {{"id", id},
                                {"endpoint", engine.name.text()},
                                {"incarnation", engine.incarnation.value},
                                {"crashed", crashed ? "yes" : "no"},
                                {"parts", partsSummary(parts)},
                                {"checked_ms", (ServingState::now() - lostAt).count}});
            if (crashed)
                reportCrash(engine, id, parts, lostAt);
        });
}

template <PlatformProtocol P>
bool PromptGuard<P>::hasCrashed(const EndpointRecord &engine)
{
    for (int n = 0; n < crashChecks; ++n) {
        if (n > 0)
            net::sleepFor(crashCheckInterval);
        const Millis now = ServingState::now();
        const EndpointView *view = m_state->endpoints.find(engine.name);
        const bool isGone = view == nullptr || view->record.incarnation != engine.incarnation
            || m_state->refusingEndpoints.isPaused(now, engine.name, engine.incarnation);
        if (isGone)
            return true;
        const Result<net::HttpResponse> report =
            callEndpoint<P>(*m_state, engine, P::encodeReportCall(), crashCheckTimeout);
        if (report || report.error().code == ResultCode::BackEndRefused)
            return false;
        if (outcomeOf(report.error()) == SendOutcome::Refused) {
            m_state->recordRefusedConnection(engine);
            return true;
        }
    }
    return false;
}

template <PlatformProtocol P>
void PromptGuard<P>::reportCrash(const EndpointRecord &engine, const std::string &requestId,
                                 std::vector<PartId> parts, Millis lostAt)
{
    const Millis now = ServingState::now();
    const CrashReport added = m_state->quarantine.recordCrash(
        now, {{engine.name, engine.incarnation}, now - lostAt, std::move(parts)});
    m_state->metrics.counter("fescue_engine_crashes_seen_total").Increment();
    if (added.parts.empty())
        return;
    observe::logChange("crash-evidence",
                       {{"id", requestId},
                        {"endpoint", engine.name.text()},
                        {"parts", partsSummary(added.parts)}});
    m_state->sendQuarantineNotice({.crashes = {added}});
    evaluateLater();
}

template <PlatformProtocol P>
void PromptGuard<P>::evaluateLater()
{
    m_state->pool.spawn(net::currentWorker(), [this] {
        net::sleepFor(CrashEvidence::settleTime + 1_ms);
        const Millis now = ServingState::now();
        std::vector<QuarantineEntry> added = m_state->quarantine.evaluate(now);
        if (added.empty())
            return;
        for (const QuarantineEntry &entry : added) {
            observe::logChange(observe::LogLevel::Warning, "quarantined",
                               {{"parts", partsText(entry.parts)},
                                {"crashes", entry.crashes},
                                {"last_crash_ms", (now - entry.lastCrashAt).count},
                                {"rivals", partsText(entry.rivals)},
                                {"version", entry.version},
                                {"trials", entry.trials}});
        }
        m_state->sendQuarantineNotice({.entries = std::move(added)});
    });
}

template <PlatformProtocol P>
void PromptGuard<P>::releaseEverywhere(const std::vector<QuarantineEntry> &entries)
{
    if (entries.empty())
        return;
    for (const QuarantineEntry &entry : entries) {
        observe::logChange("quarantine-released",
                           {{"parts", partsText(entry.parts)},
                            {"crashes", entry.crashes},
                            {"reason", "an engine answered a request with the part"}});
    }
    m_state->sendQuarantineNotice({.entries = entries});
}

template <PlatformProtocol P>
QuarantineNotice PromptGuard<P>::handleNotice(const QuarantineNotice &notice)
{
    const PromptQuarantine::Merged merged = m_state->quarantine.merge(ServingState::now(), notice);
    for (const QuarantineEntry &entry : merged.received.entries) {
        observe::logChange(entry.active ? "quarantined" : "quarantine-released",
                           {{"parts", partsText(entry.parts)},
                            {"crashes", entry.crashes},
                            {"version", entry.version},
                            {"trials", entry.trials},
                            {"reason", "reported by a peer"}});
    }
    if (!merged.received.crashes.empty())
        evaluateLater();
    releaseEverywhere(merged.released);
    return merged.received;
}

} // namespace fescue::serving
