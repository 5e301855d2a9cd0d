#include "fescue/gateway/gateway.h"

#include "fescue/gateway/generationrelay.h"
#include "fescue/gateway/plaincall.h"
#include "fescue/gateway/plainexchange.h"
#include "fescue/gateway/problem.h"
#include "fescue/node/operatorroutes.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescue::gateway {

namespace {

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
// Told to callers that should use another address of their directory answer at once.
constexpr Millis otherAddressDelay = 100_ms;
constexpr Millis streamLimitDelay = 1_s;

// Counts a request as open for the time of its scope.
class OpenScope
{
public:
    explicit OpenScope(std::atomic<std::size_t> &n) noexcept : m_n(n) { ++m_n; }
    ~OpenScope() { --m_n; }
    OpenScope(const OpenScope &) = delete;
    OpenScope &operator=(const OpenScope &) = delete;

private:
    std::atomic<std::size_t> &m_n;
};

bool mayUse(const Account &account, const ServiceName &service)
{
    return account.services.empty()
        || std::find(account.services.begin(), account.services.end(), service)
        != account.services.end();
}

tl::unexpected<net::Problem> refusal(ResultCode code, std::string detail,
                                     Millis retryAfter = Millis {0})
{
    return tl::unexpected<net::Problem>(
        makeProblem(code, RunState::NotRun, std::move(detail), retryAfter));
}

} // namespace

Gateway::Gateway(GatewayParts &parts, const Intake &intake, std::function<std::string()> status)
    : m_parts(parts), m_intake(intake), m_status(std::move(status))
{ }

std::size_t Gateway::open() const noexcept
{
    return m_open.load(std::memory_order_acquire);
}

void Gateway::handle(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    if (serveOperators(request, writer))
        return;
    const OpenScope scope(m_open);
    if (request.target == "/v1/directory" && request.method == "GET")
        serveDirectory(request, writer);
    else if (request.target == "/v1/completions" && request.method == "POST")
        serveCompletion(request, writer);
    else if (request.target == "/v1/streams" && request.method == "GET")
        serveResume(request, writer);
    else if (request.target == "/v1/streams" && request.method == "DELETE")
        serveCancel(request, writer);
    else if (request.target.starts_with(servicePrefix))
        servePlain(request, writer);
    else
        refuse(writer,
               makeProblem(ResultCode::NoSuchRoute, RunState::NotRun,
                           "no route for " + request.method + ' ' + request.target));
}

void Gateway::refuse(net::ResponseWriter &writer, const net::Problem &problem)
{
    const std::string code {toString(problem.code)};
    m_parts.metrics.counter("fescue_refusals_total", {{"code", code}}).Increment();
    static_cast<void>(writer.send(net::problemResponse(problem)));
}

bool Gateway::serveOperators(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const node::OperatorSources sources {
        m_parts.metrics, m_parts.timeline,
        [this] { return m_parts.views.current()->ready && m_intake.open(); }, m_status};
    const std::optional<net::HttpResponse> answer = node::answerOperator(request, sources);
    if (!answer)
        return false;
    static_cast<void>(writer.send(*answer));
    return true;
}

tl::expected<Gateway::Caller, net::Problem>
Gateway::authenticate(const net::HttpRequest &request) const
{
    Caller caller;
    caller.view = m_parts.views.current();
    if (caller.view->accounts == nullptr)
        return refusal(ResultCode::NotReady, "no configuration yet", otherAddressDelay);
    const std::string_view header = request.header("Authorization");
    if (header.starts_with(bearerPrefix))
        caller.account = caller.view->accounts->find(header.substr(bearerPrefix.size()));
    if (caller.account == nullptr)
        return refusal(ResultCode::UnknownAccount,
                       "no account has this key; send \"Authorization: Bearer KEY\"");
    return caller;
}

tl::expected<Gateway::Caller, net::Problem>
Gateway::admitNewWork(const net::HttpRequest &request) const
{
    if (!m_intake.open())
        return refusal(ResultCode::ShuttingDown, "this entry is leaving; use another address",
                       otherAddressDelay);
    tl::expected<Caller, net::Problem> caller = authenticate(request);
    if (!caller)
        return caller;
    if (!caller->view->ready)
        return refusal(ResultCode::NotReady, "this entry is not ready; use another address",
                       otherAddressDelay);
    if (!mayStartWork(caller->view->freshness))
        return refusal(ResultCode::ViewOutdated, std::string {describe(ResultCode::ViewOutdated)},
                       otherAddressDelay);
    return caller;
}

tl::expected<StreamTicket, net::Problem> Gateway::takeTicket(const Caller &caller) const
{
    std::optional<StreamTicket> ticket =
        m_parts.streams.open(caller.account->name, caller.account->maxStreams);
    if (!ticket)
        return refusal(ResultCode::AccountStreamLimit,
                       "the account has as many requests open as it may", streamLimitDelay);
    return std::move(*ticket);
}

