#include "node/memberlog.h"

#include <gtest/gtest.h>
#include <string_view>

namespace fescue::node {
namespace {

peer::MemberItem written(std::string_view name, std::uint64_t revision)
{
    return {MemberName(name), revision, false, "{}"};
}

peer::MemberItem removed(std::string_view name, std::uint64_t revision)
{
    return {MemberName(name), revision, true, ""};
}

TEST(MemberLog, TellsChangesAfterARevision)
{
    MemberLog log;
    log.replace({written("a", 3), written("b", 5)}, 5);
    EXPECT_TRUE(log.apply(written("c", 7)));
    EXPECT_TRUE(log.apply(removed("a", 8)));
    log.advance(8);
    const peer::MembersBody body = log.changesAfter(5);
    EXPECT_EQ(body.after, 5U);
    EXPECT_EQ(body.revision, 8U);
    ASSERT_EQ(body.items.size(), 2U);
    EXPECT_EQ(body.items[0], written("c", 7));
    EXPECT_EQ(body.items[1], removed("a", 8));
    EXPECT_TRUE(log.changesAfter(8).items.empty());
}

TEST(MemberLog, TellsTheWholeListWhereDeletionsMayBeMissing)
{
    MemberLog log;
    log.replace({written("a", 3), written("b", 5)}, 6);
    const peer::MembersBody body = log.changesAfter(4);
    EXPECT_EQ(body.after, 0U);
    EXPECT_EQ(body.items.size(), 2U);
}

TEST(MemberLog, IgnoresWhatIsKnown)
{
    MemberLog log;
    log.replace({written("a", 3)}, 6);
    EXPECT_FALSE(log.apply(written("a", 5)));
    EXPECT_FALSE(log.apply(removed("a", 6)));
    EXPECT_EQ(log.changesAfter(0).items.size(), 1U);
}

TEST(MemberLog, ForgetsTheOldestDeletions)
{
    MemberLog log;
    log.replace({}, 1);
    std::uint64_t revision = 1;
    for (int i = 0; i < 3000; ++i) {
        EXPECT_TRUE(log.apply(written("a", ++revision)));
        log.advance(revision);
        EXPECT_TRUE(log.apply(removed("a", ++revision)));
        log.advance(revision);
    }
    EXPECT_EQ(log.changesAfter(1).after, 0U);
    EXPECT_EQ(log.changesAfter(revision - 2).after, revision - 2);
}

} // namespace
} // namespace fescue::node
