#include "tests/soak/callers.h"

#include "platform/names.h"

#include <algorithm>
#include <array>

namespace fescue::soak {

namespace names = platform::names;

namespace {

constexpr std::size_t sessionCount = 12;
constexpr Millis readGap = 60_ms;
constexpr Millis postGap = 40_ms;
constexpr Millis draftGap = 300_ms;
constexpr Millis verdictGap = 120_ms;
constexpr Millis plainPatience = 1500_ms;
constexpr Millis draftPatience = 20_s;
constexpr Millis verdictPatience = 6_s;
// Pause of a caller whose stream broke off.
constexpr Millis goOnPause = 100_ms;
constexpr Millis resolveTimeout = 1_s;
constexpr Millis resolvePause = 200_ms;
// A caller reads on for this long after its deadline, so that late answers are seen.
constexpr Millis lateReading = 2_s;
// Time after which the directory may no longer name a process that is gone: the users'
// StableWindowMs and three seconds.
constexpr Millis directoryLag = 6_s;
constexpr std::uint32_t fewestEvents = 20;
constexpr std::uint32_t mostEvents = 160;
constexpr std::uint32_t mostVerdictEvents = 60;
constexpr std::size_t mostBody = 64UL * 1024;

} // namespace

Callers::Callers(World &world, std::uint64_t seed) : m_world(&world), m_random(seed)
{
    for (std::size_t i = 0; i < sessionCount; ++i) {
        m_sessions.push_back(std::make_unique<Session>());
        m_sessions.back()->zone = zones[i % zones.size()];
    }
}

double Callers::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void Callers::run()
{
    net::WorkerPool &pool = m_world->pool;
    pool.spawn(0, [this] { sendPeriodically(CallKind::Read, readGap); });
    pool.spawn(0, [this] { sendPeriodically(CallKind::Post, postGap); });
    pool.spawn(0, [this] { sendPeriodically(CallKind::Draft, draftGap); });
    if (m_world->options.hasResumable)
        pool.spawn(0, [this] { sendPeriodically(CallKind::Verdict, verdictGap); });
}

void Callers::sendPeriodically(CallKind kind, Millis meanGap)
{
    while (!m_world->stopping) {
        const double gap = static_cast<double>(meanGap.count) * 2 * uniform();
        net::sleepFor(Millis {static_cast<std::int64_t>(gap) + 1});
        const Order order = draw(kind);
        m_world->pool.spawn(0, [this, order] { place(order); });
    }
}

Callers::Order Callers::draw(CallKind kind)
{
    constexpr double extraPart = 0.1;
    constexpr double spareKeyPart = 0.1;
    constexpr double leavingPart = 0.08;
    constexpr double forgingPart = 0.05;
    const std::array<std::string_view, 3> accounts {"diner", "kiosk", "coffee"};
    Order order;
    order.kind = kind;
    order.prefix = '/' + std::string(toString(kind)) + '/';
    if (kind == CallKind::Read && uniform() < extraPart)
        order.prefix = "/extra/";
    const std::string account(accounts[m_random() % accounts.size()]);
    order.key = (uniform() < spareKeyPart ? "spare-" : "key-") + account;
    if (uniform() < leavingPart) {
        const double most = isStreamed(kind) ? 2000 : 100;
        order.leavesAfter = Millis {static_cast<std::int64_t>(uniform() * most)};
    }
    order.forges = uniform() < forgingPart;
    const double crashingShare = m_world->options.crashingShare;
    order.crashing = kind == CallKind::Draft && crashingShare > 0 && uniform() < crashingShare;
    if (order.crashing)
        order.leavesAfter.reset();
    return order;
}

void Callers::resolve(Session &session)
{
    if (World::now() < session.askAgainAt || m_world->stopping)
        return;
    session.askAgainAt = World::now() + resolvePause;
    const std::size_t asked = m_random() % m_world->entries.size();
    net::HttpRequest request;
    request.target = names::resolutionPath;
    request.query = "Name=" + std::string(soakHost) + "&Region=soak&Zone=" + session.zone;
    request.freshConnection = true;
    const Result<net::HttpResponse> answer = session.client.request(
        m_world->entries[asked].process->directory(), request, resolveTimeout);
    if (answer && answer->status == 200)
        takeDirectory(session, asked, answer->body);
}

void Callers::takeDirectory(Session &session, std::size_t asked, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("Addresses")) {
        m_world->ledger.violation("MIXED", "an answer of the directory is not readable");
        return;
    }
    session.entries.clear();
    const Millis now = World::now();
    for (const Json &address : json["Addresses"]) {
        for (std::size_t i = 0; i < m_world->entries.size(); ++i) {
            const Entry &entry = m_world->entries[i];
            if (entry.process->front().toString() != address.get<std::string>())
                continue;
            session.entries.push_back(i);
            const bool gone = !entry.process->isRunning() && now > entry.endedAt + directoryLag;
            if (gone && m_world->disturbances.inTouch(asked, now))
                m_world->ledger.violation("DRAIN", "the directory names " + entry.process->name());
        }
    }
    const double ttl = std::clamp(json.value("TtlS", 1.0), 0.1, 5.0);
    session.askAgainAt = now + Millis {static_cast<std::int64_t>(ttl * 1000)};
}

