#include "tests/config/support.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using fescue::testing::Mistake;

constexpr std::string_view fullText = R"([daemon]
name = entry-1
zone = north
vm = vm-1
listen = 127.0.0.1:0
peer-listen = [::1]:7301
seed-peers = 127.0.0.1:7302, 127.0.0.1:7303
workers = 4
drain-grace = 5m

[store]
address = 127.0.0.1:7400
timeout = 250ms

[vmlist]
address = 127.0.0.1:7500

[limits]
max-head = 8KB
max-body = 1MB
max-connections = 100
idle-timeout = 30s
caller-write-timeout = 3s

[log]
level = warning
)";

TEST(Settings, ReadsEveryKey)
{
    const Checked<DaemonSettings> settings = parseSettings(fullText, "entry.ini");
    ASSERT_TRUE(settings) << toString(settings.error());
    EXPECT_EQ(settings->name, MemberName("entry-1"));
    EXPECT_EQ(settings->zone, ZoneName("north"));
    EXPECT_EQ(settings->vm, VmName("vm-1"));
    EXPECT_EQ(settings->listen, (HostPort {"127.0.0.1", 0}));
    EXPECT_EQ(settings->peerListen.toString(), "[::1]:7301");
    ASSERT_EQ(settings->seedPeers.size(), 2U);
    EXPECT_EQ(settings->seedPeers[1], (HostPort {"127.0.0.1", 7303}));
    EXPECT_EQ(settings->workers, 4U);
    EXPECT_EQ(settings->drainGrace, 300_s);
    EXPECT_EQ(settings->storeTimeout, 250_ms);
    ASSERT_TRUE(settings->vmList);
    EXPECT_EQ(settings->vmList->port, 7500);
    EXPECT_EQ(settings->limits, (LimitSettings {8192, 1048576, 100, 30_s, 3_s}));
    EXPECT_EQ(settings->logLevel, "warning");
}

// A settings file whose line 6 is free for a mistake.
std::string textWith(std::string_view line)
{
    return "[daemon]\nname = e\nzone = z\nvm = v\nlisten = 127.0.0.1:0\n" + std::string(line)
        + "\npeer-listen = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:7400\n";
}

const Mistake lineMistakes[] = {
    {"UnknownKey", "workrs = 2", 6, 1, ResultCode::ConfigUnknownKey, "\"workers\""},
    {"NotANumber", "workers = 2x", 6, 11, ResultCode::ConfigBadValue, "between 1 and 64"},
    {"Negative", "workers = -1", 6, 11, ResultCode::ConfigBadValue, "between 1 and 64"},
    {"TooMany", "workers =  65", 6, 12, ResultCode::ConfigBadValue, "between 1 and 64"},
    {"Overflow", "workers = 99999999999999999999", 6, 11, ResultCode::ConfigBadValue, "between"},
    {"NoUnit", "drain-grace = 5", 6, 15, ResultCode::ConfigBadValue, "250ms"},
    {"WrongUnit", "drain-grace = 5KB", 6, 15, ResultCode::ConfigBadValue, "250ms"},
    {"TooLong", "drain-grace = 25h", 6, 15, ResultCode::ConfigBadValue, "86400000ms"},
    {"Seed", "seed-peers = 127.0.0.1:1, 127.0.0.1:0", 6, 14, ResultCode::ConfigBadValue,
     "\"127.0.0.1:0\" needs"},
    {"UnknownSection", "[stroe]", 6, 1, ResultCode::ConfigUnknownKey, "\"store\""},
    {"SectionName", "[log x]", 6, 1, ResultCode::ConfigSyntax, "takes no name"},
    {"Size", "[limits]\nmax-body = 1KiB", 7, 12, ResultCode::ConfigBadValue, "64KB"},
    {"SmallSize", "[limits]\nmax-body = 10", 7, 12, ResultCode::ConfigBadValue, "1024 and"},
    {"Level", "[log]\nlevel = wraning", 7, 9, ResultCode::ConfigBadValue, "\"warning\""},
    {"VmListPort", "[vmlist]\naddress = 127.0.0.1:0", 7, 11, ResultCode::ConfigBadValue,
     "other than 0"},
    {"HostName", "[vmlist]\naddress = localhost:1", 7, 11, ResultCode::ConfigBadValue,
     "names are not resolved"},
    {"NoPort", "[vmlist]\naddress = 127.0.0.1", 7, 11, ResultCode::ConfigBadValue, "IP:PORT"},
    {"BigPort", "[vmlist]\naddress = 127.0.0.1:65536", 7, 11, ResultCode::ConfigBadValue,
     "IP:PORT"},
    {"NoAddress", "[vmlist]", 6, 1, ResultCode::ConfigMissing, "\"address\""},
    {"SecondStore", "[store]\naddress = 127.0.0.1:1", 9, 1, ResultCode::ConfigConflict, "line 6"},
};

class SettingsMistake : public ::testing::TestWithParam<Mistake>
{ };

TEST_P(SettingsMistake, IsReportedAtItsPlace)
{
    const Checked<DaemonSettings> settings = parseSettings(textWith(GetParam().text), "e.ini");
    ASSERT_FALSE(settings);
    EXPECT_TRUE(fescue::testing::reports(settings.error(), GetParam()))
        << toString(settings.error());
}

INSTANTIATE_TEST_SUITE_P(Each, SettingsMistake, ::testing::ValuesIn(lineMistakes),
                         [](const ::testing::TestParamInfo<Mistake> &info) {
                             return std::string(info.param.label);
                         });

TEST(Settings, ReportsEachMissingKeyAndSection)
{
    const Checked<DaemonSettings> settings = parseSettings("[daemon]\n", "e.ini");
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().size(), 6U) << toString(settings.error());
}

TEST(Settings, SaysThatAFileCannotBeRead)
{
    const Checked<DaemonSettings> settings = loadSettings("/nonexistent/e.ini");
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().front().code, ResultCode::FileUnreadable);
}

} // namespace
