#include "tests/config/support.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace fescue;
using fescue::testing::sampleSnapshot;
using nlohmann::json;

const std::vector<std::string> sampleNonces = {"n4", "n3"};

json sampleJson()
{
    return json::parse(serializeSnapshot(sampleSnapshot(), sampleNonces).value());
}

TEST(SnapshotJson, ReadsWhatItWrote)
{
    const Result<StoredSnapshot> stored =
        parseStoredSnapshot(serializeSnapshot(sampleSnapshot(), sampleNonces).value());
    ASSERT_TRUE(stored) << stored.error().toString();
    EXPECT_EQ(stored->snapshot, sampleSnapshot());
    EXPECT_EQ(stored->nonces, sampleNonces);
    EXPECT_EQ(parseSnapshot(sampleJson().dump()).value(), sampleSnapshot());
}

TEST(SnapshotJson, NoncesNameTheVersionsBefore)
{
    const StoredSnapshot stored {sampleSnapshot(), sampleNonces};
    EXPECT_EQ(stored.versionOf("n4"), ConfigVersion {4});
    EXPECT_EQ(stored.versionOf("n3"), ConfigVersion {3});
    EXPECT_FALSE(stored.versionOf("n2"));
}

TEST(SnapshotJson, KeepsTheLatestNonces)
{
    const std::vector<std::string> many(maxKeptNonces + 4, "n");
    EXPECT_EQ(parseStoredSnapshot(serializeSnapshot(sampleSnapshot(), many).value())->nonces.size(),
              maxKeptNonces);
}

TEST(SnapshotJson, VersionIsAMemberOfTheText)
{
    EXPECT_EQ(sampleJson()["version"], 4);
}

TEST(SnapshotJson, RefusesMoreThanTheStoreHolds)
{
    Snapshot snapshot = sampleSnapshot();
    snapshot.streamSecret = std::string(maxSnapshotBytes, 'a');
    EXPECT_EQ(serializeSnapshot(snapshot).error().code, ResultCode::ConfigTooLarge);
    EXPECT_EQ(parseSnapshot(std::string(maxSnapshotBytes + 1, ' ')).error().code,
              ResultCode::ConfigTooLarge);
}

TEST(SnapshotJson, HoldsTheSizeToDesignFor)
{
    Snapshot snapshot = sampleSnapshot();
    const Endpoint endpoint = snapshot.endpoints.front();
    const Account account = snapshot.accounts.front();
    snapshot.endpoints.clear();
    snapshot.accounts.clear();
    for (int n = 0; n < 610; ++n) {
        snapshot.endpoints.push_back(endpoint);
        snapshot.endpoints.back().name = EndpointName("endpoint-" + std::to_string(1000 + n));
        snapshot.endpoints.back().address = "10.0.0.1:" + std::to_string(1000 + n);
    }
    for (int n = 0; n < 2200; ++n) {
        snapshot.accounts.push_back(account);
        snapshot.accounts.back().name = AccountName("account-" + std::to_string(1000 + n));
        snapshot.accounts.back().keyHash = hashKey(std::to_string(n));
    }
    const Result<std::string> text = serializeSnapshot(snapshot);
    ASSERT_TRUE(text) << text.error().toString();
    RecordProperty("bytes", static_cast<int>(text->size()));
    EXPECT_EQ(parseSnapshot(*text).value(), snapshot);
}

// One change of the sample text that makes it invalid.
struct Damage
{
    const char *label;
    const char *pointer;
    // JSON of the new value; empty removes the member.
    const char *value;
    ResultCode code;
    const char *message;
};

std::ostream &operator<<(std::ostream &stream, const Damage &damage)
{
    return stream << damage.label;
}

