#include "platform/codec.h"
#include "platform/names.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace fescue;
using namespace fescue::serving;

const ServiceName service("llm");

TEST(RolloutCodec, OrderIsRead)
{
    const Result<RolloutOrder> order =
        platform::decodeRolloutOrder(service, R"({"Service":"llm","To":"v2","DurationS":30.5})");
    ASSERT_TRUE(order) << order.error().message;
    EXPECT_EQ(*order, (RolloutOrder {service, "v2", 30500_ms, {}}));
}

TEST(RolloutCodec, OddOrdersAreErrorsThatNameTheService)
{
    for (const char *text :
         {"", "[]", R"({"Service":"other","To":"v2","DurationS":30})",
          R"({"Service":"llm","To":"","DurationS":30})",
          R"({"Service":"llm","To":2,"DurationS":3})",
          R"({"Service":"llm","To":"v2","DurationS":0})",
          R"({"Service":"llm","To":"v2","DurationS":-4})",
          R"({"Service":"llm","To":"v2","DurationS":"30"})", R"({"Service":"llm","To":"v2"})"}) {
        const Result<RolloutOrder> order = platform::decodeRolloutOrder(service, text);
        ASSERT_FALSE(order) << text;
        EXPECT_NE(order.error().message.find("llm"), std::string::npos) << text;
    }
}

TEST(RolloutCodec, StatusTellsTheOperatorStateAndVersion)
{
    RolloutRecord record {
        service, "v2", 30_s, RolloutStage::TwoFifths, 3, {7, 1}, 1'790'000'000'000_ms, "sound"};
    for (const std::pair<RolloutStage, const char *> &entry :
         {std::pair(RolloutStage::Canary, "serving"), std::pair(RolloutStage::TwoFifths, "serving"),
          std::pair(RolloutStage::Closing, "serving"),
          std::pair(RolloutStage::Completed, "completed"),
          std::pair(RolloutStage::Reverted, "reverted")}) {
        record.stage = entry.first;
        const std::string text = platform::encodeRolloutStatus(record);
        const nlohmann::json json = nlohmann::json::parse(text);
        EXPECT_EQ(json.at("State"), entry.second);
        EXPECT_EQ(json.at("To"), "v2");
        const Result<RolloutRecord> decoded = platform::decodeRolloutStatus(service, text);
        ASSERT_TRUE(decoded) << decoded.error().message;
        EXPECT_EQ(*decoded, record);
    }
}

TEST(RolloutCodec, OddStatusIsAnError)
{
    EXPECT_FALSE(platform::decodeRolloutStatus(service, R"({"State":"serving","To":"v2"})"));
    EXPECT_FALSE(platform::decodeRolloutStatus(service, "x"));
}

TEST(RolloutCodec, KeysAreToldApart)
{
    EXPECT_EQ(platform::rolloutStatusKey(service), "status/rollout/llm");
    EXPECT_EQ(platform::classifyKey("status/rollout/llm"),
              (StoreSubject {StoreSubjectKind::RolloutStatus, "llm"}));
}

} // namespace
