#include "fescue/core/directory.h"

#include "fescue/core/neighbours.h"
#include "fescue/core/rendezvous.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace {

using namespace fescue;

constexpr std::size_t zoneCount = 3;

std::vector<MemberView> makeFleet(std::size_t count)
{
    std::vector<MemberView> fleet;
    for (std::size_t n = 0; n < count; ++n) {
        MemberInfo info;
        info.name = MemberName {"entry-" + std::to_string(n)};
        info.zone = ZoneName {"zone-" + std::to_string(n % zoneCount)};
        info.vm = VmName {"vm-" + std::to_string(n)};
        info.callerAddress = "127.0.0.1:" + std::to_string(9000 + n);
        fleet.push_back({info, MemberState::Live});
    }
    return fleet;
}

Snapshot makeSnapshot()
{
    Snapshot snapshot;
    for (std::size_t n = 0; n < zoneCount; ++n)
        snapshot.zones.push_back({ZoneName {"zone-" + std::to_string(n)}, "region", false});
    return snapshot;
}

class DirectoryTest : public testing::Test
{
protected:
    std::vector<DirectoryEntry> ask(const char *account)
    {
        return answerDirectory({AccountName {account}, ServiceName {"model"}}, fleet, snapshot,
                               vms);
    }

    std::vector<MemberView> fleet = makeFleet(9);
    Snapshot snapshot = makeSnapshot();
    VmList vms;
};

TEST_F(DirectoryTest, SecondAddressLiesInAnotherZone)
{
    for (int n = 0; n < 100; ++n) {
        const std::vector<DirectoryEntry> answer = ask(std::to_string(n).c_str());
        ASSERT_EQ(answer.size(), maxDirectoryEntries);
        EXPECT_NE(answer[0].zone, answer[1].zone);
    }
}

TEST_F(DirectoryTest, OnlyCallersOfALostEntryMove)
{
    std::map<std::string, std::string> before;
    for (int n = 0; n < 100; ++n)
        before[std::to_string(n)] = ask(std::to_string(n).c_str())[0].entry.text();
    const std::string lost = before["0"];
    std::erase_if(fleet, [&](const MemberView &view) { return view.info.name.text() == lost; });
    for (const std::pair<const std::string, std::string> &item : before) {
        const std::string now = ask(item.first.c_str())[0].entry.text();
        if (item.second != lost)
            EXPECT_EQ(now, item.second);
    }
}

TEST_F(DirectoryTest, NamesNobodyWhoIsOutOrLeaving)
{
    snapshot.zones[1].out = true;
    snapshot.vmsOut = {{VmName {"vm-0"}}};
    fleet[2].state = MemberState::Leaving;
    fleet[3].state = MemberState::Gone;
    vms.apply(0_ms, 1, std::vector<VmListItem> {{VmName {"vm-5"}, ZoneName {"zone-2"}, true}});
    const std::vector<DirectoryEntry> answer = ask("a");
    std::set<std::string> names;
    for (const DirectoryEntry &entry : answer)
        names.insert(entry.entry.text());
    EXPECT_EQ(names, (std::set<std::string> {"entry-6", "entry-8"}));
}

TEST_F(DirectoryTest, SuspectsAreALastResort)
{
    for (MemberView &view : fleet)
        view.state = MemberState::Suspect;
    EXPECT_EQ(ask("a").size(), maxDirectoryEntries);
    fleet[0].state = MemberState::Live;
    EXPECT_EQ(ask("a")[0].entry.text(), "entry-0");
    fleet[1].state = MemberState::Live;
    EXPECT_EQ(ask("a").size(), 2U);
}

TEST(Rendezvous, DoesNotDependOnTheOrderOfCandidates)
{
    const std::vector<std::string_view> forward {"a", "b", "c", "d"};
    const std::vector<std::string_view> backward {"d", "c", "b", "a"};
    const std::vector<std::size_t> one = rendezvousOrder("key", forward);
    const std::vector<std::size_t> two = rendezvousOrder("key", backward);
    for (std::size_t n = 0; n < one.size(); ++n)
        EXPECT_EQ(forward[one[n]], backward[two[n]]);
}

TEST(Neighbours, LinksConnectEverybodyAndAreBounded)
{
    for (const std::size_t size : {2U, 3U, 9U, 100U}) {
        const std::vector<MemberView> fleet = makeFleet(size);
        std::set<MemberName> reached {fleet[0].info.name};
        std::vector<MemberName> open {fleet[0].info.name};
        while (!open.empty()) {
            const MemberName name = open.back();
            open.pop_back();
            const auto it = std::find_if(fleet.begin(), fleet.end(), [&](const MemberView &view) {
                return view.info.name == name;
            });
            const std::vector<MemberName> chosen = chooseNeighbours(it->info, fleet);
            EXPECT_EQ(chosen.size(), std::min(size - 1, defaultNeighbourCount));
            for (const MemberName &next : chosen) {
                if (reached.insert(next).second)
                    open.push_back(next);
            }
        }
        EXPECT_EQ(reached.size(), size);
    }
}

TEST(Neighbours, SomeLieInOtherZones)
{
    const std::vector<MemberView> fleet = makeFleet(30);
    for (const MemberView &view : fleet) {
        const std::vector<MemberName> chosen = chooseNeighbours(view.info, fleet);
        const auto others = std::count_if(fleet.begin(), fleet.end(), [&](const MemberView &v) {
            const bool isChosen =
                std::find(chosen.begin(), chosen.end(), v.info.name) != chosen.end();
            return isChosen && v.info.zone != view.info.zone;
        });
        EXPECT_GE(others, 2);
    }
}

} // namespace
