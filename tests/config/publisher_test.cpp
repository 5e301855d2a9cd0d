#include "tests/config/support.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using fescue::testing::Mistake;
using fescue::testing::sampleFile;

Checked<Declaration> collect(std::initializer_list<ServiceFileText> files)
{
    const std::vector<ServiceFileText> list(files);
    return collectDeclaration(list);
}

TEST(Publisher, CollectsAllItems)
{
    const Checked<Declaration> declaration = collect({{"a.ini", std::string(sampleFile)}});
    ASSERT_TRUE(declaration) << toString(declaration.error());
    const Snapshot &snapshot = declaration->snapshot;
    EXPECT_EQ(snapshot.zones.size(), 1U);
    ASSERT_NE(snapshot.findService(ServiceName("ledger")), nullptr);
    EXPECT_EQ(snapshot.findService(ServiceName("ledger"))->calls.size(), 1U);
    const Endpoint *endpoint = snapshot.findEndpoint(EndpointName("ash-1"));
    ASSERT_NE(endpoint, nullptr);
    EXPECT_EQ(endpoint->fencing, FencingSupport::Checks);
    EXPECT_EQ(snapshot.findAccount(AccountName("diner"))->maxStreams, 64U);
    EXPECT_TRUE(declaration->zonesWithState.empty());
}

TEST(Publisher, SortsItemsOfSeveralFiles)
{
    const Checked<Declaration> declaration =
        collect({{"a.ini", std::string(sampleFile)},
                 {"b.ini", "[zone east]\nregion = alpha\n[call ledger /a]\nrepeatable = yes\n"}});
    ASSERT_TRUE(declaration) << toString(declaration.error());
    EXPECT_EQ(declaration->snapshot.zones.front().name, ZoneName("east"));
    EXPECT_EQ(declaration->snapshot.findService(ServiceName("ledger"))->calls.front().pathPrefix,
              "/a");
}

// Mistakes in a second file beside the sample file.
const Mistake fileMistakes[] = {
    {"Section", "[zoen x]", 1, 1, ResultCode::ConfigUnknownKey, "\"zone\""},
    {"NoName", "[zone]", 1, 1, ResultCode::ConfigSyntax, "[zone NAME]"},
    {"TwoNames", "[zone a b]", 1, 1, ResultCode::ConfigSyntax, "[zone NAME]"},
    {"BadName", "[vm a/b]", 1, 1, ResultCode::ConfigBadValue, "not a name"},
    {"CallNoPath", "[call ledger]", 1, 1, ResultCode::ConfigSyntax, "[call SERVICE /path]"},
    {"CallPath", "[call ledger adjust]\nrepeatable=no", 1, 1, ResultCode::ConfigBadValue, "\"/\""},
    {"CallService", "[call x /y]\nrepeatable=no", 1, 1, ResultCode::ConfigMissing, "\"x\""},
    {"CallOfModel", "[call draft /y]\nrepeatable=no", 1, 1, ResultCode::ConfigBadValue, "a model"},
    {"CallContract", "[call ledger /y]", 1, 1, ResultCode::ConfigMissing, "\"repeatable\""},
    {"Repeatable", "[call ledger /y]\nrepeatable = maybe", 2, 14, ResultCode::ConfigBadValue,
     "yes or no"},
    {"Region", "[zone east]", 1, 1, ResultCode::ConfigMissing, "\"region\""},
    {"ZoneKey", "[zone east]\nregion=a\nregoin = b", 3, 1, ResultCode::ConfigUnknownKey,
     "\"region\""},
    {"ZoneTwice", "\n[zone north]\nregion=a", 2, 1, ResultCode::ConfigConflict, "a.ini:1:1"},
    {"AccountTwice", "[account diner]\nkey-hash=00", 1, 1, ResultCode::ConfigConflict,
     "a.ini:22:1"},
    {"SystemTwice", "[system]\nstream-secret=00", 1, 1, ResultCode::ConfigConflict, "a.ini:25:1"},
    {"Kind", "[service s]\nkind = modle", 2, 8, ResultCode::ConfigBadValue, "model or plain"},
    {"Profile", "[service s]\nkind = model\nprofile = fast", 3, 11, ResultCode::ConfigBadValue,
     "finish or latency"},
    {"KeyHash", "[account b]\nkey-hash = 00", 2, 12, ResultCode::ConfigBadValue, "hash-key"},
    {"KeyTwice",
     "[account e]\nkey-hash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", 2,
     12, ResultCode::ConfigConflict, "same key"},
    {"Services",
     "[account b]\nservices = draft, x\n"
     "key-hash = 1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
     2, 12, ResultCode::ConfigMissing, "\"x\""},
    {"EmptyItem", "[account b]\nservices = draft,,x", 2, 12, ResultCode::ConfigBadValue,
     "empty item"},
    {"Weight", "[account b]\nweight = nan", 2, 10, ResultCode::ConfigBadValue, "weight"},
    {"Zone", "[endpoint e]\nzone = nroth", 2, 8, ResultCode::ConfigMissing, "\"nroth\""},
    {"Service", "[endpoint e]\nservice = x", 2, 11, ResultCode::ConfigMissing, "\"x\""},
    {"Address", "[endpoint e]\naddress = 1.2.3:4", 2, 11, ResultCode::ConfigBadValue, "IP number"},
    {"SameAddress", "[endpoint e]\naddress = 127.0.0.1:7101", 2, 11, ResultCode::ConfigConflict,
     "ash-1"},
    {"Slots", "[endpoint e]\nslots = 0", 2, 9, ResultCode::ConfigBadValue, "between 1"},
    {"ColdSlots", "[endpoint e]\nslots = 4\ncold-slots = 5", 3, 14, ResultCode::ConfigConflict,
     "5 is more than slots = 4"},
    {"Memory", "[endpoint e]\nservice = ledger\nmemory-tokens = 9", 3, 17,
     ResultCode::ConfigBadValue, "plain service"},
    {"Fencing", "[endpoint e]\nfencing = yes", 2, 11, ResultCode::ConfigBadValue,
     "checks or ignores"},
};