void Callers::place(const Order &order)
{
    Session &session = *m_sessions[m_random() % m_sessions.size()];
    resolve(session);
    if (session.entries.empty() || m_world->stopping)
        return;
    Call call;
    call.id = "c" + std::to_string(++m_lastCall);
    call.kind = order.kind;
    call.prefix = order.prefix;
    call.key = order.key;
    call.entry = session.entries[m_random() % session.entries.size()];
    call.patience = order.kind == CallKind::Draft ? draftPatience
        : order.kind == CallKind::Verdict         ? verdictPatience
                                                  : plainPatience;
    const std::uint32_t most = order.kind == CallKind::Verdict ? mostVerdictEvents : mostEvents;
    call.events = fewestEvents + static_cast<std::uint32_t>(m_random() % (most - fewestEvents));
    if (order.events > 0)
        call.events = order.events;
    call.position = order.position;
    call.crashing = order.crashing;
    call.sentAt = World::now();
    perform(session, m_world->ledger.callerSends(call), order);
}

net::HttpRequest Callers::makeRequest(const Call &call, const Order &order) const
{
    net::HttpRequest request;
    request.method = call.kind == CallKind::Read ? "GET" : "POST";
    request.target = call.prefix + "2f";
    request.headers = {{"Host", std::string(soakHost)},
                       {std::string(names::requestId), call.id},
                       {std::string(names::deadline), std::to_string(call.patience.count)},
                       {"Authorization", std::string(names::keyScheme) + call.key}};
    if (call.kind != CallKind::Read)
        request.body = "body of " + call.id;
    if (isStreamed(call.kind)) {
        const std::string output = std::to_string(call.events * 4);
        request.headers.push_back({"X-Model-Id", "m"});
        request.headers.push_back({std::string(names::tokens), "3000,2000"});
        const std::string crashing = call.crashing ? "dead:40," : "";
        request.headers.push_back(
            {std::string(names::promptParts), "a1:79," + crashing + "b" + call.id + ":2921"});
        request.headers.push_back({std::string(names::lengthHint), output});
        if (call.position > 0) {
            request.headers.push_back(
                {std::string(names::lastEventId), std::to_string(call.position)});
        }
    }
    if (order.forges) {
        request.headers.push_back({std::string(names::hold), "1"});
        request.headers.push_back({std::string(names::pin), "100"});
        request.headers.push_back({std::string(names::copyFrom), "forged"});
    }
    return request;
}

