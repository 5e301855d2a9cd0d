#include "fescue/serving/configcheck.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace fescue::serving {

namespace {

constexpr std::size_t megabyte = std::size_t {1024} * 1024;

ServingConfig soundConfig()
{
    ServingConfig config;
    config.version = {7};
    Route route;
    route.name = "reads";
    route.host = "ledger.example";
    route.prefix = "/read/";
    route.kind = RouteKind::Idempotent;
    route.timeout = 2_s;
    route.targetLatency = 500_ms;
    route.services = {{ServiceName("ledger"), 1}};
    route.maxAttempts = 3;
    config.routes = {route};
    ServiceSpec service;
    service.name = ServiceName("ledger");
    config.services = {service};
    config.accounts = {{AccountName("kiosk"), {"key-kiosk"}, std::nullopt}};
    return config;
}

// The entry of the only finding.
std::string onlyEntry(const ServingConfig &config, std::size_t memoryBytes = 0)
{
    const std::vector<ConfigFinding> findings = checkConfig(config, memoryBytes);
    EXPECT_EQ(findings.size(), 1U);
    return findings.empty() ? std::string() : findings.front().entry;
}

bool hasLine(const std::vector<std::string> &lines, std::string_view line)
{
    return std::find(lines.begin(), lines.end(), line) != lines.end();
}

} // namespace

TEST(ConfigCheck, SoundConfigurationHasNoFindings)
{
    EXPECT_TRUE(checkConfig(soundConfig(), 88 * megabyte).empty());
    EXPECT_EQ(describeChanges(ServingConfig(), ServingConfig()).size(), 1U);
}

TEST(ConfigCheck, RouteBehindAnotherOfTheSameHostAndPrefixIsFound)
{
    ServingConfig config = soundConfig();
    config.routes.push_back(config.routes.front());
    config.routes.back().name = "later";
    EXPECT_EQ(onlyEntry(config), "route later");
}

TEST(ConfigCheck, RoutesThatCannotMatchAreFound)
{
    ServingConfig config = soundConfig();
    config.routes.front().host = "ledger.example:443";
    EXPECT_EQ(onlyEntry(config), "route reads");
    config = soundConfig();
    config.routes.front().prefix = "/read";
    EXPECT_EQ(onlyEntry(config), "route reads");
}

TEST(ConfigCheck, KeysOfTwoAccountsAreFoundAndNotQuoted)
{
    ServingConfig config = soundConfig();
    config.accounts.push_back({AccountName("diner"), {"key-kiosk"}, std::nullopt});
    const std::vector<ConfigFinding> findings = checkConfig(config, 0);
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings.front().entry, "account diner");
    EXPECT_EQ(findings.front().message.find("key-kiosk"), std::string::npos);
}

TEST(ConfigCheck, ServicesAndWeightsWithoutUseAreFound)
{
    ServingConfig config = soundConfig();
    config.services.push_back(config.services.front());
    config.services.back().name = ServiceName("spare");
    EXPECT_EQ(onlyEntry(config), "service spare");
    config.routes.front().services.push_back({ServiceName("spare"), 0});
    EXPECT_EQ(onlyEntry(config), "route reads");
    config = soundConfig();
    config.routes.front().services = {{ServiceName("ledger"), 0}};
    EXPECT_EQ(onlyEntry(config), "route reads");
    config = soundConfig();
    config.services.clear();
    EXPECT_EQ(onlyEntry(config), "route reads");
}

TEST(ConfigCheck, LimitsThatContradictEachOtherAreFound)
{
    ServingConfig config = soundConfig();
    config.routes.front().timeout = 400_ms;
    EXPECT_EQ(onlyEntry(config), "route reads");
    config = soundConfig();
    config.routes.front().maxAttempts = 0;
    EXPECT_EQ(onlyEntry(config), "route reads");
    // An endpoint that refused has not run the request, so this may be sent to another.
    config = soundConfig();
    config.routes.front().kind = RouteKind::NonIdempotent;
    EXPECT_TRUE(checkConfig(config, 0).empty());
    config.limits.maxBodyBytes = 30 * megabyte;
    EXPECT_EQ(onlyEntry(config, 88 * megabyte), "limits");
    EXPECT_TRUE(checkConfig(config, 256 * megabyte).empty());
}

// Guards against a configuration that shuts all callers out and passes as sound.
TEST(ConfigCheck, ListWithoutAccountsIsFound)
{
    ServingConfig config = soundConfig();
    config.accounts.clear();
    EXPECT_TRUE(checkConfig(config, 0).empty());
    config.requiresKey = true;
    EXPECT_EQ(onlyEntry(config), "accounts");
}

TEST(ConfigCheck, ListOfAccountsThatComesOrGoesIsTold)
{
    ServingConfig open = soundConfig();
    open.accounts.clear();
    ServingConfig closed = open;
    closed.requiresKey = true;
    open.version = closed.version = {8};
    ServingConfig before = open;
    before.version = {7};
    EXPECT_EQ(describeChanges(before, closed),
              std::vector<std::string> {"accounts: keys are required no becomes yes"});
    before = closed;
    before.version = {7};
    EXPECT_EQ(describeChanges(before, open),
              std::vector<std::string> {"accounts: keys are required yes becomes no"});
}

TEST(ConfigCheck, ChangesAreToldByEntry)
{
    const ServingConfig before = soundConfig();
    ServingConfig after = before;
    after.version = {8};
    EXPECT_TRUE(describeChanges(before, after).empty());
    after.routes.front().timeout = 3_s;
    after.accounts.front().keys = {"key-new", "key-newer"};
    after.services.front().name = ServiceName("other");
    const std::vector<std::string> lines = describeChanges(before, after);
    EXPECT_TRUE(hasLine(lines, "route reads: timeout 2000 ms becomes 3000 ms"));
    EXPECT_TRUE(hasLine(lines, "account kiosk: keys added: 2"));
    EXPECT_TRUE(hasLine(lines, "account kiosk: keys withdrawn: 1"));
    EXPECT_TRUE(hasLine(lines, "service other is new"));
    EXPECT_TRUE(hasLine(lines, "service ledger is removed"));
    EXPECT_EQ(lines.size(), 5U);
}

TEST(ConfigCheck, VersionThatIsNotNewerIsTold)
{
    EXPECT_TRUE(hasLine(describeChanges(soundConfig(), soundConfig()),
                        "version 7 will not come into force: version 7 is"));
}

} // namespace fescue::serving
