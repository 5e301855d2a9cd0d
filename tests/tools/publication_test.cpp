#include "fescue/tools/publication.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::tools;

// What happens to one call of the store.
enum class CallFault : std::uint8_t
{
    None,
    // Takes effect; the answer is lost.
    AnswerLost,
    // Does not take effect; the caller sees a timeout.
    RequestLost,
    // Takes effect after the next read; the caller sees a timeout.
    Delayed,
    // Refused before anything took effect.
    Refused,
};

// A store with one key and a fault for each call.
class FakeStore
{
public:
    Result<StoreValue> get(std::string_view key)
    {
        ++reads;
        const CallFault fault = nextFault(readFaults);
        if (fault == CallFault::Refused)
            return fail(ResultCode::StoreUnavailable, "refused");
        if (fault != CallFault::None)
            return fail(ResultCode::StoreTimeout, "no answer");
        StoreValue found {std::string(key), value, revision};
        applyDelayed();
        return found;
    }

    Result<std::uint64_t> putIf(std::string_view, std::string_view text, std::uint64_t condition)
    {
        ++writes;
        if (beforeWrite)
            std::exchange(beforeWrite, nullptr)();
        const CallFault fault = nextFault(writeFaults);
        if (fault == CallFault::Refused)
            return fail(ResultCode::StoreUnavailable, "refused");
        if (fault == CallFault::Delayed)
            delayed.push_back({std::string(text), condition});
        if (fault == CallFault::RequestLost || fault == CallFault::Delayed)
            return fail(ResultCode::StoreTimeout, "no answer");
        const bool applied = apply(text, condition);
        if (fault == CallFault::AnswerLost) {
            if (afterLostAnswer)
                std::exchange(afterLostAnswer, nullptr)();
            return fail(ResultCode::StoreTimeout, "no answer");
        }
        if (!applied)
            return fail(ResultCode::StoreConflict, "changed");
        return revision;
    }

    bool apply(std::string_view text, std::uint64_t condition)
    {
        if (condition != revision)
            return false;
        value = text;
        revision += 3;
        ++changes;
        return true;
    }

    // Publishes an empty snapshot as another operator.
    void publishAsOther(const std::string &nonce)
    {
        const CurrentConfig current = readCurrentConfig(*this).value();
        Snapshot next = current.stored.snapshot;
        ++next.version.value;
        next.streamSecret = "ffffffffffffffffffffffffffffffff";
        std::vector<std::string> nonces = {nonce};
        nonces.insert(nonces.end(), current.stored.nonces.begin(), current.stored.nonces.end());
        EXPECT_TRUE(apply(serializeSnapshot(next, nonces).value(), revision));
    }

    void applyDelayed()
    {
        for (const std::pair<std::string, std::uint64_t> &write : std::exchange(delayed, {}))
            apply(write.first, write.second);
    }

    static CallFault nextFault(std::vector<CallFault> &faults)
    {
        if (faults.empty())
            return CallFault::None;
        const CallFault fault = faults.front();
        faults.erase(faults.begin());
        return fault;
    }

    std::vector<CallFault> readFaults;
    std::vector<CallFault> writeFaults;
    std::function<void()> beforeWrite;
    std::function<void()> afterLostAnswer;
    std::vector<std::pair<std::string, std::uint64_t>> delayed;
    std::string value;
    std::uint64_t revision = 0;
    int changes = 0;
    int reads = 0;
    int writes = 0;
};

Result<Snapshot> addZone(const Snapshot &current)
{
    Snapshot next = current;
    ++next.version.value;
    next.streamSecret = "00112233445566778899aabbccddeeff";
    if (next.zones.empty())
        next.zones.push_back({ZoneName("north"), "alpha", false});
    return next;
}

PublishRequest request(OnConflict onConflict = OnConflict::Report)
{
    return {"mine", {}, {}, onConflict};
}

Snapshot stored(FakeStore &store)
{
    return readCurrentConfig(store).value().stored.snapshot;
}

