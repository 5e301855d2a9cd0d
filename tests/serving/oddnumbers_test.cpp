#include "fescue/serving/gossip.h"
#include "fescue/serving/quarantinenotice.h"
#include "fescue/serving/storefeed.h"

#include <functional>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::serving;
using Json = nlohmann::json;

// Collects the places of all numbers in a message, but for the version of its layout.
void collectNumbers(const Json &json, const Json::json_pointer &place,
                    std::vector<Json::json_pointer> &places)
{
    for (std::size_t n = 0; json.is_array() && n < json.size(); ++n)
        collectNumbers(json[n], place / n, places);
    if (json.is_number() && place != Json::json_pointer("/0"))
        places.push_back(place);
}

// Replaces each number of a message in turn and expects that the message is refused.
void expectNumbersChecked(const std::string &message,
                          const std::function<bool(std::string_view)> &isRead)
{
    ASSERT_TRUE(isRead(message));
    const Json json = Json::from_cbor(message);
    std::vector<Json::json_pointer> places;
    collectNumbers(json, Json::json_pointer(), places);
    ASSERT_FALSE(places.empty());
    for (const Json::json_pointer &place : places) {
        for (const Json &odd : {Json(1e30), Json(-1e30), Json(true), Json("1"), Json(nullptr)}) {
            Json changed = json;
            changed[place] = odd;
            const std::vector<std::uint8_t> bytes = Json::to_cbor(changed);
            EXPECT_FALSE(isRead(std::string(bytes.begin(), bytes.end())))
                << place.to_string() << " is " << odd;
        }
    }
}

MemberInfo member()
{
    MemberInfo info;
    info.name = MemberName("entry-1");
    info.zone = ZoneName("north");
    info.incarnation = {7};
    info.linkMegabits = 1'000;
    return info;
}

// Guards against messages of peers whose numbers wrap or overflow a clock, as a message of another
// program or a damaged one may have.
TEST(OddNumbers, OfGossipAreRefused)
{
    Gossip gossip;
    gossip.member = member();
    gossip.configVersion = {3};
    gossip.loads = {{EndpointName("e1"), {1, 2, 3}}};
    gossip.retries = {{ServiceName("s"), 4}};
    gossip.leaving = {{EndpointName("e2"), {5}}};
    gossip.refusingEndpoints = {{EndpointName("e3"), {6}}};
    expectNumbersChecked(encodeGossip(gossip),
                         [](std::string_view bytes) { return decodeGossip(bytes).has_value(); });
}

TEST(OddNumbers, OfLeavingNoticesAreRefused)
{
    const LeavingNotice notice {ZoneName("north"), {{EndpointName("e1"), {5}}}, 700_ms};
    expectNumbersChecked(encodeLeavingNotice(notice), [](std::string_view bytes) {
        return decodeLeavingNotice(bytes).has_value();
    });
}

TEST(OddNumbers, OfZoneLoadsAreRefused)
{
    const std::vector<ZoneLoads> loads {
        {ZoneName("north"), 20_ms, {{EndpointName("e1"), {1, 2, 3}}}}};
    expectNumbersChecked(encodeZoneLoads(loads).front(),
                         [](std::string_view bytes) { return decodeZoneLoads(bytes).has_value(); });
}

TEST(OddNumbers, OfStoreUpdatesAndCopiesAreRefused)
{
    const net::StoreItem item {"servers/i-1", "value", {12, 1}, false};
    const StoreUpdate update {MemberName("entry-1"), {11, 1}, {12, 1}, true, {item}, 30_ms};
    expectNumbersChecked(encodeStoreUpdate(update), [](std::string_view bytes) {
        return decodeStoreUpdate(bytes).has_value();
    });
    const StoreCopy copy {{12, 1}, true, {item}, {item}};
    expectNumbersChecked(encodeCopy(copy),
                         [](std::string_view bytes) { return decodeCopy(bytes).has_value(); });
}

TEST(OddNumbers, OfQuarantineNoticesAreRefused)
{
    QuarantineNotice notice;
    notice.fromZone = ZoneName("north");
    notice.crashes = {{{EndpointName("e1"), {5}}, 20_ms, {1, 2}}};
    notice.startedParts = {3};
    QuarantineEntry entry;
    entry.parts = {4};
    entry.rivals = {6};
    entry.since = entry.lastCrashAt = entry.lastTrialAt = 5_s;
    notice.entries = {entry};
    const std::vector<std::string> messages = encodeQuarantineNotice(notice, 10_s);
    ASSERT_EQ(messages.size(), 1U);
    expectNumbersChecked(messages.front(), [](std::string_view bytes) {
        return decodeQuarantineNotice(bytes, 10_s).has_value();
    });
}

} // namespace
