#include "platform/configfile.h"

#include "fescue/net/httpserver.h"
#include "platform/base64.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

// Reads the configuration from a store that answers each call with a page.
Result<serving::ServingConfig> fetchFrom(const std::string &page)
{
    net::WorkerPool pool(1);
    net::HttpServer server(pool, {"127.0.0.1", 0}, {},
                           [&page](const net::HttpRequest &, net::ResponseWriter &writer) {
                               static_cast<void>(writer.send({200, {}, page}));
                           });
    EXPECT_TRUE(server.start());
    return platform::fetchConfig(server.address(), 5_s);
}

TEST(ConfigFile, StoredConfigurationIsRead)
{
    const std::string value = platform::encodeBase64(R"({"Version":7,"Routes":[],"Services":[]})");
    const Result<serving::ServingConfig> config =
        fetchFrom(R"({"Entries":[{"Key":"op/config","Value":")" + value
                  + R"(","Revision":4,"Created":4,"LeaseId":0}],"HasMore":false,"At":5})");
    ASSERT_TRUE(config) << config.error().toString();
    EXPECT_EQ(config->version.value, 7U);
}

TEST(ConfigFile, StoreWithoutConfigurationIsAnError)
{
    const Result<serving::ServingConfig> config =
        fetchFrom(R"({"Entries":[],"HasMore":false,"At":5})");
    ASSERT_FALSE(config);
    EXPECT_EQ(config.error().code, ResultCode::ConfigMissing);
}

TEST(ConfigFile, StoreThatCannotBeReachedIsAnError)
{
    EXPECT_EQ(platform::fetchConfig({"127.0.0.1", 1}, 1_s).error().code, ResultCode::ConnectFailed);
}

} // namespace
