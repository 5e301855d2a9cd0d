#include "fescue/serving/quarantinenotice.h"
#include "fescue/serving/storefeed.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

QuarantineEntry entryOf(PartId part)
{
    QuarantineEntry entry;
    entry.parts = {part};
    entry.version = 3;
    entry.crashes = 4;
    entry.trials = 1;
    entry.rivals = {8, 9};
    entry.since = 7_s;
    entry.lastCrashAt = 9_s;
    entry.lastTrialAt = 5_s;
    return entry;
}

TEST(QuarantineNotice, TimesAreSentAsAges)
{
    QuarantineNotice notice;
    notice.fromZone = ZoneName("north");
    notice.crashes = {{{EndpointName("e1"), {5}}, 30_ms, {1, 0xffffffffffffffff}}};
    notice.startedParts = {2, 3};
    notice.entries = {entryOf(7)};
    const std::vector<std::string> messages = encodeQuarantineNotice(notice, 10_s);
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(decodeQuarantineNotice(messages.front(), 10_s).value(), notice);
    const Result<QuarantineNotice> elsewhere = decodeQuarantineNotice(messages.front(), 110_s);
    EXPECT_EQ(elsewhere->entries.front().since, 107_s);
    EXPECT_EQ(elsewhere->entries.front().lastCrashAt, 109_s);
}

TEST(QuarantineNotice, LongNoticesAreSplitIntoDatagrams)
{
    QuarantineNotice notice;
    for (int n = 0; n < 4; ++n) {
        CrashReport report {{EndpointName("e" + std::to_string(n)), {1}}, 0_ms, {}};
        for (PartId part = 0; part < 512; ++part)
            report.parts.push_back(0xf000000000000000 + part);
        notice.crashes.push_back(report);
    }
    for (PartId part = 0; part < 256; ++part)
        notice.entries.push_back(entryOf(part));
    std::size_t crashes = 0;
    std::size_t entries = 0;
    for (const std::string &message : encodeQuarantineNotice(notice, 10_s)) {
        EXPECT_LE(message.size(), maxStoreUpdateBytes);
        const Result<QuarantineNotice> decoded = decodeQuarantineNotice(message, 10_s);
        ASSERT_TRUE(decoded);
        crashes += decoded->crashes.size();
        entries += decoded->entries.size();
    }
    EXPECT_EQ(crashes, 4U);
    EXPECT_EQ(entries, 256U);
    EXPECT_TRUE(encodeQuarantineNotice({}, 10_s).empty());
}

TEST(QuarantineNotice, OtherBytesAreMalformed)
{
    for (const std::string_view bytes : {"", "x", "\x81\x01", "\xff\xff\xff"}) {
        EXPECT_FALSE(decodeQuarantineNotice(bytes, 1_s));
        EXPECT_FALSE(parseQuarantineJson(bytes, 1_s, 1_s));
    }
    EXPECT_FALSE(parseQuarantineJson(R"({"parts":[]})", 1_s, 1_s));
    EXPECT_FALSE(parseQuarantineJson(R"({"parts":["x"],"version":1})", 1_s, 1_s));
}

// Guards against log lines as long as the prompts that callers send.
TEST(QuarantineNotice, SummaryOfPartsIsBounded)
{
    std::vector<PartId> parts {1, 2, 3, 4, 5, 6, 7, 0xa};
    EXPECT_EQ(partsSummary(parts), "1,2,3,4,5,6,7,a");
    parts.push_back(9);
    EXPECT_EQ(partsSummary(parts), "1,2,3,4,5,6,7,a,...");
    EXPECT_EQ(partsSummary({}), "");
}

TEST(QuarantineNotice, StoredEntryIsReadByAnotherProcess)
{
    const QuarantineEntry entry = entryOf(0x4a0e7372ab33);
    EXPECT_EQ(quarantineKey(entry), "quarantine/4a0e7372ab33");
    const std::string json = quarantineJson(entry, 10_s, 500'000_s);
    const Result<QuarantineEntry> same = parseQuarantineJson(json, 10_s, 500'000_s);
    ASSERT_TRUE(same) << same.error().message;
    EXPECT_EQ(*same, entry);
    // The wall clock of the reader is behind: no time lies in its future.
    const Result<QuarantineEntry> early = parseQuarantineJson(json, 10_s, 499'000_s);
    EXPECT_EQ(early->lastCrashAt, 10_s);
}

} // namespace
