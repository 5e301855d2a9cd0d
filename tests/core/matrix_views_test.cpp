// Fault matrix of a change of the configuration over nine members in three zones: P3 and P7 (a zone
// or VM that was taken out gets no new work after 3 s) and P9 (an accepted configuration is in
// force within 3 s and never reverts). The oracle is checked at every member after every step.

#include "fescue/core/configfollower.h"
#include "fescue/core/eligibility.h"
#include "fescue/core/freshness.h"
#include "fescue/core/neighbours.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <span>

namespace {

using namespace fescue;

constexpr std::size_t memberCount = 9;
constexpr std::size_t zoneCount = 3;
constexpr Millis stepTime = 100_ms;
constexpr Millis askInterval = 500_ms;
constexpr Millis publishAt = 4_s;
constexpr Millis endAt = 22_s;
constexpr Millis inForceLimit = 3_s;
constexpr Millis slowAnswer = 1500_ms;
constexpr ConfigVersion firstVersion {1};
constexpr ConfigVersion secondVersion {2};

enum class Fault : std::uint8_t
{
    StoreDown,
    StoreCutFromZone,
    StoreSlow,
    StoreAnswersLost,
    StoreShowsOlder,
    MemberCutOff,
    MemberPaused,
    MemberRestarted,
    AllRestarted,
    ZoneCutOff,
    ZoneCutFromPeers,
    PeersSlow,
    // Heartbeats pass, and bodies that are read from peers do not.
    FetchesLost,
    Count,
};

constexpr std::size_t faultCount = static_cast<std::size_t>(Fault::Count);
constexpr std::array<Millis, 6> faultStarts {1_s, 2500_ms, 3900_ms, 4_s, 4300_ms, 6_s};
constexpr std::array<Millis, 2> faultSpans {1200_ms, 7_s};

// From when on the limit counts. The write may land and the store fail before any member has read
// it; nobody but the publisher can know of that, who is told "accepted" once a member has it.
enum class CountFrom : std::uint8_t
{
    Written,
    InForceSomewhere,
};

struct FaultWindow
{
    Fault fault = Fault::StoreDown;
    Millis from {0};
    Millis to {0};
};

// The parts of the decision core that follow the configuration at one member.
struct Member
{
    MemberInfo info;
    std::vector<std::size_t> neighbours;
    std::unique_ptr<ConfigFollower> config;
    std::unique_ptr<FreshnessJudge> judge;
    bool paused = false;
    ConfigVersion seenInForce;
};

// An answer that is under way. The store is the sender where `from` is memberCount.
struct Answer
{
    Millis arrivesAt {0};
    Millis askedAt {0};
    std::size_t from = memberCount;
    std::size_t to = 0;
    StoreVouch vouch;
    ConfigVersion inForce;
    // True where this is a configuration that a peer sends.
    bool isBody = false;
};

Snapshot makeSnapshot(ConfigVersion version)
{
    Snapshot snapshot;
    snapshot.version = version;
    const bool out = version >= secondVersion;
    snapshot.zones = {{ZoneName {"zone-0"}, "region", false},
                      {ZoneName {"zone-1"}, "region", false},
                      {ZoneName {"zone-2"}, "region", out}};
    Endpoint inZoneOut;
    inZoneOut.name = EndpointName {"in-zone-out"};
    inZoneOut.zone = ZoneName {"zone-2"};
    Endpoint onVmOut;
    onVmOut.name = EndpointName {"on-vm-out"};
    onVmOut.zone = ZoneName {"zone-0"};
    onVmOut.vm = VmName {"vm-out"};
    Endpoint stays;
    stays.name = EndpointName {"stays"};
    stays.zone = ZoneName {"zone-0"};
    snapshot.endpoints = {inZoneOut, onVmOut, stays};
    if (out)
        snapshot.vmsOut = {{VmName {"vm-out"}}};
    return snapshot;
}

class ViewWorld
{
public:
    ViewWorld()
    {
        std::vector<MemberView> views;
        for (std::size_t n = 0; n < memberCount; ++n) {
            Member &member = m_members[n];
            member.info.name = MemberName {"member-" + std::to_string(n)};
            member.info.zone = ZoneName {"zone-" + std::to_string(n % zoneCount)};
            views.push_back({member.info, MemberState::Live});
            restart(member);
        }
        for (Member &member : m_members) {
            for (const MemberName &name : chooseNeighbours(member.info, views))
                member.neighbours.push_back(indexOf(name));
        }
    }