const Damage damages[] = {
    {"Format", "/format", "2", ResultCode::ConfigBadValue, "format 1"},
    {"NoVersion", "/version", "", ResultCode::ConfigMissing, "version is missing"},
    {"NegativeVersion", "/version", "-1", ResultCode::ConfigBadValue, "version must be"},
    {"TextVersion", "/version", "\"4\"", ResultCode::ConfigBadValue, "version must be"},
    {"Nonce", "/nonces/0", "1", ResultCode::ConfigBadValue, "nonces[0] must be"},
    {"Extra", "/other", "1", ResultCode::ConfigUnknownKey, "other is not"},
    {"ZonesNoArray", "/zones", "{}", ResultCode::ConfigBadValue, "zones must be an array"},
    {"ZoneNoObject", "/zones/0", "3", ResultCode::ConfigSyntax, "zones[0] must be"},
    {"ZoneExtra", "/zones/1/x", "3", ResultCode::ConfigUnknownKey, "zones[1].x"},
    {"OutNumber", "/zones/0/out", "1", ResultCode::ConfigBadValue, "zones[0].out must be true"},
    {"Unsorted", "/zones/0/name", "\"west\"", ResultCode::ConfigConflict, "not sorted"},
    {"Twice", "/zones/0/name", "\"south\"", ResultCode::ConfigConflict, "stands twice"},
    {"VmNumber", "/vms_out/0", "1", ResultCode::ConfigBadValue, "vms_out[0] must be"},
    {"VmName", "/vms_out/0", "\"a/b\"", ResultCode::ConfigBadValue, "not a name"},
    {"Kind", "/services/0/kind", "\"modle\"", ResultCode::ConfigBadValue, "\"plain\""},
    {"Gap", "/services/0/token_gap_target_ms", "0", ResultCode::ConfigBadValue, "token-gap"},
    {"Outputs", "/services/0/max_output_tokens", "4294967296", ResultCode::ConfigBadValue,
     "4294967295"},
    {"CallOfModel", "/services/1/kind", "\"model\"", ResultCode::ConfigBadValue, "is a model"},
    {"CallPath", "/services/1/calls/0/path_prefix", "\"adjust\"", ResultCode::ConfigBadValue,
     "must start with"},
    {"CallTimeout", "/services/1/calls/0/timeout_ms", "0", ResultCode::ConfigBadValue, "timeout"},
    {"CallOrder", "/services/1/calls/0/path_prefix", "\"/z\"", ResultCode::ConfigConflict,
     "unique and sorted"},
    {"NoService", "/endpoints/0/service", "\"nope\"", ResultCode::ConfigMissing, "nope"},
    {"NoZone", "/endpoints/0/zone", "\"nope\"", ResultCode::ConfigMissing, "nope"},
    {"Address", "/endpoints/0/address", "\"host:1\"", ResultCode::ConfigBadValue, "IP number"},
    {"Slots", "/endpoints/0/slots", "0", ResultCode::ConfigBadValue, "slots"},
    {"ColdSlots", "/endpoints/0/cold_slots", "17", ResultCode::ConfigConflict, "17 is more"},
    {"Memory", "/endpoints/0/memory_tokens", "0", ResultCode::ConfigBadValue, "memory-tokens"},
    {"KeyHash", "/accounts/0/key_hash", "\"abc\"", ResultCode::ConfigBadValue, "64 lower-case"},
    {"Weight", "/accounts/0/weight", "0", ResultCode::ConfigBadValue, "weight"},
    {"AccountService", "/accounts/0/services/0", "\"nope\"", ResultCode::ConfigMissing, "nope"},
    {"Secret", "/stream_secret", "\"00\"", ResultCode::ConfigBadValue, "stream-secret"},
    {"Ttl", "/directory_ttl_ms", "0", ResultCode::ConfigBadValue, "directory-ttl"},
};

class SnapshotDamage : public ::testing::TestWithParam<Damage>
{ };

TEST_P(SnapshotDamage, IsRefused)
{
    const Damage &damage = GetParam();
    json value = sampleJson();
    const json::json_pointer pointer(damage.pointer);
    if (*damage.value == '\0')
        value.erase(pointer.back());
    else
        value[pointer] = json::parse(damage.value);
    const Result<Snapshot> snapshot = parseSnapshot(value.dump());
    ASSERT_FALSE(snapshot);
    EXPECT_EQ(snapshot.error().code, damage.code) << snapshot.error().toString();
    EXPECT_NE(snapshot.error().message.find(damage.message), std::string::npos)
        << snapshot.error().toString();
}

INSTANTIATE_TEST_SUITE_P(Each, SnapshotDamage, ::testing::ValuesIn(damages),
                         [](const ::testing::TestParamInfo<Damage> &info) {
                             return std::string(info.param.label);
                         });

} // namespace