TEST(Publication, FirstVersionIsOne)
{
    FakeStore store;
    const tl::expected<Published, PublishFailure> published =
        publishEdit(store, addZone, request());
    ASSERT_TRUE(published);
    EXPECT_EQ(published->version, ConfigVersion {1});
    EXPECT_EQ(published->changes.back(), "+ zone north");
    EXPECT_EQ(stored(store).zones.size(), 1U);
}

TEST(Publication, WritesNothingWhereNothingChanges)
{
    FakeStore store;
    ASSERT_TRUE(publishEdit(store, addZone, request()));
    const tl::expected<Published, PublishFailure> again = publishEdit(store, addZone, request());
    ASSERT_TRUE(again);
    EXPECT_EQ(again->version, ConfigVersion {1});
    EXPECT_TRUE(again->changes.empty());
    EXPECT_EQ(store.writes, 1);
}

TEST(Publication, ExceedsWhatDaemonsHaveAfterTheStoreLostItsData)
{
    FakeStore store;
    PublishRequest above = request();
    above.versionInForce = ConfigVersion {41};
    EXPECT_EQ(publishEdit(store, addZone, above)->version, ConfigVersion {42});
    EXPECT_EQ(stored(store).version, ConfigVersion {42});
}

TEST(Publication, ExceedsWhatDaemonsHaveWhereTheStoreHoldsAnOldVersion)
{
    FakeStore store;
    ASSERT_TRUE(publishEdit(store, addZone, request()));
    PublishRequest above = request();
    above.nonce = "again";
    above.versionInForce = ConfigVersion {41};
    store.writeFaults = {CallFault::AnswerLost};
    EXPECT_EQ(publishEdit(store, addZone, above)->version, ConfigVersion {42});
    const StoredSnapshot found = readCurrentConfig(store)->stored;
    EXPECT_EQ(found.versionOf("again"), ConfigVersion {42});
    EXPECT_FALSE(found.versionOf("mine"));
}

TEST(Publication, KeepsTheNoncesOfEarlierVersions)
{
    FakeStore store;
    store.publishAsOther("other");
    ASSERT_TRUE(publishEdit(store, addZone, request()));
    const StoredSnapshot found = readCurrentConfig(store)->stored;
    EXPECT_EQ(found.versionOf("other"), ConfigVersion {1});
    EXPECT_EQ(found.versionOf("mine"), ConfigVersion {2});
}

struct LostCase
{
    const char *label;
    std::vector<CallFault> writes;
    // After the read of the current version.
    std::vector<CallFault> reads;
};

std::ostream &operator<<(std::ostream &stream, const LostCase &lost)
{
    return stream << lost.label;
}

const LostCase lostCases[] = {
    {"AnswerLost", {CallFault::AnswerLost}, {}},
    {"RequestLost", {CallFault::RequestLost}, {}},
    {"Delayed", {CallFault::Delayed}, {}},
    {"DelayedTwice", {CallFault::Delayed, CallFault::Delayed}, {}},
    {"Refused", {CallFault::Refused, CallFault::Refused}, {}},
    {"ReadLostToo", {CallFault::AnswerLost}, {CallFault::None, CallFault::RequestLost}},
    {"RequestAndReadLost", {CallFault::RequestLost}, {CallFault::None, CallFault::RequestLost}},
    {"AllKinds",
     {CallFault::Refused, CallFault::RequestLost, CallFault::Delayed, CallFault::AnswerLost},
     {CallFault::None, CallFault::Refused}},
};

class LostAnswer : public ::testing::TestWithParam<LostCase>
{ };

TEST_P(LostAnswer, PublishesOnce)
{
    FakeStore store;
    store.publishAsOther("other");
    const int before = store.changes;
    store.writeFaults = GetParam().writes;
    store.readFaults = GetParam().reads;
    const tl::expected<Published, PublishFailure> published =
        publishEdit(store, addZone, request());
    ASSERT_TRUE(published) << published.error().error.toString();
    store.applyDelayed();
    EXPECT_EQ(published->version, ConfigVersion {2});
    EXPECT_EQ(store.changes, before + 1);
    EXPECT_EQ(stored(store).version, ConfigVersion {2});
}