    // Returns the first thing that went against the points, or nothing.
    std::string run(std::span<const FaultWindow> faults, CountFrom from = CountFrom::Written)
    {
        for (; m_now < endAt; m_now += stepTime) {
            m_faults = faults;
            applyWindows();
            if (m_now >= publishAt && storeUp() && !m_writtenAt)
                m_writtenAt = m_now;
            const bool counts = from == CountFrom::Written || knowing() > 0;
            if (m_writtenAt && !m_acceptedAt && counts)
                m_acceptedAt = m_now;
            for (Member &member : m_members) {
                if (!member.paused)
                    act(member);
            }
        }
        for (Member &member : m_members) {
            require(member.config->inForce() == secondVersion, "P9: not in force everywhere");
            require(mayWork(member, "stays"), "a member refuses work long after the faults");
        }
        return m_violation;
    }

    // Number of steps at which a running member refused all new work after the first 2 s.
    [[nodiscard]] std::size_t refusedSteps() const { return m_refusedSteps; }

private:
    void require(bool holds, const char *what)
    {
        if (!holds && m_violation.empty())
            m_violation = std::string {what} + " at " + std::to_string(m_now.count) + " ms";
    }

    static void restart(Member &member)
    {
        member.config = std::make_unique<ConfigFollower>();
        member.judge = std::make_unique<FreshnessJudge>();
        member.seenInForce = {};
    }

    [[nodiscard]] std::size_t indexOf(const MemberName &name) const
    {
        const auto it = std::find_if(m_members.begin(), m_members.end(),
                                     [&](const Member &m) { return m.info.name == name; });
        return static_cast<std::size_t>(it - m_members.begin());
    }

    [[nodiscard]] bool active(Fault fault) const
    {
        return std::any_of(m_faults.begin(), m_faults.end(), [&](const FaultWindow &window) {
            return window.fault == fault && m_now >= window.from && m_now < window.to;
        });
    }

    [[nodiscard]] bool starts(Fault fault) const
    {
        return std::any_of(m_faults.begin(), m_faults.end(), [&](const FaultWindow &window) {
            return window.fault == fault && m_now == window.from;
        });
    }

    // Faults of one member strike member 0, faults of one zone strike its zone.
    void applyWindows()
    {
        m_members[0].paused = active(Fault::MemberPaused);
        if (starts(Fault::MemberRestarted))
            restart(m_members[0]);
        if (starts(Fault::AllRestarted))
            std::for_each(m_members.begin(), m_members.end(), restart);
    }

    [[nodiscard]] bool storeUp() const { return !active(Fault::StoreDown); }

    // The store shows an older value only while most members have the accepted one in force. After
    // a restart of all, nobody could know of it.
    [[nodiscard]] ConfigVersion storeVersion() const
    {
        const bool older = active(Fault::StoreShowsOlder) && knowing() * 2 > memberCount;
        return m_writtenAt && !older ? secondVersion : firstVersion;
    }

