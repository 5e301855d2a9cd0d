#include "fescue/node/memberjson.h"
#include "fescue/serving/gossip.h"
#include "fescue/serving/quarantineentry.h"
#include "fescue/serving/quarantinenotice.h"
#include "fescue/serving/storefeed.h"
#include "platform/codec.h"
#include "platform/settings.h"
#include "platform/storeclient.h"
#include "tests/serving/onworker.h"

#include <functional>
#include <gtest/gtest.h>
#include <ostream>
#include <string>

namespace {

using namespace fescue;
using namespace fescue::serving;

// Recursion to this depth needs more than the stack of a fiber.
constexpr std::size_t nestedLists = 10'000;

// A reader of bytes from outside the process, with a document that it has to refuse.
struct NestedDocument
{
    const char *reader;
    // Text before and after the nested lists.
    const char *before;
    const char *after;
    // Returns true if the reader accepts the document.
    std::function<bool(std::string_view)> read;
};

std::ostream &operator<<(std::ostream &out, const NestedDocument &document)
{
    return out << document.reader;
}

std::string nestText(const NestedDocument &document)
{
    return document.before + std::string(nestedLists, '[') + std::string(nestedLists, ']')
        + document.after;
}

// CBOR lists with one item each; the innermost one has none.
std::string nestCbor(std::string_view before)
{
    return std::string(before) + std::string(nestedLists, '\x81') + '\x80';
}

// Reads on a fiber of a worker, as all readers of the entry run.
bool readOnFiber(const NestedDocument &document, const std::string &bytes)
{
    net::WorkerPool pool(1);
    bool accepted = true;
    test::runOnWorker(pool, [&] { accepted = document.read(bytes); });
    pool.stop();
    pool.join();
    return accepted;
}

bool readEndpoint(std::string_view text)
{
    return platform::decodeEndpoint(EndpointName("i-1"), text).has_value();
}

class NestedJson : public testing::TestWithParam<NestedDocument>
{ };

// Guards against: one entry of another writer, nested deeper than a stack, ends every process.
TEST_P(NestedJson, IsRefusedOnAFiberStack)
{
    EXPECT_FALSE(readOnFiber(GetParam(), nestText(GetParam())));
}

INSTANTIATE_TEST_SUITE_P(
    Readers, NestedJson,
    testing::Values(
        NestedDocument {
            "endpoint_service", R"({"Service":)",
            R"(,"Address":"10.1.2.3:80","Zone":"z","Slots":1,"State":"ready","ColdRemainingMs":0})",
            readEndpoint},
        NestedDocument {
            "endpoint_unknown_member",
            R"({"Service":"s","Address":"10.1.2.3:80","Zone":"z","Slots":1,"State":"ready","ColdRemainingMs":0,"Models":)",
            "}", readEndpoint},
        NestedDocument {"endpoint_whole", "", "", readEndpoint},
        NestedDocument {
            "config", R"({"Version":1,"Services":[],"Routes":)", "}",
            [](std::string_view text) { return platform::decodeConfig(text).has_value(); }},
        NestedDocument {
            "store_page", R"({"At":1,"HasMore":false,"Entries":)", "}",
            [](std::string_view text) { return platform::decodePage(text, 0).has_value(); }},
        NestedDocument {
            "store_watch", R"({"At":1,"events":)", "}",
            [](std::string_view text) { return platform::decodeChanges(text, 0).has_value(); }},
        NestedDocument {"move_answer", R"({"Created":3,"Handle":)", "}",
                        [](std::string_view text) {
                            return platform::decodeMoveAnswer(200, text).outcome
                                == MoveOutcome::Copied;
                        }},
        NestedDocument {
            "engine_report", R"({"KvUsed":1,"Queued":0,"Active":0,"Runs":)", "}",
            [](std::string_view text) { return platform::decodeReport(text).has_value(); }},
        NestedDocument {"settings", R"({"NodeName":)", "}",
                        [](std::string_view text) {
                            return platform::parseSettings(text, "node.json").has_value();
                        }},
        NestedDocument {"member", R"({"member":)", "}",
                        [](std::string_view text) { return node::parseMember(text).has_value(); }},
        NestedDocument {"quarantine_entry", R"({"parts":)", "}",
                        [](std::string_view text) {
                            return parseQuarantineJson(text, 0_ms, 0_ms).has_value();
                        }}),
    [](const testing::TestParamInfo<NestedDocument> &info) {
        return std::string(info.param.reader);
    });

class NestedCbor : public testing::TestWithParam<NestedDocument>
{ };

// Guards against: one malformed datagram or copy of the store from a peer ends the process.
TEST_P(NestedCbor, IsRefusedOnAFiberStack)
{
    EXPECT_FALSE(readOnFiber(GetParam(), nestCbor(GetParam().before)));
}

INSTANTIATE_TEST_SUITE_P(
    Readers, NestedCbor,
    testing::Values(
        NestedDocument {"gossip", "\x87\x01", "",
                        [](std::string_view bytes) { return decodeGossip(bytes).has_value(); }},
        NestedDocument {
            "leaving_notice", "\x84\x01", "",
            [](std::string_view bytes) { return decodeLeavingNotice(bytes).has_value(); }},
        NestedDocument {"zone_loads", "\x84\x01", "",
                        [](std::string_view bytes) { return decodeZoneLoads(bytes).has_value(); }},
        NestedDocument {
            "store_update", "\x88\x01", "",
            [](std::string_view bytes) { return decodeStoreUpdate(bytes).has_value(); }},
        NestedDocument {"store_copy", "\x86\x01", "",
                        [](std::string_view bytes) { return decodeCopy(bytes).has_value(); }},
        NestedDocument {"quarantine_notice", "\x85\x01", "",
                        [](std::string_view bytes) {
                            return decodeQuarantineNotice(bytes, 0_ms).has_value();
                        }}),
    [](const testing::TestParamInfo<NestedDocument> &info) {
        return std::string(info.param.reader);
    });

} // namespace
