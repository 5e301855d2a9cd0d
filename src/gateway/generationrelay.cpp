#include "fescue/gateway/generationrelay.h"

#include "fescue/config/accountkeys.h"
#include "fescue/core/jsondocument.h"
#include "fescue/gateway/problem.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace fescue::gateway {

namespace {

// Tokens that may appear before admission is told of them.
constexpr std::uint32_t chargeBatch = 32;
constexpr std::uint32_t maxSilenceDoublings = 5;
constexpr std::string_view endMark = "[DONE]";

// Parses a decimal number that makes up the whole text.
template <typename T>
std::optional<T> parseNumber(std::string_view text) noexcept
{
    T value {};
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc {} || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

double uniformRandom()
{
    thread_local std::mt19937_64 engine {std::random_device {}()};
    return std::uniform_real_distribution<double> {0.0, 1.0}(engine);
}

// Milliseconds that the engine asks to wait, from its Retry-After in seconds.
Millis retryAfterOf(std::string_view header) noexcept
{
    const std::optional<std::uint32_t> seconds = parseNumber<std::uint32_t>(header);
    return seconds ? Millis {*seconds * 1000LL} : Millis {0};
}

std::string textOf(std::string_view data)
{
    const Result<nlohmann::json> parsed = parseJson(data);
    if (!parsed || !parsed->is_object())
        return {};
    const nlohmann::json &json = *parsed;
    if (!json.contains("choices") || !json["choices"].is_array() || json["choices"].empty())
        return {};
    const nlohmann::json &choice = json["choices"][0];
    const bool hasText =
        choice.is_object() && choice.contains("text") && choice["text"].is_string();
    return hasText ? choice["text"].get<std::string>() : std::string();
}

} // namespace

GenerationRelay::GenerationRelay(GatewayParts &parts, net::ResponseWriter &writer,
                                 RelayCaller caller)
    : m_parts(parts), m_writer(writer), m_caller(std::move(caller)),
      m_buffer(parts.limits.readBufferBytes)
{ }

GenerationRelay::~GenerationRelay()
{
    releaseAdmission(EndKind::Aborted);
}

void GenerationRelay::run(const CompletionRequest &request, std::uint32_t maxTokens)
{
    m_machine.emplace(m_caller.deadline);
    m_prompt = request.prompt;
    m_maxTokens = maxTokens;
    m_streamed = request.stream;
    Request admission;
    admission.id = m_parts.admission.nextId();
    admission.account = m_caller.account;
    admission.service = request.model;
    admission.promptTokens = promptTokens(request.prompt);
    admission.maxTokens = maxTokens;
    admission.prefixHashes = {prefixHash(request.prompt)};
    const Millis now = m_parts.clock.now();
    if (m_caller.deadline.isSet())
        admission.deadline = now + m_caller.deadline.remaining(now);
    m_request = std::move(admission);
    m_next = Next::Admit;
    loop();
}

void GenerationRelay::resume(const EventId &last)
{
    m_machine.emplace(last, m_caller.deadline);
    m_idPrefix = last.formatPrefix();
    perform(m_machine->resumeAtStart(m_parts.clock.now()));
    loop();
}

void GenerationRelay::loop()
{
    while (m_next != Next::Stop && !m_machine->ended()) {
        const Next next = std::exchange(m_next, Next::Read);
        if (m_delay > Millis {0})
            net::sleepFor(std::exchange(m_delay, Millis {0}));
        switch (next) {
        case Next::Admit:
            admitAndDispatch();
            break;
        case Next::Resume:
            openResume();
            break;
        case Next::Read:
            readExchange();
            break;
        case Next::Stop:
            break;
        }
    }
    m_stream.close();
    chargeTokens();
}

void GenerationRelay::admitAndDispatch()
{
    const RequestId id = m_request->id;
    const bool again = std::exchange(m_admitted, false);
    const Decision decision =
        again ? m_parts.admission.returned(id) : m_parts.admission.enter(*m_request);
    if (const Refuse *refuse = std::get_if<Refuse>(&decision)) {
        perform(m_machine->onNoEndpoint(refuse->code, refuse->retryAfter));
        return;
    }
    const Start &start = std::get<Start>(decision);
    m_admitted = true;
    m_endpoint = start.endpoint;
    m_priority = start.priority;
    if (m_writer.callerGone()) {
        perform(m_machine->onCallerEnd(CallerEnd::Disconnected));
        m_next = Next::Stop;
        return;
    }
    const GatewayViewPtr view = m_parts.views.current();
    const std::optional<net::Address> address = view->addressOf(start.endpoint);
    if (!address || view->judge(start.endpoint) != Eligibility::Eligible) {
        // The endpoint left service after it was chosen: nothing was sent, so choose again.
        m_next = Next::Admit;
        return;
    }
    const std::optional<ExchangeNumber> exchange =
        m_machine->dispatch(m_parts.clock.now(), start.endpoint);
    if (!exchange) {
        perform(m_machine->onTick(m_parts.clock.now()));
        return;
    }
    m_exchange = *exchange;
    m_headSeen = false;
    Result<net::ClientStream> stream =
        m_parts.client.openStream(*address, engineRequest(), m_parts.limits.engineHeadTimeout);
    if (stream)
        onStreamOpened(std::move(*stream));
    else
        onOpenFailed(stream.error(), start.endpoint);
}

net::HttpRequest GenerationRelay::engineRequest() const
{
    const nlohmann::json body = {
        {"model", m_request->service.text()},
        {"prompt", m_prompt},
        {"max_tokens", m_maxTokens},
        {"priority", m_priority},
        {"stream", true},
    };
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    // Refusals do not name their request: on a kept connection an earlier one could be read again.
    request.freshConnection = true;
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return request;
}

void GenerationRelay::openResume()
{
    const generation::Resume resume = *m_resume;
    m_exchange = resume.exchange;
    m_endpoint = resume.generation.endpoint;
    m_headSeen = false;
    m_parts.metrics.counter("fescue_resumes_total").Increment();
    const std::optional<net::Address> address = m_parts.views.current()->addressOf(m_endpoint);
    if (!address) {
        onEngineEvent(engine::StreamNotFound {});
        return;
    }
    net::HttpRequest request;
    request.target = "/v1/streams/" + resume.generation.stream;
    request.query = "from=" + std::to_string(resume.from);
    request.freshConnection = true;
    Result<net::ClientStream> stream =
        m_parts.client.openStream(*address, request, m_parts.limits.engineHeadTimeout);
    if (stream)
        onStreamOpened(std::move(*stream));
    else
        onOpenFailed(stream.error(), m_endpoint);
}

void GenerationRelay::onStreamOpened(net::ClientStream stream)
{
    const int status = stream.status();
    if (status == 200) {
        const std::string incarnation {stream.header("X-Incarnation")};
        const std::string id {stream.header("X-Stream-Id")};
        m_stream = std::move(stream);
        m_parser = net::SseParser {};
        m_lastByteAt = m_parts.clock.now();
        if (!acceptHead(incarnation, id))
            onEngineEvent(engine::Lost {EngineLoss::Malformed});
        return;
    }
    const Millis retryAfter = retryAfterOf(stream.header("Retry-After"));
    stream.close();
    if (status == 404 && m_resume)
        onEngineEvent(engine::StreamNotFound {});
    else if (status == 503 || status == 429)
        onEngineEvent(engine::Refused {retryAfter});
    else
        onEngineEvent(engine::Lost {EngineLoss::Malformed});
}

bool GenerationRelay::acceptHead(std::string_view engineIncarnation, std::string_view stream)
{
    const std::optional<std::uint64_t> incarnation = parseNumber<std::uint64_t>(engineIncarnation);
    if (!incarnation || stream.empty())
        return false;
    const GenerationId generation {m_endpoint, Incarnation {*incarnation}, std::string {stream}};
    m_parts.admission.observeIncarnation(m_endpoint, generation.incarnation);
    if (m_request) {
        EventId id;
        id.endpoint = generation.endpoint;
        id.incarnation = generation.incarnation;
        id.stream = generation.stream;
        id.mac = streamMac(m_caller.streamSecret, generationName(m_caller.account, generation));
        m_idPrefix = id.formatPrefix();
    }
    onEngineEvent(engine::HeadReceived {generation});
    return true;
}

void GenerationRelay::onOpenFailed(const Error &error, const EndpointName &endpoint)
{
    if (error.code == ResultCode::ConnectFailed) {
        m_parts.admission.endpointLost(endpoint);
        onEngineEvent(engine::Lost {EngineLoss::ConnectFailed});
        return;
    }
    if (error.code == ResultCode::BackEndTimeout) {
        m_parts.client.dropIdle(
            m_parts.views.current()->addressOf(endpoint).value_or(net::Address {}));
    }
    onEngineEvent(engine::Lost {error.code == ResultCode::BackEndProtocol
                                    ? EngineLoss::Malformed
                                    : EngineLoss::BeforeHead});
}

void GenerationRelay::readExchange()
{
    const Millis now = m_parts.clock.now();
    if (m_caller.deadline.hasPassed(now)) {
        perform(m_machine->onTick(now));
        return;
    }
    const Result<std::size_t> n =
        m_stream.read(m_buffer, m_caller.deadline.limit(now, m_parts.limits.callerKeepAlive));
    if (!n) {
        onReadFailed(n.error());
    } else if (*n == 0) {
        onEngineEvent(engine::Lost {EngineLoss::MidStream});
    } else {
        m_lastByteAt = m_parts.clock.now();
        const Result<void> parsed =
            m_parser.feed(std::string_view(m_buffer.data(), *n),
                          [this](const net::SseEvent &event) { onSseEvent(event); });
        if (!parsed && m_next == Next::Read)
            onEngineEvent(engine::Lost {EngineLoss::Malformed});
    }
    if (!flush())
        perform(m_machine->onCallerEnd(CallerEnd::Disconnected));
}

void GenerationRelay::onReadFailed(const Error &error)
{
    if (error.code != ResultCode::LinkSilent) {
        onEngineEvent(engine::Lost {error.code == ResultCode::BackEndProtocol
                                        ? EngineLoss::Malformed
                                        : EngineLoss::MidStream});
        return;
    }
    chargeTokens();
    if (m_parts.clock.now() - m_lastByteAt >= silenceLimit()) {
        ++m_silentAttempts;
        onEngineEvent(engine::Lost {EngineLoss::Silent});
        return;
    }
    keepAlive();
}

Millis GenerationRelay::silenceLimit() const noexcept
{
    const std::uint32_t doublings = std::min(m_silentAttempts, maxSilenceDoublings);
    return m_parts.limits.engineSilence * (std::int64_t {1} << doublings);
}

void GenerationRelay::keepAlive()
{
    if (m_writer.callerGone()) {
        perform(m_machine->onCallerEnd(CallerEnd::Disconnected));
        return;
    }
    if (m_answerStarted && m_streamed)
        m_out += ": keep-alive\n\n";
}

void GenerationRelay::onSseEvent(const net::SseEvent &event)
{
    if (event.comment || m_next != Next::Read || m_machine->ended())
        return;
    if (event.data == endMark) {
        onEngineEvent(engine::Done {});
        return;
    }
    const std::optional<std::uint64_t> index = parseNumber<std::uint64_t>(event.id);
    if (!index) {
        onEngineEvent(engine::Lost {EngineLoss::Malformed});
        return;
    }
    onToken(*index, event.data);
}

void GenerationRelay::onToken(std::uint64_t index, std::string_view data)
{
    const generation::Actions actions = m_machine->onToken(m_parts.clock.now(), m_exchange, index);
    for (const generation::Action &action : actions)
        performOne(action, data);
}

void GenerationRelay::onEngineEvent(const engine::Event &event)
{
    const Millis now = m_parts.clock.now();
    const double uniform = uniformRandom();
    const generation::Actions actions = m_parts.budgets.with(m_endpoint, [&](RetryBudget &budget) {
        return m_machine->onEngine(now, m_exchange, event, budget, uniform);
    });
    perform(actions);
}

void GenerationRelay::perform(const generation::Actions &actions)
{
    for (const generation::Action &action : actions)
        performOne(action, {});
}

void GenerationRelay::performOne(const generation::Action &action, std::string_view data)
{
    if (const generation::ForwardToken *token = std::get_if<generation::ForwardToken>(&action)) {
        appendToken(token->index, data);
    } else if (const generation::Resume *resume = std::get_if<generation::Resume>(&action)) {
        m_stream.close();
        m_resume = *resume;
        m_delay = resume->delay;
        m_next = Next::Resume;
    } else if (const generation::StartAfresh *afresh =
                   std::get_if<generation::StartAfresh>(&action)) {
        m_stream.close();
        m_delay = afresh->delay;
        m_next = Next::Admit;
    } else if (std::holds_alternative<generation::Finish>(action)) {
        finish();
    } else if (const generation::FailFinal *failure = std::get_if<generation::FailFinal>(&action)) {
        fail(*failure);
    } else if (const generation::CancelAtEngine *cancel =
                   std::get_if<generation::CancelAtEngine>(&action)) {
        cancelAtEngine(cancel->generation);
    } else if (std::holds_alternative<generation::Detach>(action)) {
        m_stream.close();
        m_next = Next::Stop;
    }
}

void GenerationRelay::appendToken(std::uint64_t index, std::string_view data)
{
    m_silentAttempts = 0;
    ++m_uncharged;
    if (m_uncharged >= chargeBatch)
        chargeTokens();
    if (!m_streamed) {
        m_text += textOf(data);
        return;
    }
    std::array<char, 20> digits {};
    const std::to_chars_result end =
        std::to_chars(digits.data(), digits.data() + digits.size(), index);
    m_out += "id: ";
    m_out += m_idPrefix;
    m_out.append(digits.data(), end.ptr);
    m_out += "\ndata: ";
    for (const char c : data) {
        m_out += c;
        if (c == '\n')
            m_out += "data: ";
    }
    m_out += "\n\n";
}

void GenerationRelay::startAnswer()
{
    if (std::exchange(m_answerStarted, true))
        return;
    const std::array headers = {net::Header {"Content-Type", "text/event-stream"},
                                net::Header {"Cache-Control", "no-store"},
                                net::Header {"X-Entry", m_parts.member.text()}};
    // A failed write shows again at the next one, where it is handled.
    static_cast<void>(m_writer.startStream(200, headers));
}

bool GenerationRelay::flush()
{
    if (m_out.empty())
        return true;
    startAnswer();
    const bool written = m_writer.write(m_out).has_value();
    m_out.clear();
    return written;
}

void GenerationRelay::finish()
{
    m_next = Next::Stop;
    chargeTokens();
    releaseAdmission(EndKind::Completed);
    m_parts.metrics.counter("fescue_generations_total", {{"result", "finished"}}).Increment();
    if (!m_streamed) {
        const nlohmann::json body = {
            {"object", "text_completion"},
            {"choices", {{{"text", m_text}, {"index", 0}, {"finish_reason", "stop"}}}},
            {"usage", {{"completion_tokens", m_machine->deliveredTokens()}}},
        };
        static_cast<void>(m_writer.send(net::jsonResponse(
            200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace))));
        return;
    }
    m_out += "data: [DONE]\n\n";
    if (flush())
        static_cast<void>(m_writer.finish());
}

