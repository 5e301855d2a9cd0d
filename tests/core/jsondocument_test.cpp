#include "fescue/core/jsondocument.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>
#include <string>

namespace {

using namespace fescue;
using Json = nlohmann::json;

std::string nestedLists(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string toCborText(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

TEST(JsonDocument, ParsesEveryType)
{
    const std::string text =
        R"({"a":[1,-2,3.5,true,false,null,"x",{}],"b":{"c":[[]],"d":"e"},"a2":18446744073709551615})";
    const Result<Json> json = parseJson(text);
    ASSERT_TRUE(json) << json.error().message;
    EXPECT_EQ(*json, Json::parse(text));
    const Result<Json> scalar = parseJson("7");
    ASSERT_TRUE(scalar);
    EXPECT_EQ(*scalar, 7);
}

TEST(JsonDocument, LastOfTwoEqualKeysCounts)
{
    const Result<Json> json = parseJson(R"({"a":[1,2],"a":{"b":3}})");
    ASSERT_TRUE(json);
    EXPECT_EQ(*json, Json::parse(R"({"a":{"b":3}})"));
}

TEST(JsonDocument, DepthIsBounded)
{
    EXPECT_TRUE(parseJson(nestedLists(maxDocumentDepth)));
    for (const std::size_t depth : {maxDocumentDepth + 1, std::size_t {1'000'000}}) {
        const Result<Json> json = parseJson(nestedLists(depth));
        ASSERT_FALSE(json);
        EXPECT_EQ(json.error().code, ResultCode::MessageMalformed);
        EXPECT_EQ(json.error().message, "is nested more than 64 deep");
    }
    EXPECT_TRUE(parseJson("[[[]]]", 3));
    EXPECT_FALSE(parseJson("[[[]]]", 2));
    EXPECT_FALSE(parseJson(R"([{"a":{}}])", 2));
}

TEST(JsonDocument, DepthOfCborIsBounded)
{
    EXPECT_TRUE(parseCbor(std::string(maxDocumentDepth - 1, '\x81') + '\x80'));
    EXPECT_FALSE(parseCbor(std::string(maxDocumentDepth, '\x81') + '\x80'));
    // Lists of unstated length, and objects with one member.
    EXPECT_FALSE(parseCbor(std::string(1'000'000, '\x9f')));
    std::string objects;
    for (int n = 0; n < 100'000; ++n)
        objects += "\xa1\x60";
    EXPECT_FALSE(parseCbor(objects));
}

TEST(JsonDocument, ErrorsNameThePosition)
{
    const Result<Json> json = parseJson("{\"a\":1,\n\"b\":}");
    ASSERT_FALSE(json);
    EXPECT_NE(json.error().message.find("line 2, column 5"), std::string::npos)
        << json.error().message;
    for (const char *text : {"", "[", "[1,]", "{\"a\"}", "1 2", "nan", "1e999", "\"\xff\""})
        EXPECT_FALSE(parseJson(text)) << text;
}

TEST(JsonDocument, CborNumbersAreFinite)
{
    for (const double value :
         {std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()})
        EXPECT_FALSE(parseCbor(toCborText(Json::array({value}))));
    EXPECT_TRUE(parseCbor(toCborText(Json::array({1.5}))));
}

RC_GTEST_PROP(JsonDocument, AnyBytesGiveAValueOrAnError, (const std::string &bytes))
{
    const Result<Json> cbor = parseCbor(bytes);
    if (cbor)
        RC_ASSERT(*parseCbor(toCborText(*cbor)) == *cbor);
    const Result<Json> text = parseJson(bytes);
    if (text)
        RC_ASSERT(*parseJson(text->dump()) == *text);
}

} // namespace
