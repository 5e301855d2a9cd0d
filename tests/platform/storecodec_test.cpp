#include "platform/base64.h"
#include "platform/storeclient.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

TEST(Base64, ComesBackAsItWas)
{
    std::string bytes;
    for (int n = 0; n < 300; ++n) {
        EXPECT_EQ(platform::decodeBase64(platform::encodeBase64(bytes)), bytes);
        bytes += static_cast<char>(n * 7);
    }
    EXPECT_EQ(platform::encodeBase64("node-1"), "bm9kZS0x");
}

TEST(Base64, OtherTextIsRefused)
{
    EXPECT_FALSE(platform::decodeBase64("abc"));
    EXPECT_FALSE(platform::decodeBase64("ab*="));
}

TEST(StoreCodec, ReadsAPage)
{
    const net::StoreResult<platform::StorePage> page = platform::decodePage(
        R"({"Entries":[{"Key":"a","Value":"bm9kZS0x","Revision":4,"Created":4,"LeaseId":0}],
            "HasMore":true,"At":530})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->items[0].value, "node-1");
    EXPECT_EQ(page->at.value, 530U);
    EXPECT_TRUE(page->hasMore);
}

TEST(StoreCodec, ReadsChangesAndRemovals)
{
    const net::StoreResult<net::StoreList> changes = platform::decodeChanges(
        R"({"events":[{"Key":"a","Value":"bm9kZS0x","Revision":4,"Created":4,"LeaseId":0},
            {"Key":"b","Revision":5,"Deleted":true}],"At":6})");
    ASSERT_TRUE(changes);
    EXPECT_FALSE(changes->items[0].deleted);
    EXPECT_TRUE(changes->items[1].deleted);
    EXPECT_EQ(changes->revision.value, 6U);
}

TEST(StoreCodec, ValueThatIsNoBase64ReadsAsEmpty)
{
    const net::StoreResult<platform::StorePage> page = platform::decodePage(
        R"({"Entries":[{"Key":"a","Value":"?","Revision":4}],"HasMore":false,"At":5})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->items[0].value, "");
}

TEST(StoreCodec, AnswersOfAnotherShapeAreErrors)
{
    for (const char *text : {"", "[]", "{}", R"({"Entries":3,"HasMore":false,"At":5})",
                             R"({"Entries":[{"Key":1}],"HasMore":false,"At":5})"}) {
        const net::StoreResult<platform::StorePage> page = platform::decodePage(text);
        ASSERT_FALSE(page);
        EXPECT_EQ(page.error().code, ResultCode::StoreProtocol);
    }
}

TEST(StoreCodec, ReadsTheEra)
{
    EXPECT_EQ(platform::decodeEra("1"), 1U);
    EXPECT_EQ(platform::decodeEra("0"), 0U);
    EXPECT_EQ(platform::decodeEra("18446744073709551615"), 18446744073709551615U);
    for (const std::string_view text :
         {"", "-1", "+1", "1.5", " 1", "1 ", "x", "0x2", "18446744073709551616"})
        EXPECT_FALSE(platform::decodeEra(text)) << text;
}

TEST(StoreCodec, RevisionsCarryTheEraOfTheirAnswer)
{
    const net::StoreResult<net::StoreList> changes = platform::decodeChanges(
        R"({"events":[{"Key":"a","Revision":4,"Deleted":true}],"At":5})", 3);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->revision, (net::StoreRevision {5, 3}));
    EXPECT_EQ(changes->items[0].revision, (net::StoreRevision {4, 3}));
}

} // namespace
