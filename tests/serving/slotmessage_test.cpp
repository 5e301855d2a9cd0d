#include "fescue/serving/slotmessage.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const SlotKey key {MemberName("entry"), {1'780'000'000'000}, 7};

TEST(SlotMessages, ComeBackAsTheyWereSent)
{
    const ServiceName service("desk");
    const SlotAsk ask {key,    ZoneName("north"),       AccountName("a"),      2, 800_ms,
                       150_ms, {EndpointName("tried")}, {EndpointName("cold")}};
    const SlotAnswer answer {key, SlotVerdict::Granted, EndpointName("e1")};
    const SlotReturn returned {key, SlotUse::Rejected, 30_ms};
    const SlotReport report {key, {1, 5, 6}};
    for (const SlotMessage &message :
         {SlotMessage {service, ask}, SlotMessage {service, answer},
          SlotMessage {service, returned}, SlotMessage {service, report}})
        EXPECT_EQ(decodeSlotMessage(encodeSlotMessage(message)), message);
}

TEST(SlotMessages, DamagedOnesAreRejected)
{
    for (const std::string &bytes :
         {encodeSlotMessage({ServiceName("desk"), SlotReturn {key, SlotUse::Served, 30_ms}}),
          encodeSlotMessage({ServiceName("desk"), SlotReport {key, {1, 5}}})}) {
        for (std::size_t n = 0; n < bytes.size(); ++n)
            EXPECT_FALSE(decodeSlotMessage(std::string_view(bytes).substr(0, n)));
    }
}

} // namespace
