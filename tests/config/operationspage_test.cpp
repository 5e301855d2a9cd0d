#include "fescue/config/errorlist.h"
#include "fescue/config/servicefile.h"
#include "fescue/config/settings.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <regex>
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

// Returns the names of the metrics that the sources register.
std::set<std::string> registeredMetrics()
{
    const std::regex registration(R"re((?:counter|gauge|histogram)\(\s*"(fescue_[a-z_]+)")re");
    std::set<std::string> names;
    for (const char *folder : {"/src", "/include"}) {
        for (const std::filesystem::directory_entry &entry :
             std::filesystem::recursive_directory_iterator(FESCUE_SOURCE_DIR
                                                           + std::string(folder))) {
            if (!entry.is_regular_file())
                continue;
            const std::string text = readTextFile(entry.path().string()).value_or("");
            const std::sregex_iterator end;
            for (std::sregex_iterator it(text.begin(), text.end(), registration); it != end; ++it)
                names.insert((*it)[1].str());
        }
    }
    return names;
}

TEST(OperationsPage, ListsEveryMetric)
{
    const Result<std::string> page = readTextFile(FESCUE_SOURCE_DIR "/docs/OPERATIONS.md");
    ASSERT_TRUE(page) << page.error().toString();
    const std::set<std::string> names = registeredMetrics();
    EXPECT_FALSE(names.empty());
    for (const std::string &name : names)
        EXPECT_NE(page->find('`' + name), std::string::npos) << name;
}

} // namespace
