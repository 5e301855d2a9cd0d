#include "fescue/net/bytebudget.h"

#include <gtest/gtest.h>
#include <optional>

namespace fescue::net {

namespace {

constexpr std::size_t megabyte = std::size_t {1024} * 1024;

} // namespace

TEST(ByteBudget, LargeRequestsLeaveRoomForAnswers)
{
    ByteBudget budget(8 * megabyte);
    ByteReservation request(budget, ByteUse::Request);
    ByteReservation answer(budget, ByteUse::Answer);
    EXPECT_FALSE(request.reserve(5 * megabyte));
    EXPECT_TRUE(request.reserve(4 * megabyte));
    EXPECT_FALSE(request.reserve(1));
    EXPECT_TRUE(answer.reserve(3 * megabyte));
    EXPECT_FALSE(answer.reserve(1));
}

// Guards against small requests that are refused beside large ones.
TEST(ByteBudget, LargeBodiesLeaveRoomForSmallOnes)
{
    ByteBudget budget(8 * megabyte);
    ByteReservation large(budget, ByteUse::Answer);
    ASSERT_TRUE(large.reserve(7 * megabyte));
    ByteReservation small(budget, ByteUse::Request);
    EXPECT_TRUE(small.reserve(ByteBudget::smallBytes));
    // It is no longer small.
    EXPECT_FALSE(small.reserve(1));
    EXPECT_EQ(small.bytes(), ByteBudget::smallBytes);
}

TEST(ByteBudget, ReservationsEndWithTheirOwners)
{
    ByteBudget budget(megabyte);
    std::optional<ByteReservation> first;
    first.emplace(budget, ByteUse::Request);
    ASSERT_TRUE(first->reserveUpTo(1000));
    EXPECT_TRUE(first->reserveUpTo(400));
    EXPECT_EQ(budget.used(), 1000U);
    ByteReservation second(budget, ByteUse::Answer);
    ASSERT_TRUE(second.reserve(500));
    first.reset();
    EXPECT_EQ(budget.used(), 500U);
    second.release();
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_EQ(budget.peak(), 1500U);
}

TEST(ByteBudget, NumbersThatOverflowAreRefused)
{
    ByteBudget budget(megabyte);
    ByteReservation reservation(budget, ByteUse::Request);
    ASSERT_TRUE(reservation.reserve(10));
    EXPECT_FALSE(reservation.reserve(SIZE_MAX));
    EXPECT_FALSE(reservation.reserveUpTo(SIZE_MAX));
    EXPECT_EQ(budget.used(), 10U);
}

} // namespace fescue::net
