#include "tests/config/support.h"

#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck.h>

namespace {

using namespace fescue;
using fescue::testing::sampleFile;
using fescue::testing::sampleSnapshot;

constexpr const char *fixedParameters = "seed=20261204 max_success=400 max_size=120";

// RapidCheck reads its parameters from the environment once, before the first property.
class ParserProperties : public ::testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        if (setenv("RC_PARAMS", fixedParameters, 0) != 0)
            FAIL() << "cannot set RC_PARAMS";
        std::cout << "RC_PARAMS=" << getenv("RC_PARAMS") << '\n';
    }
};

rc::Gen<std::string> anyBytes()
{
    return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

rc::Gen<std::string> iniBytes()
{
    return rc::gen::container<std::string>(rc::gen::elementOf(std::string("[]=:;# \n\tab1/.,")));
}

// Replaces, removes and inserts a few bytes.
std::string mutated(std::string text)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < changes && !text.empty(); ++n) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        const char byte = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = byte;
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
            break;
        case 2:
            text.insert(at, 1, byte);
            break;
        default:
            text.insert(at, text.substr(at, 30));
            break;
        }
    }
    return text;
}

void checkServiceFile(const std::string &text)
{
    const std::vector<ServiceFileText> files = {{"a.ini", text}};
    const Checked<Declaration> declaration = collectDeclaration(files);
    if (declaration)
        RC_ASSERT(checkSnapshot(declaration->snapshot).empty());
    else
        RC_ASSERT(!declaration.error().empty());
}

void checkSnapshotText(const std::string &text)
{
    const Result<Snapshot> snapshot = parseSnapshot(text);
    if (!snapshot)
        return;
    const std::string again = serializeSnapshot(*snapshot).value();
    RC_ASSERT(parseSnapshot(again).value() == *snapshot);
}

TEST_F(ParserProperties, AnyBytesAreAnErrorOrADocument)
{
    EXPECT_TRUE(rc::check([] {
        const std::string text = *rc::gen::oneOf(anyBytes(), iniBytes());
        const Checked<IniDocument> document = parseIni(text, "a.ini");
        RC_ASSERT(document || !document.error().empty());
        RC_ASSERT(!parseSettings(text, "a.ini"));
        checkServiceFile(text);
        checkSnapshotText(text);
    }));
}

TEST_F(ParserProperties, ErrorsLieWithinTheText)
{
    EXPECT_TRUE(rc::check([] {
        const std::string text = mutated(std::string(sampleFile));
        const std::size_t lines =
            1 + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
        ErrorList errors;
        const ServiceFile file = parseServiceFile(text, "a.ini", errors);
        for (const Error &error : errors)
            RC_ASSERT(error.position.line >= 1 && error.position.line <= lines);
    }));
}

TEST_F(ParserProperties, ChangedServiceFilesAreAnErrorOrConsistent)
{
    EXPECT_TRUE(rc::check([] { checkServiceFile(mutated(std::string(sampleFile))); }));
}

TEST_F(ParserProperties, ChangedSnapshotTextsAreAnErrorOrConsistent)
{
    const std::string text = serializeSnapshot(sampleSnapshot()).value();
    EXPECT_TRUE(rc::check([&text] { checkSnapshotText(mutated(text)); }));
}

TEST_F(ParserProperties, SnapshotsSurviveTheirText)
{
    EXPECT_TRUE(rc::check([] {
        Snapshot snapshot = sampleSnapshot();
        snapshot.version.value = *rc::gen::arbitrary<std::uint64_t>();
        snapshot.zones.front().out = *rc::gen::arbitrary<bool>();
        snapshot.directoryTtl = Millis {*rc::gen::inRange<std::int64_t>(1000, 300'001)};
        snapshot.accounts.front().weight = *rc::gen::positive<double>();
        snapshot.endpoints.front().slots = *rc::gen::inRange<std::uint32_t>(2, 4'000'000'000U);
        snapshot.services.front().queueLimit = Millis {*rc::gen::inRange<std::int64_t>(1, 9999)};
        RC_ASSERT(parseSnapshot(serializeSnapshot(snapshot).value()).value() == snapshot);
    }));
}

TEST_F(ParserProperties, DeepNestingIsRefused)
{
    EXPECT_FALSE(parseSnapshot(std::string(900'000, '[')));
    EXPECT_FALSE(parseSnapshot(std::string(400'000, '[') + std::string(400'000, ']')));
}

} // namespace
