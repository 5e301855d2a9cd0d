#include "fescue/core/claimrecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace fescue;

ClaimRecord makeRecord()
{
    ClaimRecord record;
    record.nonce = "n-1";
    record.requestDigest = "abcd";
    record.state = ClaimState::Done;
    record.holder = {MemberName {"entry-1"}, {3}};
    record.deadlineLeft = 1500_ms;
    record.answer = {201, "application/json", "{}"};
    return record;
}

TEST(ClaimRecord, RefusesWhatIsNotARecord)
{
    for (const char *text : {"", "[]", "{}", "{\"nonce\":1}", "nonsense"}) {
        const Result<ClaimRecord> record = ClaimRecord::parse(text);
        ASSERT_FALSE(record.has_value()) << text;
        EXPECT_EQ(record.error().code, ResultCode::StoreProtocol);
    }
}

TEST(ClaimRecord, KeepsEveryByteOfTheBody)
{
    ClaimRecord record = makeRecord();
    for (int byte = 0; byte < 256; ++byte)
        record.answer.body.push_back(static_cast<char>(byte));
    EXPECT_EQ(ClaimRecord::parse(record.toText()), record);
}

TEST(ClaimRecord, TheLongestKeptBodyFitsAValueOfTheStore)
{
    constexpr std::size_t storeLimit = 1'000'000;
    ClaimRecord record = makeRecord();
    record.answer.body.assign(ClaimRecord::maxKeptBody, '\x01');
    // The value is a JSON text within a JSON text, where each backslash is written twice.
    EXPECT_LT(record.toText().size() + ClaimRecord::maxKeptBody, storeLimit);
}

RC_GTEST_PROP(ClaimRecordRandom, RoundTrip, (const std::string &body, std::uint16_t status))
{
    ClaimRecord record = makeRecord();
    record.answer.body = body;
    record.answer.status = status;
    RC_ASSERT(ClaimRecord::parse(record.toText()) == record);
}

RC_GTEST_PROP(ClaimRecordRandom, SurvivesDamage, (std::uint16_t place, char byte))
{
    std::string text = makeRecord().toText();
    text[place % text.size()] = byte;
    static_cast<void>(ClaimRecord::parse(text));
}

} // namespace
