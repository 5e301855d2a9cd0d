#include "fescue/tools/rollout.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::tools;

const MemberAddress entry {MemberName("entry-1"), {"127.0.0.1", 7000}, {}};

TEST(Rollout, ReadsTheAddressOfAMember)
{
    const Result<MemberAddress> member =
        parseMemberAddress("entry-1", R"({"name":"entry-1","http":"127.0.0.1:7000"})");
    ASSERT_TRUE(member);
    EXPECT_EQ(member->name, entry.name);
    EXPECT_EQ(member->http, entry.http);
}

TEST(Rollout, RefusesAMemberWithoutAddress)
{
    for (const char *text : {"", "[]", "{}", R"({"http":7})", R"({"http":"host:1"})"})
        EXPECT_FALSE(parseMemberAddress("entry-1", text)) << text;
}

TEST(Rollout, ReadsTheStatusOfAMember)
{
    const MemberStatus status =
        parseMemberStatus(entry, R"({"member":"entry-1","role":"entry","config_version":7})");
    EXPECT_EQ(status.role, "entry");
    EXPECT_TRUE(status.hasAtLeast(ConfigVersion {7}));
    EXPECT_FALSE(status.hasAtLeast(ConfigVersion {8}));
    EXPECT_TRUE(status.problem.empty());
}

TEST(Rollout, AStatusWithoutVersionIsAProblem)
{
    for (const char *text : {"", "{}", R"({"config_version":-1})", R"({"config_version":"7"})"}) {
        const MemberStatus status = parseMemberStatus(entry, text);
        EXPECT_FALSE(status.hasAtLeast(ConfigVersion {0})) << text;
        EXPECT_FALSE(status.problem.empty()) << text;
    }
}

// Port 1 of the loopback interface has no listener.
TEST(Rollout, SaysWhichMemberDoesNotAnswer)
{
    const std::vector<MemberStatus> statuses =
        askMembers({{MemberName("gone"), {"127.0.0.1", 1}, {}}}, 1_s);
    ASSERT_EQ(statuses.size(), 1U);
    EXPECT_EQ(statuses[0].name, MemberName("gone"));
    EXPECT_FALSE(statuses[0].version);
    EXPECT_FALSE(statuses[0].problem.empty());
}

} // namespace
