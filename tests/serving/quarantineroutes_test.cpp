#include "fescue/serving/quarantineroutes.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

class QuarantineRoutes : public testing::Test
{
protected:
    QuarantineRoutes()
    {
        for (const PartId part : {PartId {0xa7}, PartId {0xb8}}) {
            QuarantineEntry entry;
            entry.parts = {part};
            entry.crashes = 3;
            EXPECT_TRUE(quarantine.mergeEntry(entry));
        }
    }

    QuarantineAnswer call(const char *method, const char *target)
    {
        net::HttpRequest request;
        request.method = method;
        request.target = target;
        return answerQuarantine(quarantine, request, 10_s, 1'000_s);
    }

    PromptQuarantine quarantine;
};

TEST_F(QuarantineRoutes, OperatorSeesWhatIsQuarantined)
{
    const QuarantineAnswer all = call("GET", "/quarantine");
    EXPECT_EQ(all.response.status, 200);
    EXPECT_NE(all.response.body.find("\"a7\""), std::string::npos);
    EXPECT_NE(all.response.body.find("\"b8\""), std::string::npos);
    EXPECT_TRUE(all.released.empty());
    const QuarantineAnswer one = call("GET", "/quarantine/b8");
    EXPECT_EQ(one.response.body.find("\"a7\""), std::string::npos);
}

TEST_F(QuarantineRoutes, OperatorTakesOnePartBack)
{
    const QuarantineAnswer answer = call("DELETE", "/quarantine/a7");
    ASSERT_EQ(answer.released.size(), 1U);
    EXPECT_FALSE(answer.released.front().active);
    EXPECT_EQ(quarantine.activeCount(), 1U);
    EXPECT_TRUE(call("DELETE", "/quarantine/a7").released.empty());
}

TEST_F(QuarantineRoutes, OperatorTakesAllPartsBack)
{
    EXPECT_EQ(call("DELETE", "/quarantine").released.size(), 2U);
    EXPECT_EQ(quarantine.activeCount(), 0U);
}

TEST_F(QuarantineRoutes, OtherCallsChangeNothing)
{
    EXPECT_EQ(call("GET", "/quarantine/c9").response.status, 404);
    EXPECT_EQ(call("DELETE", "/quarantine/c9").response.status, 404);
    EXPECT_EQ(call("POST", "/quarantine").response.status, 405);
    EXPECT_EQ(quarantine.activeCount(), 2U);
}

} // namespace