void Callers::perform(Session &session, Call &call, const Order &order)
{
    const Millis leavesAt = order.leavesAfter ? call.sentAt + *order.leavesAfter : endOfTime;
    const std::function<bool()> leaves = [leavesAt] { return World::now() >= leavesAt; };
    const net::Address address = m_world->entries[call.entry].callerRelay->address();
    Result<net::ClientStream> stream = session.client.openStream(
        address, makeRequest(call, order), call.patience + lateReading, leaves);
    if (!stream) {
        const ResultCode code = stream.error().code;
        if (code == ResultCode::BackEndProtocol)
            m_world->ledger.violation("MIXED", call.id + " got bytes that are no answer");
        end(call,
            code == ResultCode::Cancelled            ? CallEnd::Left
                : code == ResultCode::ConnectFailed  ? CallEnd::NotConnected
                : code == ResultCode::BackEndTimeout ? CallEnd::TimedOut
                                                     : CallEnd::Broken,
            0);
        return;
    }
    call.status = stream->status();
    if (isStreamed(call.kind) && call.status == 200)
        readEvents(*stream, call, leaves);
    else
        readPlain(*stream, call);
    const bool refused = call.end == CallEnd::Answered && call.status == 503;
    if (refused && !order.isRetry)
        comeBack(order, stream->header("Retry-After"), call.sentAt + call.patience);
    if (call.kind == CallKind::Verdict && call.end == CallEnd::Broken)
        goOn(order, call);
}

void Callers::end(Call &call, CallEnd end, int status)
{
    m_world->ledger.callerEnds(call, end, status, World::now());
}

void Callers::readPlain(net::ClientStream &stream, Call &call)
{
    const bool success = call.status == 200;
    const bool isSigned = !stream.header("X-Server-Signature").empty();
    const Result<std::string> body = stream.readAll(mostBody, call.patience + lateReading);
    if (!body) {
        end(call, CallEnd::Broken, 0);
        return;
    }
    if (success && (!isSigned || *body != plainAnswer(call.id)))
        m_world->ledger.violation("MIXED", call.id + " got another answer than its endpoint gave");
    if (isSigned && call.kind != CallKind::Read && call.status != call.endpointStatus)
        m_world->ledger.violation("MIXED", call.id + " got another status than its endpoint gave");
    end(call, CallEnd::Answered, call.status);
}

void Callers::readEvents(net::ClientStream &stream, Call &call, const std::function<bool()> &leaves)
{
    std::array<char, 4096> buf {};
    std::string text;
    std::uint64_t next = call.position + 1;
    const Millis until = call.sentAt + call.patience + lateReading;
    while (true) {
        if (leaves()) {
            stream.close();
            end(call, CallEnd::Left, 0);
            return;
        }
        const Result<std::size_t> n = stream.read(buf, std::max(until - World::now(), 1_ms));
        if (!n) {
            end(call,
                n.error().code == ResultCode::LinkSilent ? CallEnd::TimedOut : CallEnd::Broken, 0);
            return;
        }
        if (*n == 0)
            break;
        text.append(buf.data(), *n);
        std::size_t whole = text.find("\n\n");
        while (whole != std::string::npos) {
            if (text.substr(0, whole + 2) != eventText(call.id, next))
                m_world->ledger.violation("ORDER",
                                          call.id + " got a wrong event in place of event "
                                              + std::to_string(next));
            call.position = next++;
            text.erase(0, whole + 2);
            whole = text.find("\n\n");
        }
    }
    if (next <= call.events || !text.empty())
        m_world->ledger.violation("ORDER", call.id + " ended as complete before its last event");
    end(call, CallEnd::Answered, call.status);
}

void Callers::goOn(const Order &order, const Call &broken)
{
    if (m_world->stopping)
        return;
    Order again = order;
    again.leavesAfter.reset();
    again.position = broken.position;
    again.events = broken.events;
    m_world->pool.spawn(0, [this, again] {
        net::sleepFor(goOnPause);
        if (!m_world->stopping)
            place(again);
    });
}

void Callers::comeBack(const Order &order, std::string_view retryAfter, Millis deadline)
{
    const double seconds = std::strtod(std::string(retryAfter).c_str(), nullptr);
    const Millis pause {static_cast<std::int64_t>(seconds * 1000)};
    if (seconds <= 0 || World::now() + pause >= deadline || m_world->stopping)
        return;
    Order again = order;
    again.isRetry = true;
    m_world->pool.spawn(0, [this, again, pause] {
        net::sleepFor(pause);
        if (!m_world->stopping)
            place(again);
    });
}

} // namespace fescue::soak
