#include "fescue/net/sseparser.h"

#include <cstdlib>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescue::net {

namespace {

// RapidCheck prints the seed with a failure; a seed from outside goes first.
const int seedIsSet = ::setenv("RC_PARAMS", "seed=20261204", 0);

struct Parsed
{
    std::string id;
    std::string event;
    std::string data;
    bool comment = false;
    bool operator==(const Parsed &) const = default;
};

// Feeds pieces of the given length and collects the events; the last is marked where it failed.
std::vector<Parsed> parse(std::string_view text, std::size_t pieceBytes, std::size_t maxBytes)
{
    SseParser parser(maxBytes);
    std::vector<Parsed> events;
    const auto collect = [&events](const SseEvent &event) {
        events.push_back({std::string(event.id), std::string(event.event), std::string(event.data),
                          event.comment});
    };
    while (!text.empty()) {
        const std::string_view piece = text.substr(0, pieceBytes);
        text.remove_prefix(piece.size());
        if (!parser.feed(piece, collect)) {
            events.push_back({"failed", "", "", false});
            break;
        }
    }
    return events;
}

TEST(SseParserTest, ReadsEventsCommentsAndIds)
{
    const std::string text = ": keep-alive\n\nid: 7\nevent: error\ndata: a\ndata:b\r\n\r\n"
                             "data: {}\n\nevent: none\n\ndata\n\nunknown: x\n\ndata: partial";
    const std::vector<Parsed> expected = {{"", "", "keep-alive", true},
                                          {"7", "error", "a\nb", false},
                                          {"7", "", "{}", false},
                                          {"7", "", "", false}};
    EXPECT_EQ(parse(text, text.size(), 1000), expected);
}

TEST(SseParserTest, LongEventsFail)
{
    const std::string text = "data: ok\n\ndata: " + std::string(200, 'x') + "\n\n";
    const std::vector<Parsed> events = parse(text, 16, 100);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[1].id, "failed");
    SseParser parser(10);
    EXPECT_FALSE(parser.feed("data: 0123456789", [](const SseEvent &) {}));
    EXPECT_FALSE(parser.feed("\n", [](const SseEvent &) {}));
}

RC_GTEST_PROP(SseParserTest, AnySplitGivesTheSameEvents, ())
{
    const std::vector<std::string> words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("data: ab", "data", ":c", "id: 3", "event: e", "\n", "\r",
                                      "\r\n", "\n\n", " ", ":", "xx"));
    std::string text;
    for (const std::string &word : words)
        text += word;
    const std::size_t pieceBytes = *rc::gen::inRange<std::size_t>(1, 9);
    const std::size_t maxBytes = *rc::gen::element<std::size_t>(6, 1000);
    RC_ASSERT(parse(text, pieceBytes, maxBytes) == parse(text, text.size() + 1, maxBytes));
}

} // namespace

} // namespace fescue::net
