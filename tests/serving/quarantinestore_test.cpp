#include "fescue/node/memberjson.h"
#include "fescue/serving/storesession.h"
#include "tests/serving/storesessionfixture.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;
using test::ScriptedStore;

constexpr const char *key = "quarantine/7";

QuarantineEntry entryOf(PartId part)
{
    QuarantineEntry entry;
    entry.parts = {part};
    entry.crashes = 3;
    entry.since = ServingState::now();
    entry.lastCrashAt = ServingState::now();
    return entry;
}

// Session of one process with a scripted store that holds quarantine entries.
class QuarantineStore : public test::StoreSessionFixture
{
protected:
    void start()
    {
        onWorker([this] {
            state.members.heartbeat(ServingState::now(), self);
            session->start();
        });
        ASSERT_TRUE(eventually([this] { return state.routes != nullptr; }));
    }

    // Returns the entry of part 7 in the store.
    [[nodiscard]] std::optional<QuarantineEntry> stored() const
    {
        const auto it = store.contents.items.find(key);
        if (it == store.contents.items.end())
            return std::nullopt;
        return parseQuarantineJson(it->second.value, ServingState::now(),
                                   Millis {observe::wallMillisNow()})
            .value();
    }

    [[nodiscard]] bool isActive() const { return state.quarantine.activeCount() == 1; }
};

TEST_F(QuarantineStore, EntryIsWrittenOnce)
{
    start();
    onWorker([this] { static_cast<void>(state.quarantine.mergeEntry(entryOf(7))); });
    ASSERT_TRUE(eventually([this] { return stored().has_value(); }));
    const std::uint64_t revision = store.contents.items.at(key).revision.value;
    onWorker([] { net::sleepFor(quarantineCheckInterval * 3); });
    onWorker([&] { EXPECT_EQ(store.contents.items.at(key).revision.value, revision); });
}

// Guards against a process that knows nothing after a restart and lets engines crash again.
TEST_F(QuarantineStore, ProcessThatStartsTakesTheEntriesOfTheStore)
{
    store.put(key,
              quarantineJson(entryOf(7), ServingState::now(), Millis {observe::wallMillisNow()}));
    store.put("quarantine/other", "not an entry");
    start();
    EXPECT_TRUE(eventually([this] { return isActive(); }));
}

// Guards against the end of a quarantine when the store is restored from a copy without it.
TEST_F(QuarantineStore, EntryThatTheStoreHasLostIsWrittenAgain)
{
    start();
    ScriptedStore::Contents older;
    onWorker([&] {
        older = store.contents;
        static_cast<void>(state.quarantine.mergeEntry(entryOf(7)));
    });
    ASSERT_TRUE(eventually([this] { return stored().has_value(); }));
    onWorker([&] { store.rewind(older); });
    ASSERT_TRUE(eventually([this] { return stored().has_value(); }));
    EXPECT_TRUE(isActive());
}

TEST_F(QuarantineStore, RemovedKeyEndsTheQuarantine)
{
    start();
    onWorker([this] { static_cast<void>(state.quarantine.mergeEntry(entryOf(7))); });
    ASSERT_TRUE(eventually([this] { return stored().has_value(); }));
    onWorker([this] { store.remove(key); });
    EXPECT_TRUE(eventually([this] { return !isActive(); }));
}

// Guards against more trials than the system may make: processes that claim the same one at the
// same time must not both get it.
TEST_F(QuarantineStore, TrialIsClaimedByOneProcess)
{
    start();
    onWorker([this] { static_cast<void>(state.quarantine.mergeEntry(entryOf(7))); });
    ASSERT_TRUE(eventually([this] { return session->claimTrial(state.quarantine.entries()[0]); }));
    onWorker([this] {
        EXPECT_EQ(stored()->trials, 1U);
        EXPECT_EQ(state.quarantine.entries()[0].trials, 1U);
        // Another process claims the second trial; this one has not heard of it yet.
        QuarantineEntry other = state.quarantine.entries()[0];
        other.trials = 2;
        store.put(key,
                  quarantineJson(other, ServingState::now(), Millis {observe::wallMillisNow()}));
        EXPECT_FALSE(session->claimTrial(state.quarantine.entries()[0]));
    });
    EXPECT_TRUE(eventually([this] { return state.quarantine.entries()[0].trials == 2; }));
}

TEST_F(QuarantineStore, NoTrialWithoutTheStore)
{
    start();
    onWorker([this] { static_cast<void>(state.quarantine.mergeEntry(entryOf(7))); });
    ASSERT_TRUE(eventually([this] { return stored().has_value(); }));
    onWorker([this] {
        store.rejectsCalls = true;
        EXPECT_FALSE(session->claimTrial(state.quarantine.entries()[0]));
        EXPECT_EQ(state.quarantine.entries()[0].trials, 0U);
    });
}

} // namespace
