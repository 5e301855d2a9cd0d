#include "fescue/config/errorlist.h"
#include "fescue/config/servicefile.h"
#include "fescue/config/settings.h"

#include <gtest/gtest.h>
#include <set>

namespace {

using namespace fescue;

// Returns the keys that a message lists as ‘…; known are a, b’.
std::set<std::string> knownKeys(const ErrorList &errors)
{
    constexpr std::string_view marker = "; known are ";
    std::set<std::string> keys;
    for (const Error &error : errors) {
        const std::size_t at = error.message.find(marker);
        if (error.code != ResultCode::ConfigUnknownKey || at == std::string::npos)
            continue;
        std::string_view rest = std::string_view(error.message).substr(at + marker.size());
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(", "), rest.size());
            keys.emplace(rest.substr(0, comma));
            rest.remove_prefix(std::min(comma + 2, rest.size()));
        }
    }
    return keys;
}

void expectListed(const std::set<std::string> &keys, std::size_t atLeast)
{
    const Result<std::string> page = readTextFile(FESCUE_SOURCE_DIR "/docs/OPERATIONS.md");
    ASSERT_TRUE(page) << page.error().toString();
    EXPECT_GE(keys.size(), atLeast);
    for (const std::string &key : keys)
        EXPECT_NE(page->find('`' + key + '`'), std::string::npos) << key;
}

// An unknown key that resembles no other makes the reader list the known ones.
constexpr const char *unknownKey = "\nzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz = 1\n";

TEST(OperationsPage, ListsEveryKeyOfTheSettings)
{
    std::string text;
    for (const char *section : {"[daemon]", "[store]", "[vmlist]", "[limits]", "[log]"})
        text += std::string(section) + unknownKey;
    const Checked<DaemonSettings> settings = parseSettings(text, "e.ini");
    ASSERT_FALSE(settings);
    expectListed(knownKeys(settings.error()), 16);
}

TEST(OperationsPage, ListsEveryKeyOfTheServiceFiles)
{
    std::string text;
    for (const char *section : {"[zone a]", "[vm a]", "[service a]", "[call a /a]", "[endpoint a]",
                                "[account a]", "[system]"})
        text += std::string(section) + unknownKey;
    ErrorList errors;
    const ServiceFile file = parseServiceFile(text, "a.ini", errors);
    EXPECT_EQ(file.endpoints.size(), 1U);
    expectListed(knownKeys(errors), 20);
}

} // namespace
