#include "tests/config/support.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using fescue::testing::Mistake;

TEST(IniFile, KeepsThePositionOfEachPart)
{
    const Checked<IniDocument> document =
        parseIni("; note\n[call ledger /adjust] ; why\n  timeout =   2s ; short\n", "a.ini");
    ASSERT_TRUE(document) << toString(document.error());
    ASSERT_EQ(document->sections.size(), 1U);
    const IniSection &section = document->sections[0];
    EXPECT_EQ(section.kind, "call");
    EXPECT_EQ(section.title(), "call ledger /adjust");
    EXPECT_EQ(section.position, (SourcePosition {"a.ini", 2, 1}));
    ASSERT_EQ(section.entries.size(), 1U);
    EXPECT_EQ(section.entries[0].value, "2s");
    EXPECT_EQ(section.entries[0].keyPosition, (SourcePosition {"a.ini", 3, 3}));
    EXPECT_EQ(section.entries[0].valuePosition, (SourcePosition {"a.ini", 3, 15}));
}

TEST(IniFile, KeepsSectionsWithoutKeys)
{
    const Checked<IniDocument> document = parseIni("\xef\xbb\xbf[vm oak]\r\n[vm elm]", "a.ini");
    ASSERT_TRUE(document) << toString(document.error());
    ASSERT_EQ(document->sections.size(), 2U);
    EXPECT_EQ(document->sections[1].title(), "vm elm");
    EXPECT_EQ(document->sections[1].position.line, 2U);
}

TEST(IniFile, ReadsLongLinesWhole)
{
    const std::string value(3000, 'x');
    const Checked<IniDocument> document = parseIni("[a]\nkey = " + value + "\n", "a.ini");
    ASSERT_TRUE(document) << toString(document.error());
    EXPECT_EQ(document->sections[0].entries[0].value, value);
}

TEST(IniFile, ReportsEveryMistakeOfAText)
{
    const Checked<IniDocument> document = parseIni("x = 1\n[a\n[b]\nword\ny=1\ny=2\n", "a.ini");
    ASSERT_FALSE(document);
    ASSERT_EQ(document.error().size(), 4U) << toString(document.error());
    EXPECT_EQ(document.error()[3].position.line, 6U);
}

const std::string longName(50, 'n');
const std::string longLine = "[a]\nk = " + std::string(4000, 'x');
const std::string longKey = "[a]\n" + longName + " = 1";
const std::string longTitle = "[" + longName + "]";

const Mistake mistakes[] = {
    {"KeyBeforeSection", "a = 1", 1, 1, ResultCode::ConfigSyntax, "before the first"},
    {"NoBracket", "\n  [zone", 2, 3, ResultCode::ConfigSyntax, "closing bracket"},
    {"EmptyTitle", "[ ]", 1, 1, ResultCode::ConfigSyntax, "title is empty"},
    {"TextAfterTitle", "[a] b", 1, 4, ResultCode::ConfigSyntax, "only a comment"},
    {"NoSeparator", "[a]\n word", 2, 2, ResultCode::ConfigSyntax, "key = value"},
    {"NoKey", "[a]\n= 3", 2, 1, ResultCode::ConfigSyntax, "key = value"},
    {"KeyTwice", "[a]\nk=1\n k=2", 3, 2, ResultCode::ConfigConflict, "line 2"},
    {"Control", "[a]\nk = \x01", 2, 5, ResultCode::ConfigSyntax, "control character"},
    {"LongLine", longLine.c_str(), 2, 1, ResultCode::ConfigSyntax, "longer than 4000"},
    {"LongKey", longKey.c_str(), 2, 1, ResultCode::ConfigSyntax, "longer than 49"},
    {"LongTitle", longTitle.c_str(), 1, 1, ResultCode::ConfigSyntax, "longer than 49"},
};

class IniMistake : public ::testing::TestWithParam<Mistake>
{ };

TEST_P(IniMistake, IsReportedAtItsPlace)
{
    const Checked<IniDocument> document = parseIni(GetParam().text, "a.ini");
    ASSERT_FALSE(document);
    EXPECT_EQ(document.error().size(), 1U);
    EXPECT_TRUE(fescue::testing::reports(document.error(), GetParam()))
        << toString(document.error());
}

INSTANTIATE_TEST_SUITE_P(Each, IniMistake, ::testing::ValuesIn(mistakes),
                         [](const ::testing::TestParamInfo<Mistake> &info) {
                             return std::string(info.param.label);
                         });

} // namespace
