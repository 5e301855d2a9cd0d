#include "tests/net/rawanswer.h"

#include <string>
#include <vector>

namespace fescue::net {

namespace {

// Answers that end with their connection, with a length or with chunks, also after an interim one.
const std::vector<std::string> wholeAnswers {
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\nbody",
    "HTTP/1.0 200 OK\r\nX-Id: 7\r\n\r\nbody",
    std::string("HTTP/1.1 103 Early\r\nX-Id: 7\r\n\r\n")
        + "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\nbody"};

class BrokenHead : public testing::TestWithParam<std::string>
{ };

// Guards against an answer with an empty or short body that counts as whole, because the server has
// stopped in the middle of its head and closed the connection.
TEST_P(BrokenHead, IsNeverAWholeAnswer)
{
    const std::string &whole = GetParam();
    const Result<HttpResponse> complete = readRawAnswer(whole);
    ASSERT_TRUE(complete) << complete.error().message;
    EXPECT_EQ(complete->body, "body");
    // The end of the final head; a body that ends with its connection may be cut behind it.
    const std::size_t headEnd = whole.rfind("\r\n\r\n", whole.find("body")) + 4;
    const bool hasFraming = whole.find("Content-Length") != std::string::npos
        || whole.find("chunked") != std::string::npos;
    const std::size_t cuts = hasFraming ? whole.size() : headEnd;
    for (std::size_t n = 0; n < cuts; ++n) {
        const Result<HttpResponse> response = readRawAnswer(whole.substr(0, n));
        EXPECT_FALSE(response) << "cut after " << n << " bytes: status " << response->status;
    }
}

INSTANTIATE_TEST_SUITE_P(Framings, BrokenHead, testing::ValuesIn(wholeAnswers));

// Guards against heads that no length of a body can be told from.
TEST(BrokenHeadFields, HeadWithContradictingFramingIsNoAnswer)
{
    for (const char *fields : {"Content-Length: 4\r\nContent-Length: 2\r\n",
                               "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                               "Content-Length: -1\r\n", "Content-Length: 99999999999999999999\r\n",
                               "Content-Length: 4x\r\n", "X-Id 7\r\n", " folded\r\n"})
        EXPECT_FALSE(readRawAnswer(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\nbody"))
            << fields;
}

} // namespace

} // namespace fescue::net
