#include "tests/config/support.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using fescue::testing::sampleSnapshot;

TEST(SnapshotDiff, EqualSnapshotsDoNotDiffer)
{
    Snapshot after = sampleSnapshot();
    after.version = ConfigVersion {9};
    EXPECT_TRUE(diffSnapshots(sampleSnapshot(), after).empty());
}

TEST(SnapshotDiff, NamesEachChange)
{
    Snapshot after = sampleSnapshot();
    after.zones.front().out = true;
    after.vmsOut.clear();
    after.services.back().calls.pop_back();
    after.services.back().calls.front().repeatable = true;
    after.endpoints.front().slots = 8;
    after.accounts.front().keyHash = hashKey("other");
    after.accounts.push_back({AccountName("kiosk"), hashKey("k"), 1, 1, {}});
    const std::vector<std::string> expected = {
        "~ zone north: out no -> yes",
        "- vm out vm-oak",
        "~ call ledger /adjust: repeatable no -> yes",
        "- call ledger /balance",
        "~ endpoint ash-1: slots 16 -> 8",
        "~ account diner: key-hash changed",
        "+ account kiosk",
    };
    EXPECT_EQ(diffSnapshots(sampleSnapshot(), after), expected);
}

} // namespace
