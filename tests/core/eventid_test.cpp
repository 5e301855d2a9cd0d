#include "fescue/core/eventid.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>

namespace {

using namespace fescue;

EventId makeId()
{
    return {EndpointName {"engine-1"}, {7}, "s.42", "00ff", 12};
}

TEST(EventId, RoundTrip)
{
    const Result<EventId> parsed = EventId::parse("engine-1~7~s.42~00ff:12");
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(*parsed, makeId());
    EXPECT_EQ(parsed->toString(), "engine-1~7~s.42~00ff:12");
    EXPECT_EQ(parsed->formatPrefix(), "engine-1~7~s.42~00ff:");
}

TEST(EventId, TheAuthenticatedNameBindsAccountAndGeneration)
{
    const GenerationId id = makeId().generation();
    EXPECT_EQ(generationName(AccountName {"diner"}, id), "diner~engine-1~7~s.42");
    EXPECT_NE(generationName(AccountName {"other"}, id), generationName(AccountName {"diner"}, id));
}

TEST(EventId, AcceptsTheGreatestNumbers)
{
    EventId id = makeId();
    id.index = std::numeric_limits<std::uint64_t>::max();
    id.incarnation.value = std::numeric_limits<std::uint64_t>::max();
    EXPECT_EQ(EventId::parse(id.toString()), id);
}

class MalformedEventId : public testing::TestWithParam<std::string>
{ };

TEST_P(MalformedEventId, IsRefused)
{
    const Result<EventId> parsed = EventId::parse(GetParam());
    ASSERT_FALSE(parsed.has_value());
    EXPECT_EQ(parsed.error().code, ResultCode::BadEventId);
}

INSTANTIATE_TEST_SUITE_P(Texts, MalformedEventId,
                         testing::Values("", ":", "a~1~s~00", "a~1~s:1", "a~1~s~00~x:1",
                                         "~1~s~00:1", "a~~s~00:1", "a~1~~00:1", "a~1~s~:1",
                                         "a~1~s~00:", "a~1~s~00:-1", "a~1~s~00:01", "a~1~s~00:+1",
                                         "a~1~s~00:1 ", "a~01~s~00:1", "a~x~s~00:1", "a b~1~s~00:1",
                                         "a~1~s/..~00:1", "a~1~s~00:18446744073709551616",
                                         std::string("a\0~1~s~00:1", 11),
                                         "a~1~" + std::string(129, 's') + "~00:1",
                                         "a~1~s~00:1" + std::string(600, '0')));

RC_GTEST_PROP(EventIdRandom, ParsesNothingButItsOwnForm, (const std::string &text))
{
    const Result<EventId> parsed = EventId::parse(text);
    const bool holds = !parsed || parsed->toString() == text;
    RC_ASSERT(holds);
}

RC_GTEST_PROP(EventIdRandom, SurvivesDamage, (std::uint16_t place, char byte))
{
    std::string text = makeId().toString();
    text[place % text.size()] = byte;
    const Result<EventId> parsed = EventId::parse(text);
    const bool holds = !parsed || parsed->toString() == text;
    RC_ASSERT(holds);
}

} // namespace