Result<Deadline> Gateway::deadlineOf(const net::HttpRequest &request) const
{
    const std::string_view header = request.header("X-Deadline-Ms");
    const Millis now = m_parts.clock.now();
    if (header.empty())
        return Deadline::after(now, m_parts.limits.defaultDeadline);
    std::int64_t left = 0;
    const std::from_chars_result result =
        std::from_chars(header.data(), header.data() + header.size(), left);
    if (result.ec != std::errc {} || result.ptr != header.data() + header.size() || left <= 0)
        return fail(ResultCode::BadRequest, "X-Deadline-Ms must be a positive whole number");
    return Deadline::after(now, std::min(Millis {left}, m_parts.limits.defaultDeadline));
}

void Gateway::serveDirectory(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const GatewayViewPtr view = m_parts.views.current();
    if (!view->ready) {
        refuse(writer,
               makeProblem(ResultCode::NotReady, RunState::NotRun,
                           "this entry does not know the other entries yet", otherAddressDelay));
        return;
    }
    DirectoryQuery query;
    query.account = AccountName {request.queryValue("account").value_or(std::string {})};
    query.service = ServiceName {request.queryValue("service").value_or(std::string {})};
    nlohmann::json addresses = nlohmann::json::array();
    for (const DirectoryEntry &entry : view->directory(query)) {
        addresses.push_back({{"address", entry.address},
                             {"zone", entry.zone.text()},
                             {"entry", entry.entry.text()}});
    }
    const nlohmann::json body = {
        {"ttl_ms", view->snapshot->directoryTtl.count},
        {"config_version", view->snapshot->version.value},
        {"addresses", std::move(addresses)},
    };
    static_cast<void>(writer.send(net::jsonResponse(200, body.dump())));
}

void Gateway::serveCompletion(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const tl::expected<Caller, net::Problem> caller = admitNewWork(request);
    if (!caller)
        return refuse(writer, caller.error());
    const Result<CompletionRequest> completion = parseCompletionRequest(request.body);
    if (!completion)
        return refuse(
            writer,
            makeProblem(completion.error().code, RunState::NotRun, completion.error().message));
    const Result<Deadline> deadline = deadlineOf(request);
    if (!deadline)
        return refuse(
            writer, makeProblem(deadline.error().code, RunState::NotRun, deadline.error().message));
    const Service *service = caller->view->snapshot->findService(completion->model);
    if (service == nullptr || service->kind != ServiceKind::Model)
        return refuse(writer,
                      makeProblem(ResultCode::UnknownModel, RunState::NotRun,
                                  "no model has the name \"" + completion->model.text() + '"'));
    if (!mayUse(*caller->account, service->name))
        return refuse(writer,
                      makeProblem(ResultCode::NotAllowed, RunState::NotRun,
                                  "the account may not use this model"));
    const tl::expected<StreamTicket, net::Problem> ticket = takeTicket(*caller);
    if (!ticket)
        return refuse(writer, ticket.error());
    const std::uint32_t limit = service->maxOutputTokens;
    const std::uint32_t maxTokens =
        completion->maxTokens == 0 ? limit : std::min(completion->maxTokens, limit);
    GenerationRelay relay(m_parts, writer,
                          {caller->account->name, caller->view->snapshot->streamSecret, *deadline});
    relay.run(*completion, maxTokens);
}

tl::expected<EventId, net::Problem> Gateway::verifyEventId(const net::HttpRequest &request,
                                                           const Caller &caller) const
{
    Result<EventId> id = EventId::parse(request.header("Last-Event-ID"));
    if (!id)
        return refusal(id.error().code, id.error().message);
    const std::string expected = streamMac(caller.view->snapshot->streamSecret,
                                           generationName(caller.account->name, id->generation()));
    if (!equalInConstantTime(expected, id->mac))
        return refusal(ResultCode::BadEventId, "the event id is not one of this account's");
    return std::move(*id);
}

// A resume is not new work: it is served by an entry that is leaving or cut off as well.
void Gateway::serveResume(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const tl::expected<Caller, net::Problem> caller = authenticate(request);
    if (!caller)
        return refuse(writer, caller.error());
    const tl::expected<EventId, net::Problem> id = verifyEventId(request, *caller);
    if (!id)
        return refuse(writer, id.error());
    const Result<Deadline> deadline = deadlineOf(request);
    if (!deadline)
        return refuse(
            writer, makeProblem(deadline.error().code, RunState::NotRun, deadline.error().message));
    const tl::expected<StreamTicket, net::Problem> ticket = takeTicket(*caller);
    if (!ticket)
        return refuse(writer, ticket.error());
    m_parts.timeline.record("resume", id->stream, "from token " + std::to_string(id->index + 1));
    GenerationRelay relay(m_parts, writer,
                          {caller->account->name, caller->view->snapshot->streamSecret, *deadline});
    relay.resume(*id);
}

