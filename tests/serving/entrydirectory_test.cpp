#include "fescue/serving/entrydirectory.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

MemberView member(const char *name, const char *zone, MemberState state = MemberState::Live)
{
    MemberView view;
    view.info.name = MemberName(name);
    view.info.zone = ZoneName(zone);
    view.info.callerAddress = name;
    view.state = state;
    return view;
}

using Addresses = std::vector<std::string>;

TEST(EntryDirectory, ReturnsOnlyTheCallersZoneIfItHasTwoLiveEntries)
{
    const std::vector<MemberView> members {member("a", "north"), member("b", "north"),
                                           member("c", "south")};
    EXPECT_EQ(resolveEntries(ZoneName("north"), members), (Addresses {"a", "b"}));
    EXPECT_EQ(resolveEntries(ZoneName("south"), members), (Addresses {"a", "b", "c"}));
}

TEST(EntryDirectory, LeavingAndTerminatedEntriesAreExcluded)
{
    const std::vector<MemberView> members {member("a", "north", MemberState::Leaving),
                                           member("b", "north", MemberState::Gone),
                                           member("c", "south")};
    EXPECT_EQ(resolveEntries(ZoneName("north"), members), Addresses {"c"});
}

TEST(EntryDirectory, SuspectEntriesAreUsedIfNoneIsLive)
{
    const std::vector<MemberView> members {member("a", "north", MemberState::Suspect)};
    EXPECT_EQ(resolveEntries(ZoneName("north"), members), Addresses {"a"});
}

} // namespace
