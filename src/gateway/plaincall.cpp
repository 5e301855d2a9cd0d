#include "fescue/gateway/plaincall.h"

#include "fescue/config/accountkeys.h"
#include "fescue/gateway/plainexchange.h"
#include "fescue/gateway/problem.h"

#include <algorithm>
#include <utility>

namespace fescue::gateway {

namespace {

constexpr std::uint32_t maxAttempts = 4;

net::HttpResponse toResponse(const net::HttpResponse &answer, const EndpointName &endpoint)
{
    net::HttpResponse response;
    response.status = answer.status;
    response.body = answer.body;
    const std::string_view contentType = answer.header("Content-Type");
    if (!contentType.empty())
        response.headers.push_back({"Content-Type", std::string {contentType}});
    response.headers.push_back({"X-Endpoint", endpoint.text()});
    return response;
}

} // namespace

CallContract contractOf(const Service &service, std::string_view path)
{
    CallContract best;
    best.repeatable = false;
    std::size_t longest = 0;
    for (const CallContract &contract : service.calls) {
        const bool matches = path.substr(0, contract.pathPrefix.size()) == contract.pathPrefix;
        if (matches && contract.pathPrefix.size() >= longest) {
            longest = contract.pathPrefix.size();
            best = contract;
        }
    }
    return best;
}

PlainCall::PlainCall(GatewayParts &parts, net::ResponseWriter &writer, PlainRequest request)
    : m_parts(parts), m_writer(writer), m_request(std::move(request))
{ }

void PlainCall::runRepeatable()
{
    const RequestId id = m_parts.admission.nextId();
    Decision decision = m_parts.admission.enter(admissionRequest(m_parts, m_request, id));
    for (std::uint32_t attempt = 1;; ++attempt) {
        if (const Refuse *refuse = std::get_if<Refuse>(&decision)) {
            // A try before this one may have run; a call that may be repeated is safe to send
            // again.
            const RunState run = attempt == 1 ? RunState::NotRun : RunState::Unknown;
            static_cast<void>(m_writer.send(net::problemResponse(makeProblem(
                refuse->code, run, std::string {describe(refuse->code)}, refuse->retryAfter))));
            return;
        }
        const EndpointName endpoint = std::get<Start>(decision).endpoint;
        const Result<net::HttpResponse> answer = exchange(m_parts, m_request, endpoint);
        if (answer) {
            m_parts.budgets.with(endpoint, [](RetryBudget &budget) { budget.recordSuccess(); });
            m_parts.admission.ended(id, EndKind::Completed);
            static_cast<void>(m_writer.send(toResponse(*answer, endpoint)));
            return;
        }
        if (!shouldRetry(answer.error(), endpoint, attempt)) {
            m_parts.admission.ended(id, EndKind::Aborted);
            const bool sent = answer.error().code != ResultCode::ConnectFailed || attempt > 1;
            const ResultCode code = answer.error().code == ResultCode::ConnectFailed
                ? ResultCode::BackEndLost
                : answer.error().code;
            static_cast<void>(m_writer.send(
                net::problemResponse(makeProblem(code, sent ? RunState::Unknown : RunState::NotRun,
                                                 std::string {describe(code)}, Millis {1000}))));
            return;
        }
        m_parts.metrics.counter("fescue_retries_total").Increment();
        decision = m_parts.admission.returned(id);
    }
}

bool PlainCall::shouldRetry(const Error &error, const EndpointName &endpoint, std::uint32_t attempt)
{
    const Millis now = m_parts.clock.now();
    if (attempt >= maxAttempts || m_request.deadline.hasPassed(now))
        return false;
    if (error.code == ResultCode::ConnectFailed)
        m_parts.admission.endpointLost(endpoint);
    return m_parts.budgets.with(endpoint,
                                [now](RetryBudget &budget) { return budget.tryTake(now); });
}

ClaimedCall::ClaimedCall(GatewayParts &parts, PlainRequest request)
    : m_parts(parts), m_request(std::move(request)),
      m_machine(newNonce(), ClaimHolder {parts.member, parts.incarnation}, requestDigest(m_request),
                m_request.deadline)
{ }

ClaimedCall::~ClaimedCall()
{
    releaseAdmission(EndKind::Aborted);
}

bool ClaimedCall::run(net::ResponseWriter &writer)
{
    m_id = m_parts.admission.nextId();
    const Decision decision = m_parts.admission.enter(admissionRequest(m_parts, m_request, m_id));
    if (const Refuse *refuse = std::get_if<Refuse>(&decision)) {
        static_cast<void>(writer.send(net::problemResponse(
            makeProblem(refuse->code, RunState::NotRun, std::string {describe(refuse->code)},
                        refuse->retryAfter))));
        return false;
    }
    m_admitted = true;
    m_endpoint = std::get<Start>(decision).endpoint;
    push(m_machine.start(m_parts.clock.now()));
    while (!m_machine.answered() || !m_actions.empty()) {
        if (m_actions.empty()) {
            net::sleepFor(10_ms);
            push(m_machine.onTick(m_parts.clock.now()));
            continue;
        }
        const claim::Action action = std::move(m_actions.front());
        m_actions.pop_front();
        if (m_machine.answered() && std::holds_alternative<claim::KeepOutcome>(action)
            && std::get<claim::KeepOutcome>(action).delay > Millis {0}) {
            m_actions.push_front(action);
            break;
        }
        perform(action, &writer);
    }
    return !m_machine.ended() || !m_actions.empty();
}

void ClaimedCall::finish()
{
    while (!m_machine.ended() || !m_actions.empty()) {
        if (m_actions.empty()) {
            net::sleepFor(100_ms);
            push(m_machine.onTick(m_parts.clock.now()));
            continue;
        }
        const claim::Action action = std::move(m_actions.front());
        m_actions.pop_front();
        perform(action, nullptr);
    }
}

void ClaimedCall::push(const claim::Actions &actions)
{
    m_actions.insert(m_actions.end(), actions.begin(), actions.end());
}

void ClaimedCall::report(const claim::Event &event)
{
    push(m_machine.onEvent(m_parts.clock.now(), event));
}

void ClaimedCall::perform(const claim::Action &action, net::ResponseWriter *writer)
{
    if (const claim::CreateClaim *create = std::get_if<claim::CreateClaim>(&action)) {
        write(create->record, std::nullopt);
    } else if (const claim::ReplaceClaim *replace = std::get_if<claim::ReplaceClaim>(&action)) {
        write(replace->record, replace->revision);
    } else if (std::holds_alternative<claim::ReadClaim>(action)) {
        read();
    } else if (std::holds_alternative<claim::Dispatch>(action)) {
        dispatch();
    } else if (const claim::KeepOutcome *outcome = std::get_if<claim::KeepOutcome>(&action)) {
        keep(*outcome);
    } else if (const claim::AnswerCaller *answer = std::get_if<claim::AnswerCaller>(&action)) {
        if (writer == nullptr)
            return;
        net::HttpResponse response;
        response.status = answer->answer.status;
        response.body = answer->answer.body;
        if (!answer->answer.contentType.empty())
            response.headers.push_back({"Content-Type", answer->answer.contentType});
        if (answer->replayed)
            response.headers.push_back({"Idempotent-Replayed", "true"});
        static_cast<void>(writer->send(response));
    } else if (const claim::RefuseCaller *refuse = std::get_if<claim::RefuseCaller>(&action)) {
        if (writer == nullptr)
            return;
        static_cast<void>(writer->send(net::problemResponse(
            makeProblem(refuse->code, refuse->runState, std::string {describe(refuse->code)},
                        refuse->retryAfter))));
    }
}

void ClaimedCall::write(const ClaimRecord &record, std::optional<StoreRevision> over)
{
    const net::StoreResult<net::StoreRevision> result = over
        ? m_parts.claims.putIfMatch(storeKey(), record.toText(), net::StoreRevision {over->value})
        : m_parts.claims.putIfAbsent(storeKey(), record.toText());
    if (result) {
        report(claim::Written {StoreRevision {result->value}});
        return;
    }
    switch (result.error().code) {
    case ResultCode::StoreConflict:
        report(claim::WriteConflict {});
        break;
    case ResultCode::ConnectFailed:
    case ResultCode::StoreUnavailable:
        report(claim::StoreUnreachable {});
        break;
    default:
        report(claim::WriteAnswerLost {});
        break;
    }
}

void ClaimedCall::read()
{
    const net::StoreResult<net::StoreItem> item = m_parts.claims.get(storeKey());
    if (!item && item.error().code == ResultCode::StoreNotFound) {
        report(claim::Read {});
        return;
    }
    if (!item) {
        report(claim::StoreUnreachable {});
        return;
    }
    Result<ClaimRecord> record = ClaimRecord::parse(item->value);
    if (!record) {
        report(claim::StoreUnreachable {});
        return;
    }
    claim::Read event;
    event.holderLives =
        m_parts.views.current()->mayLive(record->holder.member, record->holder.incarnation);
    event.record = std::move(*record);
    event.revision = StoreRevision {item->revision.value};
    report(event);
}

void ClaimedCall::dispatch()
{
    const GatewayViewPtr view = m_parts.views.current();
    const bool eligible = view->judge(m_endpoint) == Eligibility::Eligible;
    if (!eligible || !m_machine.mayDispatch(m_parts.clock.now())) {
        report(claim::NothingSent {});
        return;
    }
    m_parts.timeline.record("claimed-call", m_request.idempotencyKey, "sent");
    const Result<net::HttpResponse> answer = exchange(m_parts, m_request, m_endpoint);
    if (answer) {
        releaseAdmission(EndKind::Completed);
        ServiceAnswer kept;
        kept.status = static_cast<std::uint16_t>(answer->status);
        kept.contentType = std::string {answer->header("Content-Type")};
        kept.body = answer->body;
        report(claim::Answered {std::move(kept)});
        return;
    }
    if (answer.error().code == ResultCode::ConnectFailed) {
        m_parts.admission.endpointLost(m_endpoint);
        report(claim::NothingSent {});
        return;
    }
    m_parts.metrics.counter("fescue_outcomes_unknown_total").Increment();
    report(claim::AnswerLost {});
}

void ClaimedCall::keep(const claim::KeepOutcome &outcome)
{
    if (outcome.delay > Millis {0})
        net::sleepFor(outcome.delay);
    const net::StoreResult<net::StoreRevision> result = m_parts.claims.putIfMatch(
        storeKey(), outcome.record.toText(), net::StoreRevision {outcome.revision.value});
    if (result || result.error().code == ResultCode::StoreConflict)
        report(claim::OutcomeKept {});
    else
        report(claim::OutcomeWriteFailed {});
}

std::string ClaimedCall::storeKey() const
{
    return "claims/" + m_request.service.text() + '/' + m_request.account.text() + '/'
        + hashKey(m_request.idempotencyKey);
}

void ClaimedCall::releaseAdmission(EndKind kind)
{
    if (std::exchange(m_admitted, false))
        m_parts.admission.ended(m_id, kind);
}

} // namespace fescue::gateway
