#include "fescue/net.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace fescue::net {

namespace {

TEST(AddressTest, ReadsIpNumbersAndPorts)
{
    EXPECT_EQ(parseAddress("127.0.0.1:80")->toString(), "127.0.0.1:80");
    EXPECT_EQ(parseAddress("[::1]:8080")->toString(), "[::1]:8080");
    const std::vector<std::string> wrong = {
        "",       "127.0.0.1",     "localhost:1", "127.0.0.1:65536", "127.0.0.1:8a",
        "::1:80", "[127.0.0.1]:1", ":1"};
    for (const std::string &text : wrong)
        EXPECT_EQ(parseAddress(text).error().code, ResultCode::SettingsInvalid) << text;
}

TEST(HttpTypesTest, QueryValuesAreDecoded)
{
    HttpRequest request;
    request.query = "a=1&prefix=" + encodeQueryValue("x y&z/%") + "&empty=&last";
    EXPECT_EQ(request.queryValue("prefix"), "x y&z/%");
    EXPECT_EQ(request.queryValue("empty"), "");
    EXPECT_EQ(request.queryValue("last"), "");
    EXPECT_EQ(request.queryValue("none"), std::nullopt);
}

TEST(HttpTypesTest, ProblemCarriesCodeRunAndRetry)
{
    const HttpResponse response = problemResponse(
        {503, ResultCode::NoCapacity, RunState::NotRun, "all engines are full", 1500_ms});
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.header("retry-after"), "2");
    EXPECT_EQ(response.header("content-type"), "application/problem+json");
    const nlohmann::json json = nlohmann::json::parse(response.body);
    EXPECT_EQ(json["code"], 2000);
    EXPECT_EQ(json["run"], "not-run");
    EXPECT_EQ(json["retry_after_ms"], 1500);
    EXPECT_EQ(json["detail"], "all engines are full");
}

} // namespace

} // namespace fescue::net
