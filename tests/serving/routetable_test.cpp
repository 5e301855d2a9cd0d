#include "fescue/serving/routetable.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

Route makeRoute(std::string name, std::string host, std::string prefix)
{
    Route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    route.services = {{ServiceName("engines"), 1}};
    return route;
}

RouteTable makeTable()
{
    ServingConfig config;
    config.version = {7};
    config.routes = {makeRoute("root", "a.example", "/"), makeRoute("deep", "a.example", "/x/y/"),
                     makeRoute("short", "a.example", "/x/"),
                     makeRoute("other", "b.example", "/x/")};
    config.accounts = {{AccountName("diner"), {"key-1", "key-2"}, 1}};
    return RouteTable(std::move(config));
}

std::string nameAt(const RouteTable &table, std::string_view host, std::string_view path)
{
    const Route *route = table.findRoute(host, path);
    return route == nullptr ? "none" : route->name;
}

TEST(RouteTable, LongestPrefixOfTheHostWins)
{
    const RouteTable table = makeTable();
    EXPECT_EQ(nameAt(table, "a.example", "/x/y/z"), "deep");
    EXPECT_EQ(nameAt(table, "a.example", "/x/y/"), "deep");
    EXPECT_EQ(nameAt(table, "a.example", "/x/y"), "short");
    EXPECT_EQ(nameAt(table, "a.example", "/xy/z"), "root");
    EXPECT_EQ(nameAt(table, "b.example", "/x/1"), "other");
    EXPECT_EQ(nameAt(table, "b.example", "/"), "none");
    EXPECT_EQ(nameAt(table, "c.example", "/x/1"), "none");
    EXPECT_EQ(nameAt(table, "a.example", ""), "none");
}

TEST(RouteTable, PortOfTheHostHeaderIsIgnored)
{
    EXPECT_EQ(nameAt(makeTable(), "a.example:8740", "/x/1"), "short");
}

TEST(RouteTable, KeysFindTheirAccount)
{
    const RouteTable table = makeTable();
    ASSERT_NE(table.findAccount("key-2"), nullptr);
    EXPECT_EQ(table.findAccount("key-2")->name, AccountName("diner"));
    EXPECT_EQ(table.findAccount("key-3"), nullptr);
    EXPECT_EQ(table.findAccount(""), nullptr);
}

TEST(RouteTable, WeightsDivideTheRequestsOfARoute)
{
    Route route = makeRoute("split", "a.example", "/");
    route.services = {{ServiceName("nine"), 90}, {ServiceName("one"), 10}};
    int nine = 0;
    for (int n = 0; n < 1000; ++n) {
        if (RouteTable::pickService(route, n / 1000.0) == ServiceName("nine"))
            ++nine;
    }
    EXPECT_EQ(nine, 900);
}

TEST(RouteTable, ServiceWithoutWeightIsNeverPicked)
{
    Route route = makeRoute("split", "a.example", "/");
    route.services = {{ServiceName("off"), 0}, {ServiceName("on"), 1}};
    EXPECT_EQ(RouteTable::pickService(route, 0.0), ServiceName("on"));
    EXPECT_EQ(RouteTable::pickService(route, 0.999999), ServiceName("on"));
}

} // namespace