INSTANTIATE_TEST_SUITE_P(Each, LostAnswer, ::testing::ValuesIn(lostCases),
                         [](const ::testing::TestParamInfo<LostCase> &info) {
                             return std::string(info.param.label);
                         });

TEST(Publication, FindsItsWriteUnderALaterOne)
{
    FakeStore store;
    store.writeFaults = {CallFault::AnswerLost};
    store.afterLostAnswer = [&store] { store.publishAsOther("other"); };
    const tl::expected<Published, PublishFailure> published =
        publishEdit(store, addZone, request());
    ASSERT_TRUE(published);
    EXPECT_EQ(published->version, ConfigVersion {1});
    EXPECT_EQ(published->current, ConfigVersion {2});
    EXPECT_EQ(stored(store).version, ConfigVersion {2});
}

TEST(Publication, TheSecondOfTwoOperatorsIsToldTheNewerVersion)
{
    FakeStore store;
    store.beforeWrite = [&store] { store.publishAsOther("other"); };
    const tl::expected<Published, PublishFailure> published =
        publishEdit(store, addZone, request());
    ASSERT_FALSE(published);
    EXPECT_EQ(published.error().error.code, ResultCode::ConfigVersionConflict);
    EXPECT_EQ(published.error().current, ConfigVersion {1});
    EXPECT_EQ(published.error().differences.back(), "+ zone north");
    EXPECT_EQ(store.changes, 1);
}

TEST(Publication, AnEditThatHoldsOnAnyVersionIsRepeated)
{
    FakeStore store;
    store.beforeWrite = [&store] { store.publishAsOther("other"); };
    const tl::expected<Published, PublishFailure> published =
        publishEdit(store, addZone, request(OnConflict::Repeat));
    ASSERT_TRUE(published);
    EXPECT_EQ(published->version, ConfigVersion {2});
    EXPECT_EQ(store.changes, 2);
}

TEST(Publication, RefusesAnotherBaseVersion)
{
    FakeStore store;
    store.publishAsOther("other");
    PublishRequest based = request();
    based.baseVersion = ConfigVersion {7};
    const tl::expected<Published, PublishFailure> published = publishEdit(store, addZone, based);
    ASSERT_FALSE(published);
    EXPECT_EQ(published.error().error.code, ResultCode::ConfigVersionConflict);
    EXPECT_EQ(store.writes, 0);
}

TEST(Publication, SaysThatTheOutcomeIsUnknown)
{
    FakeStore store;
    store.writeFaults = std::vector<CallFault>(maxPublishAttempts, CallFault::RequestLost);
    const tl::expected<Published, PublishFailure> published =
        publishEdit(store, addZone, request());
    ASSERT_FALSE(published);
    EXPECT_EQ(published.error().error.code, ResultCode::OutcomeUnknown);
}

TEST(Publication, SaysThatNothingWasWrittenWhereAllWritesWereRefused)
{
    FakeStore store;
    store.writeFaults = std::vector<CallFault>(maxPublishAttempts, CallFault::Refused);
    const tl::expected<Published, PublishFailure> published =
        publishEdit(store, addZone, request());
    ASSERT_FALSE(published);
    EXPECT_EQ(published.error().error.code, ResultCode::StoreUnavailable);
    EXPECT_EQ(store.changes, 0);
}

TEST(Publication, AStoreWithAForeignValueIsLeftAlone)
{
    FakeStore store;
    store.apply("not a snapshot", 0);
    EXPECT_FALSE(publishEdit(store, addZone, request()));
    EXPECT_EQ(store.value, "not a snapshot");
}

TEST(Publication, AFailedEditWritesNothing)
{
    FakeStore store;
    const SnapshotEdit edit = [](const Snapshot &) {
        return Result<Snapshot>(fail(ResultCode::ConfigMissing, "no such zone"));
    };
    EXPECT_EQ(publishEdit(store, edit, request()).error().error.code, ResultCode::ConfigMissing);
    EXPECT_EQ(store.writes, 0);
}

TEST(Publication, NoncesDiffer)
{
    EXPECT_EQ(makeNonce().size(), 32U);
    EXPECT_NE(makeNonce(), makeNonce());
}

} // namespace
