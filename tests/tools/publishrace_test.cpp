#include "fescue/config/publisher.h"
#include "fescue/net/httpserver.h"
#include "fescue/tools/blockinghttp.h"
#include "fescue/tools/publication.h"
#include "fescue/tools/rollout.h"
#include "tests/standins/store/storestandin.h"

#include <atomic>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace fescue;
using namespace fescue::tools;

using PublishResult = tl::expected<Published, PublishFailure>;

// Each operator fails at most once for each of the others.
constexpr int operatorCount = maxPublishAttempts - 1;

// The stand-in of the store, and operators on threads of their own.
class PublishRace : public ::testing::Test
{
protected:
    PublishRace() { EXPECT_TRUE(m_server.start()); }

    [[nodiscard]] HostPort address() const
    {
        return {m_server.address().ip, m_server.address().port};
    }

    [[nodiscard]] BlockingStore store() const { return {address(), 5_s}; }

    void control(const std::string &json) const
    {
        HttpCall call;
        call.method = "POST";
        call.target = "/control";
        call.body = json;
        EXPECT_EQ(callHttp(address(), call, 5_s)->status, 200);
    }

    [[nodiscard]] PublishResult publish(const SnapshotEdit &edit, PublishRequest request) const
    {
        BlockingStore own = store();
        request.nonce = makeNonce();
        return publishEdit(own, edit, request);
    }

    // Publishes a first version.
    void publishFirst() const
    {
        const SnapshotEdit edit = [](const Snapshot &) {
            Snapshot first;
            first.version = ConfigVersion {1};
            first.zones = {{ZoneName("north"), "alpha", false}};
            first.streamSecret = "00112233445566778899aabbccddeeff";
            return Result<Snapshot>(first);
        };
        ASSERT_TRUE(publish(edit, {}));
    }

    [[nodiscard]] Snapshot current() const
    {
        BlockingStore own = store();
        return readCurrentConfig(own).value().stored.snapshot;
    }

    // Takes one VM out for each operator, all at once.
    [[nodiscard]] std::vector<PublishResult> race(const PublishRequest &request) const
    {
        std::vector<PublishResult> results(operatorCount);
        std::vector<std::thread> threads;
        threads.reserve(operatorCount);
        for (int n = 0; n < operatorCount; ++n) {
            threads.emplace_back([&, n] {
                const VmName vm("vm-" + std::to_string(n));
                results[static_cast<std::size_t>(n)] = publish(
                    [&vm](const Snapshot &before) {
                        return withVmState(before, vm, ServiceState::Out);
                    },
                    request);
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        return results;
    }

    standins::StoreStandIn m_store;
    net::WorkerPool m_pool {1};
    net::HttpServer m_server {m_pool,
                              {"127.0.0.1", 0},
                              {},
                              [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                                  m_store.handle(request, writer);
                              }};
};

TEST_F(PublishRace, EveryEditTakesEffectOnce)
{
    publishFirst();
    for (const PublishResult &result : race({{}, {}, {}, OnConflict::Repeat}))
        EXPECT_TRUE(result) << result.error().error.toString();
    EXPECT_EQ(current().vmsOut.size(), static_cast<std::size_t>(operatorCount));
    EXPECT_EQ(current().version, ConfigVersion {1 + operatorCount});
}

TEST_F(PublishRace, EveryEditTakesEffectOnceWhereAnswersAreLost)
{
    publishFirst();
    control(R"({"lose_answer_next":3,"lose_answer_prefix":"config/"})");
    for (const PublishResult &result : race({{}, {}, {}, OnConflict::Repeat}))
        EXPECT_TRUE(result) << result.error().error.toString();
    EXPECT_EQ(current().vmsOut.size(), static_cast<std::size_t>(operatorCount));
    EXPECT_EQ(current().version, ConfigVersion {1 + operatorCount});
}

TEST_F(PublishRace, OneOperatorWinsOnTopOfAGivenVersion)
{
    publishFirst();
    int won = 0;
    for (const PublishResult &result : race({{}, ConfigVersion {1}, {}, OnConflict::Report})) {
        if (result) {
            ++won;
            continue;
        }
        EXPECT_EQ(result.error().error.code, ResultCode::ConfigVersionConflict);
        EXPECT_EQ(result.error().current, ConfigVersion {2});
        EXPECT_FALSE(result.error().differences.empty());
    }
    EXPECT_EQ(won, 1);
    EXPECT_EQ(current().vmsOut.size(), 1U);
}

TEST_F(PublishRace, AnOutageWritesNothing)
{
    publishFirst();
    control(R"({"outage":"refuse"})");
    for (const PublishResult &result : race({{}, {}, {}, OnConflict::Repeat}))
        EXPECT_FALSE(result);
    control(R"({"outage":false})");
    EXPECT_EQ(current().version, ConfigVersion {1});
}

// Daemons whose version grows by one with each request for their status.
class SlowDaemons
{
public:
    SlowDaemons() { EXPECT_TRUE(m_server.start()); }

    [[nodiscard]] std::string memberValue() const
    {
        return nlohmann::json {{"http", m_server.address().toString()}}.dump();
    }

private:
    std::atomic<std::uint64_t> m_version {0};
    net::WorkerPool m_pool {1};
    net::HttpServer m_server {
        m_pool,
        {"127.0.0.1", 0},
        {},
        [this](const net::HttpRequest &, net::ResponseWriter &writer) {
            const nlohmann::json body = {{"role", "entry"}, {"config_version", ++m_version}};
            EXPECT_TRUE(writer.send(net::jsonResponse(200, body.dump())));
        }};
};

TEST_F(PublishRace, WaitsUntilADaemonHasTheVersion)
{
    const SlowDaemons daemons;
    BlockingStore own = store();
    ASSERT_TRUE(own.putIf("members/entry-1", daemons.memberValue(), 0));
    const Result<std::vector<MemberStatus>> statuses = awaitVersion(own, ConfigVersion {3}, 60_s);
    ASSERT_TRUE(statuses) << statuses.error().toString();
    ASSERT_EQ(statuses->size(), 1U);
    EXPECT_EQ(statuses->front().name, MemberName("entry-1"));
    EXPECT_EQ(statuses->front().role, "entry");
    EXPECT_EQ(statuses->front().version, ConfigVersion {3});
}

TEST_F(PublishRace, SaysWhichDaemonDoesNotHaveTheVersionInTime)
{
    BlockingStore own = store();
    ASSERT_TRUE(own.putIf("members/gone", R"({"http":"127.0.0.1:1"})", 0));
    const Result<std::vector<MemberStatus>> statuses = awaitVersion(own, ConfigVersion {1}, 0_ms);
    ASSERT_TRUE(statuses) << statuses.error().toString();
    EXPECT_FALSE(statuses->at(0).hasAtLeast(ConfigVersion {1}));
    EXPECT_FALSE(statuses->at(0).problem.empty());
}

} // namespace