void GenerationRelay::fail(const generation::FailFinal &failure)
{
    m_next = Next::Stop;
    chargeTokens();
    releaseAdmission(EndKind::Aborted);
    const std::string name {toString(failure.code)};
    m_parts.metrics.counter("fescue_generations_total", {{"result", name}}).Increment();
    std::string detail {describe(failure.code)};
    if (failure.deliveredTokens > 0)
        detail += "; " + std::to_string(failure.deliveredTokens) + " tokens were delivered";
    const net::Problem problem =
        makeProblem(failure.code, failure.runState, std::move(detail), failure.retryAfter);
    if (m_answerStarted || !m_out.empty()) {
        m_out += toEvent(problem);
        if (flush())
            static_cast<void>(m_writer.finish());
        return;
    }
    static_cast<void>(m_writer.send(net::problemResponse(problem)));
}

void GenerationRelay::cancelAtEngine(const GenerationId &generation)
{
    m_stream.close();
    const std::optional<net::Address> address =
        m_parts.views.current()->addressOf(generation.endpoint);
    if (!address)
        return;
    net::HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/streams/" + generation.stream;
    request.mayResend = true;
    // On a fiber of its own, so that the caller's final answer does not wait for the engine. A
    // cancellation that is lost costs only the engine's time.
    m_parts.pool.spawn(net::currentWorker(),
                       [&client = m_parts.client, address = *address, request,
                        timeout = m_parts.limits.engineHeadTimeout] {
                           static_cast<void>(client.request(address, request, timeout));
                       });
}

void GenerationRelay::chargeTokens()
{
    const std::uint32_t n = std::exchange(m_uncharged, 0);
    if (n == 0)
        return;
    m_parts.metrics.counter("fescue_tokens_total").Increment(n);
    if (m_admitted)
        m_parts.admission.tokensProduced(m_request->id, n);
}

void GenerationRelay::releaseAdmission(EndKind kind)
{
    if (std::exchange(m_admitted, false))
        m_parts.admission.ended(m_request->id, kind);
}

} // namespace fescue::gateway