    // Number of members that have the second version in force.
    [[nodiscard]] std::size_t knowing() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_members.begin(), m_members.end(), [](const Member &member) {
                return member.config->inForce() == secondVersion;
            }));
    }

    [[nodiscard]] static bool inZoneZero(std::size_t n) { return n % zoneCount == 0; }

    [[nodiscard]] bool reachesStore(std::size_t n) const
    {
        if (!storeUp() || (n == 0 && active(Fault::MemberCutOff)))
            return false;
        const bool zoneCut = active(Fault::StoreCutFromZone) || active(Fault::ZoneCutOff);
        return !(zoneCut && inZoneZero(n));
    }

    [[nodiscard]] bool reaches(std::size_t a, std::size_t b) const
    {
        if ((a == 0 || b == 0) && active(Fault::MemberCutOff))
            return false;
        const bool zoneCut = active(Fault::ZoneCutFromPeers) || active(Fault::ZoneCutOff);
        return !(zoneCut && inZoneZero(a) != inZoneZero(b));
    }

    void act(Member &member)
    {
        const std::size_t self = indexOf(member.info.name);
        // Work that was decided on before anything that arrived is read is the hardest case.
        checkOracle(member);
        receive(member, self);
        if (m_now.count % askInterval.count == 0)
            ask(member, self);
        if (const std::optional<ConfigFetch> fetch = member.config->nextFetch(m_now))
            carryOut(member, self, *fetch);
        checkOracle(member);
    }

    // Asks the store and the neighbours. What they answer is fixed now and arrives later.
    void ask(const Member &member, std::size_t self)
    {
        const bool lost = active(Fault::StoreAnswersLost) && m_now.count % 1000 == 0;
        if (reachesStore(self) && !lost)
            m_answers.push_back(
                {m_now + delay(Fault::StoreSlow), m_now, memberCount, self, {}, storeVersion()});
        for (const std::size_t peer : member.neighbours) {
            const Member &other = m_members[peer];
            if (!reaches(self, peer) || other.paused)
                continue;
            m_answers.push_back({m_now + delay(Fault::PeersSlow), m_now, peer, self,
                                 other.judge->ownVouch(m_now), other.config->inForce()});
        }
    }

    [[nodiscard]] Millis delay(Fault slow) const { return active(slow) ? slowAnswer : stepTime; }

    void receive(Member &member, std::size_t self)
    {
        for (const Answer &answer : m_answers) {
            if (answer.to != self || answer.arrivesAt > m_now)
                continue;
            if (answer.isBody) {
                offer(member, answer.inForce, ConfigSource::Peer);
                continue;
            }
            if (answer.from == memberCount) {
                member.judge->storeContact(answer.askedAt, answer.inForce);
                offer(member, answer.inForce, ConfigSource::Store);
                continue;
            }
            const MemberName &peer = m_members[answer.from].info.name;
            member.judge->peerAnswered(peer, answer.askedAt, answer.vouch);
            member.config->peerHas(m_now, peer, answer.inForce);
            member.judge->versionExists(answer.inForce);
        }
        std::erase_if(m_answers, [&](const Answer &answer) {
            return answer.to == self && answer.arrivesAt <= m_now;
        });
    }

    void carryOut(Member &member, std::size_t self, const ConfigFetch &fetch)
    {
        if (fetch.from == ConfigSource::Store) {
            if (reachesStore(self))
                offer(member, storeVersion(), ConfigSource::Store);
            return;
        }
        const std::size_t peer = indexOf(fetch.peer);
        if (!reaches(self, peer) || m_members[peer].paused || active(Fault::FetchesLost))
            return;
        const ConfigVersion body = m_members[peer].config->inForce();
        m_answers.push_back({m_now + delay(Fault::PeersSlow), m_now, peer, self, {}, body, true});
    }

    static void offer(Member &member, ConfigVersion version, ConfigSource source)
    {
        if (version.value > 0)
            static_cast<void>(member.config->offer(version, source));
    }

    [[nodiscard]] bool mayWork(Member &member, const char *endpoint) const
    {
        if (!member.config->ready(m_now, member.neighbours.size()))
            return false;
        const ConfigVersion inForce = member.config->inForce();
        const FreshnessVerdict verdict =
            member.judge->verdict(m_now, inForce, member.neighbours.size());
        const Snapshot &snapshot = inForce < secondVersion ? m_first : m_second;
        return judgeEndpoint(EndpointName {endpoint}, snapshot, m_vms, verdict)
            == Eligibility::Eligible;
    }

    void checkOracle(Member &member)
    {
        const ConfigVersion inForce = member.config->inForce();
        require(inForce >= member.seenInForce, "P9: the configuration went back");
        member.seenInForce = inForce;
        const bool works = mayWork(member, "stays");
        if (m_now >= 2_s && !works)
            ++m_refusedSteps;
        if (!m_acceptedAt || m_now - *m_acceptedAt <= inForceLimit)
            return;
        require(!mayWork(member, "in-zone-out"), "P3: new work in a zone that is out");
        require(!mayWork(member, "on-vm-out"), "P7: new work on a VM that is out");
        require(!works || inForce >= secondVersion, "P9: works on an older configuration");
    }

    Millis m_now {0};
    std::span<const FaultWindow> m_faults;
    std::array<Member, memberCount> m_members;
    std::vector<Answer> m_answers;
    std::optional<Millis> m_writtenAt;
    std::optional<Millis> m_acceptedAt;
    Snapshot m_first = makeSnapshot(firstVersion);
    Snapshot m_second = makeSnapshot(secondVersion);
    VmList m_vms;
    std::size_t m_refusedSteps = 0;
    std::string m_violation;
};

