#include "fescue/serving/accountuse.h"

#include <gtest/gtest.h>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::serving;

const AccountName large("large");
const AccountName small("small");
const AccountName other("other");

TEST(AccountUse, ShareIsAMultipleOfTheMean)
{
    AccountUse use;
    EXPECT_EQ(use.shareRatio(1_s, large), 1);
    use.record(1_s, large, 6'000);
    EXPECT_EQ(use.shareRatio(1_s, large), 1);
    use.record(1_s, small, 2'000);
    EXPECT_NEAR(use.shareRatio(1_s, large), 1.5, 0.01);
    EXPECT_NEAR(use.shareRatio(1_s, small), 0.5, 0.01);
}

// Answers one account that sends many times its usual: all processes see its share, also those with
// few of its requests.
TEST(AccountUse, ReportsOfPeersCountUntilTheyExpire)
{
    AccountUse use;
    use.record(1_s, small, 1'000);
    use.peerReported(1_s, MemberName("peer"), {{large, 8'000}, {other, 1'000}});
    EXPECT_GT(use.shareRatio(1_s, large), 2);
    const Millis later = 1_s + AccountUse::peerLifetime + 1_ms;
    EXPECT_EQ(use.shareRatio(later, large), 1);
}

TEST(AccountUse, OldUseIsForgotten)
{
    AccountUse use;
    use.record(1_s, large, 6'000);
    use.record(20_s, small, 1'000);
    EXPECT_EQ(use.own(20_s).size(), 1U);
    EXPECT_EQ(use.shareRatio(20_s, small), 1);
}

TEST(AccountUse, ReportsAreBounded)
{
    AccountUse use;
    for (int n = 0; n < 500; ++n)
        use.record(1_s, AccountName("account-" + std::to_string(n)), 1'000);
    EXPECT_LE(use.own(1_s).size(), 32U);
}

} // namespace
