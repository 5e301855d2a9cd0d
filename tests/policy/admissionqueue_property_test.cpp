#include "fescue/emulator.h"
#include "fescue/policy.h"

#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::emulator;

const EndpointName engineName("engine-1");
const ServiceName serviceName("drafts");

// Simulates several entries, one credit authority and one engine that can be killed, on a manual
// clock.
class SmallSystem
{
public:
    explicit SmallSystem(std::size_t entries)
        : m_engine(settingsOf(), Incarnation {1}, 0_ms),
          m_authority(capacityOf(), {}, FencingNumber {1})
    {
        for (std::size_t i = 0; i < entries; ++i)
            m_entries.push_back(std::make_unique<Entry>("entry-" + std::to_string(i)));
    }

    void arrive(std::size_t entry, std::uint32_t output, Millis patience)
    {
        Request request;
        request.id = RequestId {m_requests.size()};
        request.account = AccountName("account-" + std::to_string(output % 3));
        request.service = serviceName;
        request.promptTokens = 50;
        request.maxTokens = 1000;
        request.deadline = m_clock.now() + patience;
        m_requests.push_back({entry % m_entries.size(), output, 0, 0, false});
        apply(m_entries[entry % m_entries.size()]->queue.arrival(request, m_clock.now()));
    }
    void kill() { m_engine.kill(m_clock.now()); }
    void run(Millis time)
    {
        for (Millis left = time; left > Millis {0}; left -= 50_ms)
            step();
    }
    [[nodiscard]] bool crashedUnderLoad() const noexcept { return m_crashedUnderLoad; }
    [[nodiscard]] std::size_t withEnds(std::uint32_t ends) const
    {
        std::size_t n = 0;
        for (const RequestRecord &track : m_requests)
            n += track.ends == ends ? 1 : 0;
        return n;
    }
    [[nodiscard]] std::size_t requests() const noexcept { return m_requests.size(); }
    [[nodiscard]] bool inOrder() const noexcept { return m_inOrder; }

private:
    struct Entry
    {
        explicit Entry(const std::string &name)
            : creditBalance(MemberName(name)),
              queue(serviceName, CreditPolicy(ProfileSettings {}), creditBalance, forecast)
        { }
        CreditBalance creditBalance;
        LengthForecast forecast;
        AdmissionQueue<CreditPolicy> queue;
    };
    struct RequestRecord
    {
        std::size_t entry;
        std::uint32_t output;
        std::uint32_t delivered;
        std::uint32_t ends;
        bool onEngine;
    };

    static EngineSettings settingsOf()
    {
        EngineSettings settings;
        settings.maxBatch = 8;
        settings.memoryTokens = 8000;
        settings.restartTime = 3_s;
        return settings;
    }
    static EndpointCapacity capacityOf()
    {
        EndpointCapacity capacity;
        capacity.endpoint = engineName;
        capacity.slots = 8;
        capacity.memoryTokens = 8000;
        return capacity;
    }

    void step()
    {
        m_clock.advance(50_ms);
        const Millis now = m_clock.now();
        for (const EngineEvent &event : m_engine.advance(now))
            handle(event);
        if (!m_engine.isDown())
            reportLoad();
        const std::vector<EligibleEndpoint> none;
        for (const std::unique_ptr<Entry> &entry : m_entries) {
            apply(entry->queue.setEligible(
                m_engine.isDown() ? none : std::vector<EligibleEndpoint> {{engineName, true}},
                now));
            const CreditGrant grant = m_authority.answer(entry->queue.demand(engineName, now), now);
            if (entry->creditBalance.apply(grant, now))
                apply(entry->queue.creditChanged(now));
        }
    }
    void reportLoad()
    {
        const EngineLoad load = m_engine.loadReport(m_clock.now());
        LoadReport report;
        report.incarnation = load.incarnation;
        report.running = load.running;
        report.waiting = load.waiting;
        report.memoryUsed = load.memoryUsed;
        report.cold = load.cold;
        report.tokensTotal = load.tokensTotal;
        report.age = load.age;
        m_authority.observeLoad(report, m_clock.now());
    }
    void handle(const EngineEvent &event)
    {
        if (event.kind == EngineEventKind::Crashed) {
            loseEngine();
            return;
        }
        RequestRecord *track = event.stream.value < m_streams.size()
            ? &m_requests[m_streams[event.stream.value]]
            : nullptr;
        if (event.kind == EngineEventKind::TokenProduced) {
            m_inOrder = m_inOrder && event.index == track->delivered;
            ++track->delivered;
            m_entries[track->entry]->queue.tokensProduced(RequestId {m_streams[event.stream.value]},
                                                          1, m_clock.now());
        } else if (event.kind == EngineEventKind::Finished) {
            end(m_streams[event.stream.value], EndKind::Completed);
        }
    }
    void loseEngine()
    {
        for (const std::unique_ptr<Entry> &entry : m_entries)
            entry->creditBalance.endpointLost(engineName);
        for (std::size_t i = 0; i < m_requests.size(); ++i) {
            if (!m_requests[i].onEngine)
                continue;
            m_requests[i].onEngine = false;
            if (m_requests[i].delivered > 0)
                end(i, EndKind::Aborted);
            else
                apply(m_entries[m_requests[i].entry]->queue.returned(RequestId {i}, m_clock.now()));
        }
    }
    void end(std::size_t request, EndKind kind)
    {
        RequestRecord &track = m_requests[request];
        ++track.ends;
        track.onEngine = false;
        apply(m_entries[track.entry]->queue.ended(RequestId {request}, kind, m_clock.now()));
    }
    void apply(const std::vector<Decision> &decisions)
    {
        for (const Decision &decision : decisions) {
            if (const Refuse *refused = std::get_if<Refuse>(&decision))
                ++m_requests[refused->id.value].ends;
            else
                start(std::get<Start>(decision));
        }
    }
    void start(const Start &decision)
    {
        RequestRecord &track = m_requests[decision.id.value];
        const StreamId stream {m_streams.size()};
        const SubmitResult result =
            m_engine.submit({stream, {}, 50, track.output, 0}, m_clock.now());
        m_streams.push_back(decision.id.value);
        m_crashedUnderLoad = m_crashedUnderLoad || result == SubmitResult::Crashed;
        track.onEngine = result == SubmitResult::Accepted;
        if (!track.onEngine)
            apply(m_entries[track.entry]->queue.returned(decision.id, m_clock.now()));
    }

    ManualClock m_clock;
    EngineModel m_engine;
    CreditAuthority m_authority;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::deque<RequestRecord> m_requests;
    std::vector<std::size_t> m_streams;
    bool m_crashedUnderLoad = false;
    bool m_inOrder = true;
};

RC_GTEST_PROP(AdmissionQueueProperty, EveryRequestEndsOnceAndAFreshEngineIsNotOverloaded, ())
{
    SmallSystem system(*rc::gen::inRange<std::size_t>(1, 5));
    const std::vector<int> events =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
    for (const int event : events) {
        if (event < 20)
            system.kill();
        else if (event < 700)
            system.arrive(static_cast<std::size_t>(event), static_cast<std::uint32_t>(event / 3),
                          Millis {500 + event * 20});
        else
            system.run(Millis {event});
    }
    system.run(200_s);
    RC_ASSERT(!system.crashedUnderLoad());
    RC_ASSERT(system.inOrder());
    RC_ASSERT(system.withEnds(1) == system.requests());
}

} // namespace
