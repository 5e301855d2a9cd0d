#include "net/connectiontable.h"

#include <array>
#include <gtest/gtest.h>

namespace fescue::net {

namespace {

// The table never looks at a connection.
ServerConnection *connectionNumber(std::size_t i)
{
    static std::array<char, 16> marks {};
    return reinterpret_cast<ServerConnection *>(&marks.at(i));
}

} // namespace

// Answers a crowd from one IP number that holds most connections.
TEST(ConnectionTable, PeerWithFewConnectionsDisplacesOneOfTheLargest)
{
    ConnectionTable table;
    for (std::size_t i = 0; i < 6; ++i)
        table.insert("crowd", connectionNumber(i));
    table.insert("other", connectionNumber(6));
    const ConnectionTable::Group *group = table.largestBeside("newcomer");
    ASSERT_NE(group, nullptr);
    EXPECT_EQ(group->size(), 6U);
    EXPECT_FALSE(group->contains(connectionNumber(6)));
    EXPECT_EQ(table.largestBeside("other"), group);
    EXPECT_EQ(table.largestBeside("crowd"), nullptr);
    table.insert("other", connectionNumber(7));
    table.insert("other", connectionNumber(8));
    EXPECT_EQ(table.largestBeside("other"), nullptr);
}

TEST(ConnectionTable, PeersWithOneEachDisplaceNobody)
{
    ConnectionTable table;
    EXPECT_EQ(table.largestBeside("a"), nullptr);
    table.insert("a", connectionNumber(0));
    EXPECT_EQ(table.largestBeside("b"), nullptr);
    table.erase("a", connectionNumber(0));
    EXPECT_TRUE(table.groups().empty());
}

} // namespace fescue::net