void Gateway::serveCancel(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const tl::expected<Caller, net::Problem> caller = authenticate(request);
    if (!caller)
        return refuse(writer, caller.error());
    const tl::expected<EventId, net::Problem> id = verifyEventId(request, *caller);
    if (!id)
        return refuse(writer, id.error());
    const std::optional<net::Address> address = caller->view->addressOf(id->endpoint);
    if (!address)
        return refuse(writer,
                      makeProblem(ResultCode::GenerationLost, RunState::Unknown,
                                  "the engine of this generation is not configured"));
    net::HttpRequest cancel;
    cancel.method = "DELETE";
    cancel.target = "/v1/streams/" + id->stream;
    cancel.mayResend = true;
    const Result<net::HttpResponse> answer =
        m_parts.client.request(*address, cancel, m_parts.limits.engineHeadTimeout);
    if (!answer)
        return refuse(writer,
                      makeProblem(ResultCode::BackEndLost, RunState::Unknown,
                                  std::string {describe(ResultCode::BackEndLost)},
                                  streamLimitDelay));
    net::HttpResponse response;
    response.status = answer->status == 404 ? 404 : 204;
    static_cast<void>(writer.send(response));
}

tl::expected<PlainRequest, net::Problem> Gateway::parsePlain(const net::HttpRequest &request,
                                                             const Caller &caller) const
{
    const std::string_view rest = std::string_view {request.target}.substr(servicePrefix.size());
    const std::size_t slash = rest.find('/');
    PlainRequest plain;
    plain.account = caller.account->name;
    plain.service = ServiceName {rest.substr(0, slash)};
    plain.http.method = request.method;
    plain.http.target = slash == std::string_view::npos ? "/" : std::string {rest.substr(slash)};
    plain.http.query = request.query;
    plain.http.body = request.body;
    const std::string_view contentType = request.header("Content-Type");
    if (!contentType.empty())
        plain.http.headers.push_back({"Content-Type", std::string {contentType}});
    plain.idempotencyKey = std::string {request.header("Idempotency-Key")};
    plain.requestId = newNonce();

    const Service *service = caller.view->snapshot->findService(plain.service);
    if (service == nullptr || service->kind != ServiceKind::Plain)
        return refusal(ResultCode::UnknownService,
                       "no plain service has the name \"" + plain.service.text() + '"');
    if (!mayUse(*caller.account, service->name))
        return refusal(ResultCode::NotAllowed, "the account may not use this service");
    plain.contract = contractOf(*service, plain.http.target);
    if (plain.idempotencyKey.size() > m_parts.limits.maxKeyBytes)
        return refusal(ResultCode::BadRequest,
                       "Idempotency-Key is longer than "
                           + std::to_string(m_parts.limits.maxKeyBytes) + " bytes");
    if (!plain.contract.repeatable && plain.idempotencyKey.empty())
        return refusal(ResultCode::MissingIdempotencyKey,
                       "this call may not be repeated: send an Idempotency-Key header");
    const Result<Deadline> deadline = deadlineOf(request);
    if (!deadline)
        return refusal(deadline.error().code, deadline.error().message);
    plain.deadline = deadline->earlier(
        Deadline::after(m_parts.clock.now(), service->queueLimit + plain.contract.timeout));
    return plain;
}

void Gateway::servePlain(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const tl::expected<Caller, net::Problem> caller = admitNewWork(request);
    if (!caller)
        return refuse(writer, caller.error());
    tl::expected<PlainRequest, net::Problem> plain = parsePlain(request, *caller);
    if (!plain)
        return refuse(writer, plain.error());
    // A call that was cut at the end of the process could not be told apart from one that ran.
    if (!m_intake.allows(plain->deadline))
        return refuse(writer,
                      makeProblem(ResultCode::ShuttingDown, RunState::NotRun,
                                  "this entry ends before the call can; use another address",
                                  otherAddressDelay));
    const tl::expected<StreamTicket, net::Problem> ticket = takeTicket(*caller);
    if (!ticket)
        return refuse(writer, ticket.error());
    if (plain->contract.repeatable) {
        PlainCall call(m_parts, writer, std::move(*plain));
        call.runRepeatable();
        return;
    }
    const std::shared_ptr<ClaimedCall> call =
        std::make_shared<ClaimedCall>(m_parts, std::move(*plain));
    if (call->run(writer)) {
        // Counted from here on: the fiber may start after this request has ended.
        const std::shared_ptr<OpenScope> scope = std::make_shared<OpenScope>(m_open);
        m_parts.pool.spawn(net::currentWorker(), [call, scope] { call->finish(); });
    }
}

} // namespace fescue::gateway