FaultWindow makeWindow(std::size_t fault, std::size_t start, std::size_t span)
{
    return {static_cast<Fault>(fault), faultStarts[start], faultStarts[start] + faultSpans[span]};
}

class ViewMatrix : public testing::TestWithParam<std::tuple<std::size_t, std::size_t, std::size_t>>
{
protected:
    [[nodiscard]] static FaultWindow fault()
    {
        return makeWindow(std::get<0>(GetParam()), std::get<1>(GetParam()),
                          std::get<2>(GetParam()));
    }
};

TEST_P(ViewMatrix, SingleFault)
{
    EXPECT_EQ(ViewWorld().run(std::array {fault()}), "");
}

TEST_P(ViewMatrix, EveryPairWithASecondFault)
{
    for (std::size_t second = std::get<0>(GetParam()); second < faultCount; ++second) {
        for (std::size_t start = 0; start < faultStarts.size(); ++start) {
            const FaultWindow other = makeWindow(second, start, start % faultSpans.size());
            ASSERT_EQ(ViewWorld().run(std::array {fault(), other}, CountFrom::InForceSomewhere), "")
                << "second fault " << second << " from " << other.from.count << " ms";
        }
    }
}

INSTANTIATE_TEST_SUITE_P(FaultsBySteps, ViewMatrix,
                         testing::Combine(testing::Range(std::size_t {0}, faultCount),
                                          testing::Range(std::size_t {0}, faultStarts.size()),
                                          testing::Range(std::size_t {0}, faultSpans.size())));

TEST(ViewMatrixService, AnOutageOfTheStoreStopsNobody)
{
    ViewWorld world;
    EXPECT_EQ(world.run(std::array {FaultWindow {Fault::StoreDown, 3_s, 17_s}}), "");
    EXPECT_EQ(world.refusedSteps(), 0U);
}

// True for faults that can keep a member from every peer that knows the newest version. Together
// with a store that shows an older value, such a member cannot know better.
bool hidesPeers(const FaultWindow &window)
{
    switch (window.fault) {
    case Fault::StoreCutFromZone:
    case Fault::MemberCutOff:
    case Fault::MemberRestarted:
    case Fault::AllRestarted:
    case Fault::ZoneCutOff:
    case Fault::ZoneCutFromPeers:
    case Fault::PeersSlow:
    case Fault::FetchesLost:
        return true;
    default:
        return false;
    }
}

TEST(ViewMatrixService, AZoneThatIsCutFromTheStoreGoesOnByItsPeers)
{
    ViewWorld world;
    EXPECT_EQ(world.run(std::array {FaultWindow {Fault::StoreCutFromZone, 3_s, 17_s}}), "");
    EXPECT_EQ(world.refusedSteps(), 0U);
}

RC_GTEST_PROP(ViewMatrixRandom, ManyFaults, (const std::vector<std::uint16_t> &draws))
{
    const bool showsOlder = std::any_of(draws.begin(), draws.end(), [](std::uint16_t draw) {
        return static_cast<Fault>(draw % faultCount) == Fault::StoreShowsOlder;
    });
    std::vector<FaultWindow> faults;
    for (const std::uint16_t draw : draws) {
        const Millis from = stepTime * (draw / faultCount % 100);
        const Millis span = stepTime * (5 + draw / 7 % 50);
        const FaultWindow window {static_cast<Fault>(draw % faultCount), from, from + span};
        if (!showsOlder || !hidesPeers(window))
            faults.push_back(window);
    }
    RC_ASSERT(ViewWorld().run(faults, CountFrom::InForceSomewhere) == std::string {});
}

} // namespace
