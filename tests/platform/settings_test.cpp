#include "platform/settings.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

constexpr std::string_view settingsText = R"({"NodeName":"edge-1","Role":"edge","Ip":"10.1.0.19",
 "Zone":"pnw-a","Region":"pnw","Unknown":{"x":1},
 "ListenAddresses":{"Frontend":"10.1.0.19:8740","Ready":"10.1.0.19:8749",
  "DirectoryService":"10.1.0.19:8746"},"InternalPortRange":[7200,7215],
 "Bounds":{"GraceS":8,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"RetryAllowance":58,
  "ColdOverrun":1.5,"ColdTolerance":5,"ttl_max_s":5},
 "Platform":{"Address":"10.200.1.7:8742","form":"kv"}})";

TEST(PlatformSettings, ReadsAWholeFile)
{
    const Result<serving::NodeSettings> settings =
        platform::parseSettings(settingsText, "node.json");
    ASSERT_TRUE(settings) << settings.error().toString();
    EXPECT_EQ(settings->name, MemberName("edge-1"));
    EXPECT_EQ(settings->frontAddress.toString(), "10.1.0.19:8740");
    EXPECT_EQ(settings->metricsAddress.toString(), "10.1.0.19:7200");
    EXPECT_EQ(settings->peerAddress.toString(), "10.1.0.19:7201");
    EXPECT_EQ(settings->storeAddress.toString(), "10.200.1.7:8742");
    EXPECT_EQ(settings->deploymentLimits.stopGrace, 8_s);
    EXPECT_EQ(settings->deploymentLimits.retryAllowance, 58);
}

TEST(PlatformSettings, ReadsTheLimitsOfTheVm)
{
    std::string text(settingsText);
    text.replace(text.find("\"Bounds\""), 8, R"("Limits":{"MemoryMb":110,"MaxFds":4100},"Bounds")");
    const Result<serving::NodeSettings> settings = platform::parseSettings(text, "node.json");
    ASSERT_TRUE(settings) << settings.error().toString();
    EXPECT_EQ(settings->memoryMegabytes, 110U);
    EXPECT_EQ(settings->maxDescriptors, 4100U);
}

TEST(PlatformSettings, LimitsOfRollOutsAreOptional)
{
    EXPECT_FALSE(platform::parseSettings(settingsText, "node.json")->deploymentLimits.rollout);
    std::string text(settingsText);
    text.replace(text.find("\"GraceS\""), 8,
                 R"("ExposureShare":0.1,"ExposureTolerance":50,"RollbackMs":5000,"GraceS")");
    const Result<serving::NodeSettings> settings = platform::parseSettings(text, "node.json");
    ASSERT_TRUE(settings) << settings.error().toString();
    EXPECT_EQ(settings->deploymentLimits.rollout, (serving::RolloutLimits {0.1, 50, 5_s}));
    text.replace(text.find("5000"), 4, "\"x\"");
    EXPECT_FALSE(platform::parseSettings(text, "node.json"));
}

TEST(PlatformSettings, ErrorsNameTheFileAndTheField)
{
    std::string text(settingsText);
    text.replace(text.find("10.200.1.7:8742"), 15, "somewhere:8742 ");
    const Result<serving::NodeSettings> settings = platform::parseSettings(text, "node.json");
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().position.file, "node.json");
    EXPECT_NE(settings.error().message.find("Address"), std::string::npos);
    EXPECT_FALSE(platform::parseSettings("{", "node.json"));
    text = settingsText;
    text.replace(text.find("[7200,7215]"), 11, "[70000,7215]");
    EXPECT_FALSE(platform::parseSettings(text, "node.json"));
    text = settingsText;
    text.replace(text.find("\"Bounds\""), 8, R"("Limits":{"MemoryMb":-1},"Bounds")");
    EXPECT_FALSE(platform::parseSettings(text, "node.json"));
    EXPECT_FALSE(platform::loadSettings("/nowhere/node.json"));
}

std::string withReplaced(std::string_view part, std::string_view replacement)
{
    std::string text(settingsText);
    text.replace(text.find(part), part.size(), replacement);
    return text;
}

// Guards against a process that ends, or for ever waits, because the two are mixed up.
TEST(PlatformSettings, IncompleteTextIsToldFromWrongFields)
{
    for (std::size_t n = 0; n < settingsText.size(); ++n) {
        const Result<serving::NodeSettings> cut =
            platform::parseSettings(settingsText.substr(0, n), "node.json");
        ASSERT_FALSE(cut);
        ASSERT_EQ(cut.error().code, ResultCode::SettingsIncomplete) << n;
    }
    for (const char *text : {"[]", "null", "7", "\"text\""})
        EXPECT_EQ(platform::parseSettings(text, "node.json").error().code,
                  ResultCode::SettingsIncomplete);
    EXPECT_EQ(platform::parseSettings("{}", "node.json").error().code, ResultCode::SettingsInvalid);
    EXPECT_EQ(platform::loadSettings("/nowhere/node.json").error().code,
              ResultCode::FileUnreadable);
}

// Guards against a start that waits for ever for an address that it holds itself.
TEST(PlatformSettings, EqualListenAddressesAreRefused)
{
    for (const std::string &text : {withReplaced("10.1.0.19:8749", "10.1.0.19:8740"),
                                    withReplaced("10.1.0.19:8746", "10.1.0.19:7201"),
                                    withReplaced("10.1.0.19:8740", "10.1.0.19:7200")}) {
        const Result<serving::NodeSettings> settings = platform::parseSettings(text, "node.json");
        ASSERT_FALSE(settings);
        EXPECT_EQ(settings.error().code, ResultCode::SettingsInvalid);
        EXPECT_NE(settings.error().message.find("are the same address"), std::string::npos);
    }
    EXPECT_TRUE(
        platform::parseSettings(withReplaced("10.1.0.19:8749", "10.1.0.20:8740"), "node.json"));
}

// Guards against a start that fails later, without the place in the settings.
TEST(PlatformSettings, AnIpThatIsNoneIsRefused)
{
    for (const char *ip : {"\"Ip\":\"node-1\"", "\"Ip\":\"\"", "\"Ip\":\"10.1.0.300\""}) {
        const Result<serving::NodeSettings> settings =
            platform::parseSettings(withReplaced("\"Ip\":\"10.1.0.19\"", ip), "node.json");
        ASSERT_FALSE(settings);
        EXPECT_EQ(settings.error().code, ResultCode::SettingsInvalid);
        EXPECT_NE(settings.error().message.find("Ip"), std::string::npos);
    }
}

} // namespace