class FileMistake : public ::testing::TestWithParam<Mistake>
{ };

TEST_P(FileMistake, IsReportedAtItsPlace)
{
    const Checked<Declaration> declaration =
        collect({{"a.ini", std::string(sampleFile)}, {"b.ini", GetParam().text}});
    ASSERT_FALSE(declaration);
    EXPECT_TRUE(fescue::testing::reports(declaration.error(), GetParam()))
        << toString(declaration.error());
    for (const Error &error : declaration.error())
        EXPECT_EQ(error.position.file, "b.ini") << error.toString();
}

INSTANTIATE_TEST_SUITE_P(Each, FileMistake, ::testing::ValuesIn(fileMistakes),
                         [](const ::testing::TestParamInfo<Mistake> &info) {
                             return std::string(info.param.label);
                         });

TEST(Publisher, ReportsTheMistakesOfAllFilesInOrder)
{
    const Checked<Declaration> declaration =
        collect({{"b.ini", "[zone]\nword\n[vm a]\nx = 1\n"}, {"a.ini", "[zone]\n"}});
    ASSERT_FALSE(declaration);
    ASSERT_EQ(declaration.error().size(), 5U) << toString(declaration.error());
    EXPECT_NE(declaration.error()[0].message.find("[system]"), std::string::npos);
    EXPECT_EQ(declaration.error()[1].position, (SourcePosition {"a.ini", 1, 1}));
    EXPECT_EQ(declaration.error()[4].position, (SourcePosition {"b.ini", 4, 1}));
}

Declaration sampleDeclaration(std::string_view more)
{
    return collect({{"a.ini", std::string(sampleFile)}, {"b.ini", std::string(more)}}).value();
}

TEST(Publisher, KeepsZonesAndVmsOut)
{
    Snapshot current = sampleDeclaration("").snapshot;
    current.version = ConfigVersion {7};
    current.zones.front().out = true;
    current.vmsOut = {{VmName("vm-ash")}};
    const Snapshot next = nextSnapshot(sampleDeclaration("[vm vm-ash]\n"), current);
    EXPECT_EQ(next.version, ConfigVersion {8});
    EXPECT_FALSE(next.isZoneIn(ZoneName("north")));
    EXPECT_TRUE(next.isVmOut(VmName("vm-ash")));
}

TEST(Publisher, StatesInFilesComeFirst)
{
    Snapshot current = sampleDeclaration("[zone east]\nregion = a\n").snapshot;
    current.zones.front().out = true;
    current.vmsOut = {{VmName("vm-ash")}};
    const Snapshot next = nextSnapshot(
        sampleDeclaration("[zone east]\nregion = a\nout = no\n[vm vm-ash]\nout = no\n"), current);
    EXPECT_TRUE(next.isZoneIn(ZoneName("east")));
    EXPECT_FALSE(next.isVmOut(VmName("vm-ash")));
    EXPECT_TRUE(
        nextSnapshot(sampleDeclaration("[vm x]\nout = yes\n"), current).isVmOut(VmName("x")));
}

TEST(Publisher, ChangesTheStateOfOneZoneOrVm)
{
    const Snapshot current = sampleDeclaration("").snapshot;
    const Snapshot out = withZoneState(current, ZoneName("north"), ServiceState::Out).value();
    EXPECT_FALSE(out.isZoneIn(ZoneName("north")));
    EXPECT_EQ(out.version, ConfigVersion {1});
    EXPECT_TRUE(
        withZoneState(out, ZoneName("north"), ServiceState::In)->isZoneIn(ZoneName("north")));
    EXPECT_FALSE(withZoneState(current, ZoneName("nope"), ServiceState::Out));
    const Snapshot vmOut = withVmState(current, VmName("vm-x"), ServiceState::Out).value();
    EXPECT_TRUE(vmOut.isVmOut(VmName("vm-x")));
    EXPECT_EQ(withVmState(vmOut, VmName("vm-x"), ServiceState::Out)->vmsOut.size(), 1U);
    EXPECT_TRUE(withVmState(vmOut, VmName("vm-x"), ServiceState::In)->vmsOut.empty());
}

} // namespace
