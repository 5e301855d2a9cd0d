#include "fescue/config/errorlist.h"
#include "fescue/gateway/problem.h"

#include <gtest/gtest.h>
#include <map>
#include <sstream>

namespace {

using namespace fescue;

constexpr unsigned maxCode = 9999;

struct TableRow
{
    std::string name;
    std::string http;
    std::string run;
    std::string advice;
};

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    return begin == std::string::npos ? std::string()
                                      : text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

// Reads the rows "| number | name | HTTP | run | advice |" of docs/ERRORS.md.
std::map<unsigned, TableRow> readTable()
{
    const Result<std::string> text = readTextFile(FESCUE_SOURCE_DIR "/docs/ERRORS.md");
    std::map<unsigned, TableRow> rows;
    std::istringstream stream(text.value_or(""));
    std::string line;
    while (std::getline(stream, line)) {
        if (line.rfind("| ", 0) != 0 || line.size() < 3 || std::isdigit(line[2]) == 0)
            continue;
        std::istringstream cells(line.substr(1));
        std::string number;
        TableRow row;
        for (std::string *cell : {&number, &row.name, &row.http, &row.run, &row.advice}) {
            std::getline(cells, *cell, '|');
            *cell = trimmed(*cell);
        }
        const bool added = rows.emplace(std::stoul(number), row).second;
        EXPECT_TRUE(added) << "code " << number << " stands twice";
    }
    return rows;
}

bool isCode(unsigned number)
{
    return toString(static_cast<ResultCode>(number)) != "unnumbered";
}

TEST(ErrorsTable, ListsEveryCode)
{
    const std::map<unsigned, TableRow> rows = readTable();
    for (unsigned number = 0; number <= maxCode; ++number) {
        const auto it = rows.find(number);
        if (!isCode(number)) {
            EXPECT_EQ(it, rows.end()) << "unknown code " << number;
            continue;
        }
        ASSERT_NE(it, rows.end()) << "code " << number << " is not listed";
        EXPECT_EQ(it->second.name, toString(static_cast<ResultCode>(number)));
        EXPECT_FALSE(it->second.advice.empty()) << number;
    }
}

TEST(ErrorsTable, RunStatesAreThoseOfTheInterface)
{
    for (const std::pair<const unsigned, TableRow> &row : readTable()) {
        const std::string &run = row.second.run;
        EXPECT_TRUE(run == toString(RunState::NotRun) || run == toString(RunState::Ran)
                    || run == toString(RunState::Unknown))
            << row.first << ' ' << run;
    }
}

TEST(ErrorsTable, StatusesAreThoseThatCallersGet)
{
    for (const std::pair<const unsigned, TableRow> &row : readTable()) {
        if (row.second.http == "-")
            continue;
        EXPECT_EQ(row.second.http,
                  std::to_string(gateway::httpStatus(static_cast<ResultCode>(row.first))))
            << row.first;
    }
}

} // namespace
