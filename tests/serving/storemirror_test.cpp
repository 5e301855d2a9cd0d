#include "fescue/serving/storemirror.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

net::StoreItem item(std::string key, std::uint64_t revision, std::string value = "v")
{
    return {std::move(key), std::move(value), {revision}, false};
}

TEST(StoreMirror, PagedListingReportsNewChangedAndMissingKeys)
{
    StoreMirror mirror;
    static_cast<void>(mirror.apply({item("a", 1), item("b", 2), item("c", 3)}));
    mirror.beginListing();
    EXPECT_TRUE(mirror.addPage({item("a", 1)}).empty());
    const std::vector<StoreChange> changed = mirror.addPage({item("c", 9), item("d", 10)});
    ASSERT_EQ(changed.size(), 2U);
    const std::vector<StoreChange> missing = mirror.endListing();
    ASSERT_EQ(missing.size(), 1U);
    EXPECT_EQ(missing.front().key, "b");
    EXPECT_TRUE(missing.front().removed);
}

TEST(StoreMirror, OlderStateOfAKeyIsIgnored)
{
    StoreMirror mirror;
    static_cast<void>(mirror.apply({item("a", 5)}));
    EXPECT_TRUE(mirror.apply({item("a", 4)}).empty());
    EXPECT_TRUE(mirror.apply({item("a", 5)}).empty());
    EXPECT_EQ(mirror.apply({item("a", 6)}).size(), 1U);
}

TEST(StoreMirror, RemovedKeyMayBeWrittenAgain)
{
    StoreMirror mirror;
    static_cast<void>(mirror.apply({item("a", 5)}));
    net::StoreItem deletion = item("a", 6);
    deletion.deleted = true;
    ASSERT_EQ(mirror.apply({deletion}).size(), 1U);
    EXPECT_EQ(mirror.apply({item("a", 7)}).size(), 1U);
}

} // namespace
