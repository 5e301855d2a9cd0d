#include "tests/config/support.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

TEST(AccountKeys, HashesAsSha256)
{
    EXPECT_EQ(hashKey("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(AccountKeys, ComparesWholeTexts)
{
    EXPECT_TRUE(equalInConstantTime("", ""));
    EXPECT_TRUE(equalInConstantTime("key", "key"));
    EXPECT_FALSE(equalInConstantTime("key", "kez"));
    EXPECT_FALSE(equalInConstantTime("key", "key1"));
}

// First half of the digest of RFC 4231, test case 2.
TEST(AccountKeys, MacIsTruncatedHmacSha256)
{
    EXPECT_EQ(streamMac("Jefe", "what do ya want for nothing?"), "5bdcc146bf60754e");
    EXPECT_NE(streamMac("Jefe", "a"), streamMac("Jefe", "b"));
    EXPECT_NE(streamMac("x", "a"), streamMac("y", "a"));
}

TEST(AccountKeys, DirectoryFindsTheAccountOfAKey)
{
    const std::shared_ptr<const Snapshot> snapshot =
        std::make_shared<const Snapshot>(fescue::testing::sampleSnapshot());
    const AccountDirectory directory(snapshot);
    const Account *account = directory.find("demo-key");
    ASSERT_NE(account, nullptr);
    EXPECT_EQ(account->name, AccountName("diner"));
    EXPECT_EQ(directory.find("demo-ke"), nullptr);
    EXPECT_EQ(directory.find(""), nullptr);
    EXPECT_EQ(directory.find(account->keyHash), nullptr);
}

} // namespace
