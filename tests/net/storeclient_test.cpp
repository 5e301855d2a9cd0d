#include "tests/net/nettest.h"
#include "tests/standins/store/storestandin.h"

namespace fescue::net {

namespace {

// A client and the stand-in of the store, on fibers of one worker.
class StoreClientTest : public ::testing::Test
{
protected:
    StoreClientTest() { EXPECT_TRUE(m_server.start()); }

    void run(const std::function<void(const StoreClient &)> &task)
    {
        runOn(m_pool, 0, [&] { task(StoreClient(m_http, m_server.address(), m_counter, 2_s)); });
    }

    // Sets switches of the stand-in.
    void control(const std::string &json)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/control";
        request.body = json;
        EXPECT_EQ(m_http.request(m_server.address(), request, 2_s)->status, 200);
    }

    standins::StoreStandIn m_store;
    WorkerPool m_pool {1};
    HttpServer m_server {
        m_pool, anyPort, {}, [this](const HttpRequest &request, ResponseWriter &writer) {
            m_store.handle(request, writer);
        }};
    HttpClient m_http;
    CallCounter m_counter;
};

TEST_F(StoreClientTest, ConditionsAreKept)
{
    run([](const StoreClient &store) {
        const std::string key = "claims/post/acme/a key?/100%";
        EXPECT_EQ(store.get(key).error().code, ResultCode::StoreNotFound);
        const StoreResult<StoreRevision> first = store.putIfAbsent(key, "one");
        ASSERT_TRUE(first) << first.error().toString();
        const StoreResult<StoreRevision> again = store.putIfAbsent(key, "two");
        EXPECT_EQ(again.error().code, ResultCode::StoreConflict);
        EXPECT_EQ(again.error().current, *first);
        const StoreResult<StoreRevision> second = store.putIfMatch(key, "two", *first);
        ASSERT_TRUE(second);
        EXPECT_EQ(store.putIfMatch(key, "three", *first).error().current, *second);
        EXPECT_EQ(store.get(key)->value, "two");
        EXPECT_EQ(store.list("claims/")->items.at(0).key, key);
        EXPECT_EQ(store.remove(key, *first).error().code, ResultCode::StoreConflict);
        EXPECT_TRUE(store.remove(key, *second));
        EXPECT_EQ(store.remove(key).error().code, ResultCode::StoreNotFound);
    });
    EXPECT_EQ(m_counter.counts().writes, 7U);
    EXPECT_EQ(m_counter.counts().reads, 3U);
}

TEST_F(StoreClientTest, LostAnswerIsUnknownAndTheWriteStands)
{
    run([this](const StoreClient &store) {
        control(R"({"lose_answer_next":1,"lose_answer_prefix":"claims/"})");
        EXPECT_TRUE(store.put("members/a", "x"));
        EXPECT_EQ(store.putIfAbsent("claims/a", "nonce").error().code, ResultCode::StoreTimeout);
        EXPECT_EQ(store.get("claims/a")->value, "nonce");
        EXPECT_EQ(store.putIfAbsent("claims/a", "other").error().code, ResultCode::StoreConflict);
    });
}

TEST_F(StoreClientTest, OutagesAreToldApartFromRefusals)
{
    run([this](const StoreClient &store) {
        ASSERT_TRUE(store.put("config/current", "1"));
        control(R"({"outage":"refuse"})");
        EXPECT_EQ(store.put("config/current", "2").error().code, ResultCode::StoreTimeout);
        control(R"({"outage":"hang"})");
        const StoreClient hasty(m_http, m_server.address(), m_counter, 30_ms);
        EXPECT_EQ(hasty.put("config/current", "3").error().code, ResultCode::StoreTimeout);
        control(R"({"outage":false})");
        EXPECT_EQ(store.get("config/current")->value, "1");
        const StoreClient nowhere(m_http, {"127.0.0.1", 1}, m_counter);
        EXPECT_EQ(nowhere.get("config/current").error().code, ResultCode::ConnectFailed);
    });
    EXPECT_EQ(m_counter.counts().failures, 3U);
}

TEST_F(StoreClientTest, OldValuesAreServed)
{
    run([this](const StoreClient &store) {
        const StoreResult<StoreRevision> first = store.put("config/current", "1");
        ASSERT_TRUE(store.put("config/current", "2"));
        control(R"({"old_value":true})");
        EXPECT_EQ(store.get("config/current")->value, "1");
        EXPECT_EQ(store.get("config/current")->revision, *first);
    });
}

TEST_F(StoreClientTest, WatchReturnsWhenSomethingChanges)
{
    run([this](const StoreClient &store) {
        const StoreRevision before = *store.put("members/a", "1");
        EXPECT_TRUE(store.watch("members/", before, 10_ms)->items.empty());
        m_pool.spawn(0, [this] {
            const StoreClient other(m_http, m_server.address(), m_counter);
            EXPECT_TRUE(other.put("other/a", "1"));
            EXPECT_TRUE(other.put("members/b", "1"));
        });
        const StoreResult<StoreList> changes = store.watch("members/", before, 30_s);
        ASSERT_TRUE(changes);
        ASSERT_EQ(changes->items.size(), 1U);
        EXPECT_EQ(changes->items[0].key, "members/b");
    });
    EXPECT_EQ(m_counter.counts().watches, 2U);
}

TEST_F(StoreClientTest, LeaseThatLapsesDeletesItsKeys)
{
    run([](const StoreClient &store) {
        const LeaseId kept = *store.createLease(60_s);
        const LeaseId lapsing = *store.createLease(20_ms);
        ASSERT_TRUE(store.put("members/kept", "1", kept));
        const StoreResult<StoreRevision> put = store.put("members/lapsing", "1", lapsing);
        ASSERT_TRUE(put);
        const StoreResult<StoreList> changes = store.watch("members/", *put, 30_s);
        ASSERT_EQ(changes->items.size(), 1U);
        EXPECT_TRUE(changes->items[0].deleted);
        EXPECT_EQ(changes->items[0].key, "members/lapsing");
        EXPECT_EQ(store.renewLease(lapsing).error().code, ResultCode::StoreNotFound);
        EXPECT_TRUE(store.renewLease(kept));
        EXPECT_TRUE(store.revokeLease(kept));
        EXPECT_EQ(store.get("members/kept").error().code, ResultCode::StoreNotFound);
    });
}

TEST(PlatformClientTest, AnswersThatMakeNoSenseAreErrors)
{
    std::string body;
    WorkerPool pool(1);
    HttpServer server(pool, anyPort, {}, [&body](const HttpRequest &, ResponseWriter &writer) {
        static_cast<void>(writer.send(jsonResponse(200, body)));
    });
    ASSERT_TRUE(server.start());
    HttpClient http;
    CallCounter counter;
    runOn(pool, 0, [&] {
        const StoreClient store(http, server.address(), counter);
        const VmListClient vms(http, server.address());
        for (const std::string &text : {"", "[]", "{\"revision\":\"x\"}", "{\"vms\":[{}]}"}) {
            body = text;
            EXPECT_EQ(store.get("a").error().code, ResultCode::StoreProtocol) << text;
            EXPECT_EQ(vms.fetch().error().code, ResultCode::BackEndProtocol) << text;
        }
        body = R"({"revision":3,"vms":[{"vm":"a","zone":"z","state":"live"},
                  {"vm":"b","zone":"z","state":"new state"}]})";
        const Result<VmList> list = vms.fetch();
        ASSERT_TRUE(list);
        EXPECT_EQ(list->revision, 3U);
        EXPECT_EQ(list->vms.at(0).state, VmState::Live);
        EXPECT_EQ(list->vms.at(1).state, VmState::Leaving);
    });
}

} // namespace

} // namespace fescue::net
