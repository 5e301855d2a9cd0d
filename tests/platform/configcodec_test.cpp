#include "platform/codec.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

constexpr std::string_view configText = R"({"Version":7,
 "Routes":[{"Name":"r1","Host":"a.example","Prefix":"/x/","RouteKind":"streaming","TimeoutMs":6000,
  "TargetLatencyMs":1500,"Priority":1,"WeightedServices":[{"Service":"s1","Weight":90},
  {"Service":"s2","Weight":10}],"MaxAttempts":1,"Anonymous":false,"TargetItlMs":180},
  {"Name":"r2","Host":"a.example","Prefix":"/y/","RouteKind":"idempotent","TimeoutMs":1200,
  "TargetLatencyMs":150,"Priority":2,"Service":"s2","MaxAttempts":2,"Anonymous":true}],
 "Services":[{"Name":"s1","HealthPath":"/healthz","MaxConnections":442,"ColdStartS":1.0,
  "ColdPerS":30.0,"Engine":{"Slots":64,"KvCapacity":34631,"KvBytes":18432,"LinkMbps":2700.0,
  "Migrations":true,"Backups":true,"Stride":4,"HandleTtlS":5.0}},{"Name":"s2"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
  "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1}]})";

TEST(ConfigCodec, ReadsAWholeConfiguration)
{
    const Result<ServingConfig> config = platform::decodeConfig(configText);
    ASSERT_TRUE(config) << config.error().message;
    EXPECT_EQ(config->version.value, 7U);
    ASSERT_EQ(config->routes.size(), 2U);
    EXPECT_EQ(config->routes[0].kind, RouteKind::Streaming);
    EXPECT_EQ(config->routes[0].services.size(), 2U);
    EXPECT_EQ(config->routes[0].targetEventGap, 180_ms);
    EXPECT_EQ(config->routes[1].kind, RouteKind::Idempotent);
    EXPECT_EQ(config->routes[1].maxAttempts, 2U);
    EXPECT_TRUE(config->routes[1].anonymous);
    ASSERT_TRUE(config->services[0].engine);
    EXPECT_EQ(config->services[0].engine->memoryTokens, 34'631U);
    EXPECT_EQ(config->services[0].engine->copyLifetime, 5_s);
    EXPECT_EQ(config->services[0].coldTime, 1_s);
    EXPECT_FALSE(config->services[1].engine);
    EXPECT_EQ(config->limits.idleTimeout, 15_s);
    EXPECT_EQ(config->accounts[0].keys.size(), 2U);
    EXPECT_EQ(config->accounts[0].priority, 1);
}

TEST(ConfigCodec, UnknownKindIsTreatedAsNotRepeatable)
{
    std::string text(configText);
    text.replace(text.find("\"idempotent\""), 12, "\"brand_new\"");
    const Result<ServingConfig> config = platform::decodeConfig(text);
    ASSERT_TRUE(config);
    EXPECT_EQ(config->routes[1].kind, RouteKind::NonIdempotent);
}

// A list of accounts that is empty or not a list must not open the routes to every key.
TEST(ConfigCodec, AccountsWithoutEntriesRequireAKey)
{
    const std::size_t at = configText.find("[{\"Name\":\"t1\"");
    const std::string head(configText.substr(0, at));
    const Result<ServingConfig> empty = platform::decodeConfig(head + "[]}");
    ASSERT_TRUE(empty) << empty.error().message;
    EXPECT_TRUE(empty->requiresKey);
    EXPECT_TRUE(empty->accounts.empty());
    for (const std::string_view wrong : {"null", "{}", "\"t1\"", "0"})
        EXPECT_FALSE(platform::decodeConfig(head + std::string(wrong) + "}")) << wrong;
    const std::string without = head.substr(0, head.rfind(',')) + "}";
    const Result<ServingConfig> open = platform::decodeConfig(without);
    ASSERT_TRUE(open) << open.error().message;
    EXPECT_FALSE(open->requiresKey);
}

// Only streams can be resumed; on other routes the member says nothing.
TEST(ConfigCodec, StreamsOfARouteMayBeResumed)
{
    std::string text(configText);
    for (std::size_t at = text.find("\"MaxAttempts\""); at != std::string::npos;
         at = text.find("\"MaxAttempts\"", at + 40))
        text.insert(at, "\"StreamResumption\":true,");
    const Result<ServingConfig> config = platform::decodeConfig(text);
    ASSERT_TRUE(config) << config.error().message;
    EXPECT_TRUE(config->routes[0].isResumable);
    EXPECT_TRUE(config->routes[0].mayRunAgain());
    EXPECT_FALSE(config->routes[1].isResumable);
    EXPECT_FALSE(platform::decodeConfig(configText)->routes[0].mayRunAgain());
}

TEST(ConfigCodec, CutOrDamagedTextIsAnError)
{
    for (std::size_t n = 0; n < configText.size(); n += 7)
        EXPECT_FALSE(platform::decodeConfig(configText.substr(0, n)));
    EXPECT_FALSE(platform::decodeConfig(R"({"Version":"x","Routes":[],"Services":[]})"));
}

TEST(ConfigCodec, KeysOfTheStoreAreToldApart)
{
    EXPECT_EQ(platform::classifyKey("op/config").kind, StoreSubjectKind::Config);
    EXPECT_EQ(platform::classifyKey("op/evacuate/pnw-a"),
              (StoreSubject {StoreSubjectKind::ZoneOut, "pnw-a"}));
    EXPECT_EQ(platform::classifyKey("servers/i-1"),
              (StoreSubject {StoreSubjectKind::Endpoint, "i-1"}));
    EXPECT_EQ(platform::classifyKey("op/rollout/s1"),
              (StoreSubject {StoreSubjectKind::Rollout, "s1"}));
    EXPECT_EQ(platform::classifyKey("members/x").kind, StoreSubjectKind::Other);
}

TEST(EndpointCodec, ReadsAnEntry)
{
    const Result<EndpointRecord> record = platform::decodeEndpoint(
        EndpointName("i-1"),
        R"({"Service":"s1","Address":"10.1.2.3:80","Zone":"pnw-a","Version":"v1","Slots":64,
            "State":"draining","ColdRemainingMs":250.5,"Sequence":4,"born":1790000000000})");
    ASSERT_TRUE(record) << record.error().message;
    EXPECT_EQ(record->address.toString(), "10.1.2.3:80");
    EXPECT_EQ(record->incarnation.value, 1'790'000'000'000U);
    EXPECT_TRUE(record->draining);
    EXPECT_EQ(record->softwareVersion, "v1");
    EXPECT_EQ(record->coldRemaining, Millis {251});
}

// Entries may come from other writers, with fields missing, of another type, or unreadable.
TEST(EndpointCodec, EntriesOfOtherWritersNameNoEndpoint)
{
    const EndpointName name("i-1");
    for (
        const char *text :
        {"", "\xff\xfe", "[]", "3", "{}",
         R"({"Service":"s","Address":"10.1.2.3:80","Zone":"z","Slots":1,"State":"weird","ColdRemainingMs":0})",
         R"({"Service":"s","Address":"host:80","Zone":"z","Slots":1,"State":"ready","ColdRemainingMs":0})",
         R"({"Service":"s","Address":"10.1.2.3:80","Zone":"z","Slots":"1","State":"ready","ColdRemainingMs":0})",
         R"({"Service":7,"Address":"10.1.2.3:80","Zone":"z","Slots":1,"State":"ready","ColdRemainingMs":0})"})
        EXPECT_FALSE(platform::decodeEndpoint(name, text)) << text;
}

} // namespace
