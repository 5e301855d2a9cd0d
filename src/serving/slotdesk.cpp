#include "fescue/serving/slotdesk.h"

#include "fescue/core/rendezvous.h"
#include "fescue/observe/log.h"

#include <algorithm>
#include <chrono>

namespace fescue::serving {

namespace {

// A broker in the region answers within a few milliseconds. One that does not is asked again once.
constexpr Millis answerTime = 15_ms;
constexpr int maxUnanswered = 2;
// Brokers that are tried for one request.
constexpr int maxBrokers = 2;
// Requests in one report, which has to fit into a datagram.
constexpr std::size_t maxReported = 256;
// Reports that tell a broker that this process no longer holds anything.
constexpr int lastReports = 3;
// While a request waits, it asks again at this interval, since its answer may have been lost.
constexpr Millis repeatInterval = 60_ms;
// Time before its caller's deadline at which a request no longer waits, so that the caller gets the
// refusal.
constexpr Millis refusalMargin = 20_ms;
// A service stays under pressure for this time after the last sign of it.
constexpr Millis pressureTime = 2_s;
// For this time the choice of a broker holds, and the broker's list of endpoints; the process that
// sends checks both.
constexpr Millis choiceTime = 200_ms;
constexpr Millis endpointsTime = 50_ms;
constexpr Millis logInterval = 1_s;

} // namespace

bool SlotDesk::isShared(const ServiceName &service)
{
    const ServiceSpec *spec = m_state->routes ? m_state->routes->findService(service) : nullptr;
    if (spec == nullptr || spec->engine)
        return false;
    const Millis now = ServingState::now();
    std::size_t slots = 0;
    std::size_t used = 0;
    bool rejects = false;
    for (const EndpointView *view : m_state->candidates(service)) {
        const EndpointRecord &record = view->record;
        slots += record.slots;
        used += m_state->ledger.total(now, record.name).requests;
        rejects |= m_state->pressedEndpoints.isPaused(now, record.name, record.incarnation);
    }
    if (slots == 0 || slots >= m_state->membersForShares())
        return false;
    Millis &pressedUntil = m_pressed[service];
    if (rejects || used * 2 >= slots)
        pressedUntil = now + pressureTime;
    return now < pressedUntil;
}

std::optional<MemberName> SlotDesk::brokerOf(const ServiceName &service)
{
    const Millis now = ServingState::now();
    Choice &choice = m_brokers[service];
    if (now < choice.until)
        return choice.member;
    std::optional<MemberName> first;
    std::uint64_t best = 0;
    for (const MemberView &member : m_state->members.members(now)) {
        const MemberName &name = member.info.name;
        const bool isAsked = member.state == MemberState::Live && !m_silent.isPaused(now, name);
        if (!isAsked || member.info.leaving)
            continue;
        const std::uint64_t score = rendezvousScore(service.text(), name.text());
        if (!first || score > best) {
            best = score;
            first = name;
        }
    }
    choice = {first, now + choiceTime};
    return first;
}

SlotDesk::Brokered &SlotDesk::brokered(const ServiceName &service)
{
    Brokered &entry = m_brokered[service];
    const Millis now = ServingState::now();
    if (entry.endpointsAt > Millis {0} && now - entry.endpointsAt < endpointsTime)
        return entry;
    entry.endpointsAt = now;
    std::vector<SlotEndpoint> endpoints;
    for (const EndpointView *view : m_state->candidates(service)) {
        const EndpointRecord &record = view->record;
        if (record.slots > 0)
            endpoints.push_back({record.name, record.zone, record.slots, view->isCold(now)});
    }
    entry.broker.setEndpoints(endpoints);
    return entry;
}

void SlotDesk::count(std::string_view what)
{
    m_state->metrics.counter("fescue_slot_requests_total", {{"outcome", std::string(what)}})
        .Increment();
}

void SlotDesk::pass(const MemberName &to, const SlotMessage &message)
{
    if (to == m_state->settings.name)
        serve(message);
    else
        static_cast<void>(m_send(to, encodeSlotMessage(message)));
}

SlotKey SlotDesk::keyOf(std::uint64_t number) const
{
    return {m_state->settings.name, m_incarnation, number};
}

bool SlotDesk::isFromMember(const SlotMessage &message) const
{
    SlotKey key;
    if (const SlotAsk *ask = std::get_if<SlotAsk>(&message.content))
        key = ask->key;
    else if (const SlotReturn *returned = std::get_if<SlotReturn>(&message.content))
        key = returned->key;
    else if (const SlotReport *report = std::get_if<SlotReport>(&message.content))
        key = report->next;
    return key.member == m_state->settings.name
        || m_state->members.mayLive(ServingState::now(), key.member, key.incarnation);
}

void SlotDesk::serve(const SlotMessage &message)
{
    const Millis now = ServingState::now();
    if (const SlotAnswer *answer = std::get_if<SlotAnswer>(&message.content)) {
        receive(*answer);
        return;
    }
    if (!isFromMember(message)) {
        m_state->metrics.counter("fescue_slot_messages_from_unknown_total").Increment();
        return;
    }
    // A process that knows no endpoints cannot tell that none has room.
    if (m_state->candidates(message.service).empty())
        return;
    Brokered &entry = brokered(message.service);
    std::vector<SlotAnswer> answers;
    if (const SlotAsk *ask = std::get_if<SlotAsk>(&message.content)) {
        answers = entry.broker.ask(now, *ask);
    } else if (const SlotReport *report = std::get_if<SlotReport>(&message.content)) {
        answers = entry.broker.reconcile(now, *report);
    } else {
        const SlotReturn &returned = std::get<SlotReturn>(message.content);
        entry.rejected += returned.use == SlotUse::Rejected ? 1 : 0;
        answers = entry.broker.giveBack(now, returned);
    }
    for (const SlotAnswer &answer : answers) {
        entry.granted += answer.verdict == SlotVerdict::Granted ? 1 : 0;
        entry.queued += answer.verdict == SlotVerdict::Waiting ? 1 : 0;
        entry.refused += answer.verdict == SlotVerdict::Refused ? 1 : 0;
    }
    deliver(message.service, answers);
}

void SlotDesk::deliver(const ServiceName &service, const std::vector<SlotAnswer> &answers)
{
    for (const SlotAnswer &answer : answers) {
        if (answer.key.member == m_state->settings.name)
            receive(answer);
        else
            static_cast<void>(m_send(answer.key.member, encodeSlotMessage({service, answer})));
    }
}

void SlotDesk::receive(const SlotAnswer &answer)
{
    const auto it = m_pending.find(answer.key.number);
    // A request that has gone on without the slot has told the broker so. An earlier life of this
    // process has used the same numbers.
    if (it == m_pending.end() || answer.key != keyOf(answer.key.number))
        return;
    it->second->answer = answer;
    it->second->changed = true;
    it->second->condition.notify_all();
}

bool SlotDesk::waitForAnswer(Pending &pending, Millis until)
{
    std::unique_lock<boost::fibers::mutex> lock(pending.mutex);
    while (!pending.changed) {
        const Millis left = until - ServingState::now();
        if (left <= Millis {0})
            return false;
        static_cast<void>(pending.condition.wait_for(lock, std::chrono::milliseconds(left.count)));
    }
    pending.changed = false;
    return true;
}

SlotGrant SlotDesk::acquire(const SlotWish &wish)
{
    SlotGrant grant;
    if (!isShared(wish.service))
        return grant;
    const Millis until = wish.deadline - refusalMargin;
    if (ServingState::now() >= until)
        return grant;
    for (int tried = 0; tried < maxBrokers; ++tried) {
        const std::optional<MemberName> broker = brokerOf(wish.service);
        if (!broker)
            break;
        grant.broker = *broker;
        grant.number = m_nextNumber++;
        Pending pending;
        m_pending[grant.number] = &pending;
        m_holdings[{wish.service, *broker}].numbers.insert(grant.number);
        int unanswered = 0;
        while (unanswered < maxUnanswered && !net::stopRequested()) {
            const Millis now = ServingState::now();
            const SlotAsk ask {keyOf(grant.number), m_state->settings.zone, wish.account,
                               wish.priority,       wish.deadline - now,    wish.target,
                               wish.tried,          wish.excluded};
            pass(*broker, {wish.service, ask});
            if (!waitForAnswer(pending, std::min(now + answerTime, until))) {
                if (ServingState::now() >= until) {
                    grant.outcome = SlotOutcome::Refused;
                    break;
                }
                ++unanswered;
                continue;
            }
            unanswered = 0;
            m_silent.recordAnswer(*broker);
            if (pending.answer->verdict == SlotVerdict::Waiting)
                static_cast<void>(waitForAnswer(pending, std::min(now + repeatInterval, until)));
            if (pending.answer->verdict == SlotVerdict::Granted)
                grant.outcome = SlotOutcome::Granted;
            else if (pending.answer->verdict == SlotVerdict::Refused
                     || ServingState::now() >= until)
                grant.outcome = SlotOutcome::Refused;
            else if (wish.callerGone())
                grant.outcome = SlotOutcome::CallerGone;
            else
                continue;
            break;
        }
        m_pending.erase(grant.number);
        if (grant.outcome == SlotOutcome::Granted) {
            grant.endpoint = pending.answer->endpoint;
            grant.grantedAt = ServingState::now();
            count("granted");
            return grant;
        }
        // Also for answers that were lost or come late.
        giveBack(wish.service, *broker, {keyOf(grant.number), SlotUse::Unused, Millis {0}});
        if (net::stopRequested())
            return grant;
        if (grant.outcome != SlotOutcome::Unshared) {
            count(grant.outcome == SlotOutcome::Refused ? "refused" : "caller-gone");
            return grant;
        }
        const Millis pause =
            m_silent.recordSilence(ServingState::now(), *broker, m_state->uniform());
        m_brokers.erase(wish.service);
        observe::logChange("slot-broker-silent",
                           {{"service", wish.service.text()},
                            {"member", broker->text()},
                            {"pause_ms", pause.count}});
    }
    count("unanswered");
    return grant;
}

void SlotDesk::giveBack(const ServiceName &service, const SlotGrant &grant, SlotUse use)
{
    if (grant.outcome != SlotOutcome::Granted)
        return;
    const Millis took = ServingState::now() - grant.grantedAt;
    giveBack(service, grant.broker, {keyOf(grant.number), use, took});
}

void SlotDesk::giveBack(const ServiceName &service, const MemberName &broker,
                        const SlotReturn &returned)
{
    Holding &holding = m_holdings[{service, broker}];
    holding.numbers.erase(returned.key.number);
    holding.reportsLeft = lastReports;
    pass(broker, {service, returned});
    // A lost return would keep the slot until the next report; the second one changes nothing.
    if (returned.use != SlotUse::Unused && broker != m_state->settings.name)
        pass(broker, {service, returned});
}

void SlotDesk::reportHoldings()
{
    for (auto it = m_holdings.begin(); it != m_holdings.end();) {
        const auto current = it++;
        const std::set<std::uint64_t> &numbers = current->second.numbers;
        const MemberName &broker = current->first.second;
        const bool isOver = numbers.empty() && current->second.reportsLeft-- <= 0;
        if (isOver || broker == m_state->settings.name) {
            if (numbers.empty())
                m_holdings.erase(current);
            continue;
        }
        SlotReport report {keyOf(m_nextNumber), numbers};
        if (numbers.size() > maxReported) {
            const auto first = std::next(numbers.begin(), maxReported);
            report = {keyOf(*first), {numbers.begin(), first}};
        }
        pass(broker, {current->first.first, report});
    }
}

bool SlotDesk::handle(std::string_view bytes)
{
    const Result<SlotMessage> message = decodeSlotMessage(bytes);
    if (!message)
        return false;
    serve(*message);
    return true;
}

void SlotDesk::tick(Millis now)
{
    m_silent.purge(now);
    reportHoldings();
    for (std::pair<const ServiceName, Brokered> &item : m_brokered) {
        Brokered &entry = brokered(item.first);
        deliver(item.first, entry.broker.expire(now));
        const bool changed = entry.queued + entry.refused + entry.rejected > 0;
        if (!changed || now - entry.loggedAt < logInterval)
            continue;
        std::string limits;
        for (const EndpointView *view : m_state->candidates(item.first)) {
            const double limit = entry.broker.limitOf(view->record.name);
            limits += (limits.empty() ? "" : " ") + view->record.name.text() + ":"
                + std::to_string(static_cast<int>(limit));
        }
        observe::logChange("slots",
                           {{"service", item.first.text()},
                            {"granted", entry.granted},
                            {"queued", entry.queued},
                            {"refused", entry.refused},
                            {"rejected", entry.rejected},
                            {"waiting", entry.broker.waiting()},
                            {"used", entry.broker.granted()},
                            {"limits", limits}});
        entry.granted = entry.queued = entry.refused = entry.rejected = 0;
        entry.loggedAt = now;
    }
}

} // namespace fescue::serving
