#pragma once

#include "fescue/serving/engineexchange.h"
#include "fescue/serving/requestcontext.h"
#include "fescue/serving/servingstate.h"

#include <optional>

namespace fescue::serving {

// Keeps requests with quarantined prompt parts away from engines, and finds out which parts crash
// them: checks whether an engine that lost a request has crashed, and reports it to the state and
// to the other processes.
template <PlatformProtocol P>
class PromptGuard
{
public:
    explicit PromptGuard(ServingState &state) noexcept : m_state(&state) { }

    // Returns the refusal of a request whose prompt has a quarantined part, unless it is admitted
    // as a trial of that part.
    [[nodiscard]] std::optional<net::Problem> admit(RequestContext &context);
    // Returns the refusal of a request whose prompt has a quarantined part.
    [[nodiscard]] std::optional<net::Problem> refusal(RequestContext &context) const;

    // Records that an engine answers the request without crashing.
    void recordStart(RequestContext &context);
    // Records that an engine lost the request before that. A lost connection by itself is no
    // evidence of a crash, so the engine is checked first.
    void recordLoss(const RequestContext &context, const EndpointRecord &engine);

    // Applies a notice of another process. Returns the part of it that was new.
    [[nodiscard]] QuarantineNotice handleNotice(const QuarantineNotice &notice);

private:
    // Returns true if the engine has terminated: it refuses connections, or its entry in the store
    // is gone or belongs to a later incarnation.
    [[nodiscard]] bool hasCrashed(const EndpointRecord &engine);
    void reportCrash(const EndpointRecord &engine, const std::string &requestId,
                     std::vector<PartId> parts, Millis lostAt);
    // Evaluates the evidence once reports of the other processes have had time to arrive.
    void evaluateLater();
    void releaseEverywhere(const std::vector<QuarantineEntry> &entries);

    ServingState *m_state;
};

} // namespace fescue::serving

#include "fescue/serving/promptguard.inl"
