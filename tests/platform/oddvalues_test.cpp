#include "platform/codec.h"
#include "platform/settings.h"

#include <gtest/gtest.h>
#include <ostream>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::serving;

// Largest point of time and longest span that a reader may accept, far below an overflow.
constexpr Millis longest {std::int64_t {1} << 50};

// An entry of an endpoint with one member replaced.
std::string entryWith(const std::string &member, const std::string &value)
{
    std::string text = "{";
    for (const auto &[name, usual] : std::initializer_list<std::pair<const char *, const char *>> {
             {"Service", "\"s\""},
             {"Address", "\"10.1.2.3:80\""},
             {"Zone", "\"z\""},
             {"Slots", "6"},
             {"State", "\"ready\""},
             {"ColdRemainingMs", "0"},
             {"born", "1790000000000"}})
        text += std::string(text.size() > 1 ? "," : "") + '"' + name
            + "\":" + (member == name ? value : usual);
    return text + '}';
}

struct OddValue
{
    const char *member;
    const char *value;
};

std::ostream &operator<<(std::ostream &out, const OddValue &odd)
{
    return out << odd.member << ' ' << odd.value;
}

class OddEntry : public testing::TestWithParam<OddValue>
{ };

// Guards against using an entry of another writer with a number that wraps, or a port that is not
// one: a negative count of slots would be four billion of them.
TEST_P(OddEntry, NamesNoEndpoint)
{
    const OddValue odd = GetParam();
    const Result<EndpointRecord> record =
        platform::decodeEndpoint(EndpointName("i-1"), entryWith(odd.member, odd.value));
    ASSERT_FALSE(record) << record->slots << ' ' << record->coldRemaining.count;
    EXPECT_EQ(record.error().code, ResultCode::StoreProtocol);
    EXPECT_LT(record.error().message.size(), 1'000U);
}

INSTANTIATE_TEST_SUITE_P(
    Values, OddEntry,
    testing::Values(
        OddValue {"Slots", "-1"}, OddValue {"Slots", "0"}, OddValue {"Slots", "4294967296"},
        OddValue {"Slots", "4294967302"}, OddValue {"Slots", "18446744073709551616"},
        OddValue {"Slots", "1e30"}, OddValue {"Slots", "1e400"}, OddValue {"Slots", "2.5"},
        OddValue {"Slots", "true"}, OddValue {"Slots", "null"}, OddValue {"Slots", "\"6\""},
        OddValue {"ColdRemainingMs", "1e30"}, OddValue {"ColdRemainingMs", "-1e30"},
        OddValue {"ColdRemainingMs", "9223372036854775807"},
        OddValue {"ColdRemainingMs", "18446744073709551615"}, OddValue {"ColdRemainingMs", "true"},
        OddValue {"born", "-1"}, OddValue {"born", "1e300"}, OddValue {"born", "0.5"},
        OddValue {"born", "18446744073709551615"}, OddValue {"born", "true"},
        OddValue {"born", "\"x\""}, OddValue {"Address", "\"10.1.2.3:70000\""},
        OddValue {"Address", "\"10.1.2.3:0\""}, OddValue {"Address", "\"10.1.2.3:-1\""},
        OddValue {"Address", "\"10.1.2.3:99999999999999999999\""},
        OddValue {"Address", "\"10.1.2.3:\""}, OddValue {"Address", "\":80\""},
        OddValue {"Address", "\"10.1.2.3:80\\u0000\""}, OddValue {"Address", "[\"10.1.2.3:80\"]"}));

TEST(OddEntryTest, TheUsualEntryIsRead)
{
    const Result<EndpointRecord> record =
        platform::decodeEndpoint(EndpointName("i-1"), entryWith("", ""));
    ASSERT_TRUE(record) << record.error().message;
    EXPECT_EQ(record->slots, 6U);
    // JSON has one type of numbers: a whole one may be written with a fraction of zero.
    EXPECT_TRUE(platform::decodeEndpoint(EndpointName("i-1"), entryWith("Slots", "6.0")));
    // A time that has passed.
    EXPECT_EQ(platform::decodeEndpoint(EndpointName("i-1"), entryWith("ColdRemainingMs", "-12.5"))
                  ->coldRemaining,
              0_ms);
}

// Guards against sending requests without the header that names the expected endpoint: a name with
// a line end cannot be sent.
TEST(OddEntryTest, NameThatCannotBeSentNamesNoEndpoint)
{
    for (const char *name : {"", "a\r\nX: y", "a\n", "a b", "\x01", "\xff"})
        EXPECT_FALSE(platform::decodeEndpoint(EndpointName(name), entryWith("", ""))) << name;
}

TEST(OddEntryTest, ReasonsAreShort)
{
    const std::string huge(std::size_t {100} * 1000, 'x');
    for (const char *member : {"Address", "State", "Slots"}) {
        const Result<EndpointRecord> record =
            platform::decodeEndpoint(EndpointName("i-1"), entryWith(member, '"' + huge + '"'));
        ASSERT_FALSE(record);
        EXPECT_LT(record.error().message.size(), 1'000U) << member;
    }
    EXPECT_LT(platform::decodeEndpoint(EndpointName("i-1"), "{\"" + huge).error().message.size(),
              1'000U);
}

std::string configWith(const std::string &routeMembers, const std::string &serviceMembers)
{
    return R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/x/","RouteKind":"streaming",)"
           R"("TimeoutMs":6000,"TargetLatencyMs":1500,"Service":"s")"
        + routeMembers + R"(}],"Services":[{"Name":"s")" + serviceMembers + "}]}";
}

TEST(OddConfig, NumbersOutOfRangeAreErrors)
{
    EXPECT_TRUE(platform::decodeConfig(configWith("", "")));
    for (const char *members :
         {R"(,"MaxAttempts":-1)", R"(,"MaxAttempts":4294967297)", R"(,"MaxAttempts":true)",
          R"(,"MaxAttempts":1e30)", R"(,"Priority":3000000000)", R"(,"Priority":1e30)"})
        EXPECT_FALSE(platform::decodeConfig(configWith(members, ""))) << members;
    for (const char *members :
         {R"(,"MaxConnections":-1)", R"(,"Engine":{"Slots":-3})", R"(,"Engine":{"KvCapacity":-3})",
          R"(,"Engine":{"KvBytes":1e40})", R"(,"Engine":{"Stride":-1})"})
        EXPECT_FALSE(platform::decodeConfig(configWith("", members))) << members;
}

// A longer time-out than any request needs is valid; added to the clock it must not overflow.
TEST(OddConfig, TimesAreBounded)
{
    const Result<ServingConfig> config = platform::decodeConfig(
        configWith(R"(,"TargetItlMs":1e30)", R"(,"ColdStartS":1e30,"Engine":{"HandleTtlS":1e30})"));
    ASSERT_TRUE(config) << config.error().message;
    EXPECT_GT(config->routes[0].targetEventGap, 1_s);
    EXPECT_LT(config->routes[0].targetEventGap, longest);
    EXPECT_LT(config->services[0].coldTime, longest);
    EXPECT_LT(config->services[0].engine->copyLifetime, longest);
}

TEST(OddReport, NumbersOutOfRangeAreErrors)
{
    for (const char *text :
         {R"({"KvUsed":-1,"Queued":0,"Active":0})", R"({"KvUsed":1,"Queued":-1,"Active":0})",
          R"({"KvUsed":1,"Queued":0,"Active":4294967297})",
          R"({"KvUsed":1,"Queued":0,"Active":0,"leaves_ms":1e30})",
          R"({"KvUsed":1,"Queued":0,"Active":0,"leaves_ms":-1e30})"})
        EXPECT_FALSE(platform::decodeReport(text)) << text;
    const Result<EngineReport> late =
        platform::decodeReport(R"({"KvUsed":1,"Queued":0,"Active":0,"leaves_ms":-20})");
    ASSERT_TRUE(late);
    EXPECT_EQ(late->leavesIn, Millis {-20});
}

// Guards against resuming a generation without the header that names its copy: a name with a line
// end cannot be sent, and the engine would begin anew.
TEST(OddMoveAnswer, HandleThatCannotBeSentIsUnclear)
{
    for (const char *handle : {R"("a\r\nb")", R"("a\nb")", R"("")", R"("a b")", R"("\u0000")"}) {
        const MoveAnswer answer =
            platform::decodeMoveAnswer(200, std::string(R"({"Handle":)") + handle + '}');
        EXPECT_EQ(answer.outcome, MoveOutcome::Unclear) << handle;
    }
    EXPECT_EQ(
        platform::decodeMoveAnswer(200, R"({"Handle":")" + std::string(5'000, 'h') + "\"}").outcome,
        MoveOutcome::Unclear);
}

// A caller's deadline is added to the clock.
TEST(OddRequest, DeadlinesAreBounded)
{
    net::HttpRequest request;
    request.headers = {{"X-Deadline-Ms", "9223372036854775807"}};
    const Result<CallerRequest> caller = platform::decodeCaller(request);
    ASSERT_TRUE(caller);
    ASSERT_TRUE(caller->patience);
    EXPECT_GT(*caller->patience, 1_s);
    EXPECT_LT(*caller->patience, longest);
    request.headers = {{"X-Deadline-Ms", "-9223372036854775808"}};
    EXPECT_LE(*platform::decodeCaller(request)->patience, 0_ms);
    EXPECT_GT(*platform::decodeCaller(request)->patience, Millis {} - longest);
}

} // namespace
