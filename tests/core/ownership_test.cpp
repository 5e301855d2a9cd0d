#include "fescue/core/orders.h"
#include "fescue/core/ownership.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;

const ClaimHolder self {MemberName {"a"}, {1}};
const ClaimHolder other {MemberName {"b"}, {1}};

// Ticks and renews the lease as a running process does.
void run(OwnershipMachine &machine, Millis from, Millis to)
{
    for (Millis now = from; now <= to; now += 100_ms) {
        machine.leaseRenewed(now);
        static_cast<void>(machine.tick(now));
    }
}

OwnershipMachine makeOwner(FencingSupport fencing)
{
    OwnershipMachine machine(self, fencing);
    machine.leaseGranted(0_ms);
    EXPECT_EQ(machine.setWanted(0_ms, true), OwnershipStep::CreateKey);
    EXPECT_EQ(machine.keyCreated(0_ms, {5}), OwnershipStep::None);
    return machine;
}

TEST(Ownership, NewOwnerWaitsForTheCreditsOfThePreviousOne)
{
    OwnershipMachine machine = makeOwner(FencingSupport::Checks);
    EXPECT_EQ(machine.fence(), FencingNumber {5});
    EXPECT_TRUE(machine.mayOrder(0_ms));
    run(machine, 0_ms, 1900_ms);
    EXPECT_FALSE(machine.mayGrant(1999_ms));
    EXPECT_TRUE(machine.mayGrant(2_s));
}

TEST(Ownership, EndpointThatIgnoresFencesGetsOrdersAfterTheLongestPause)
{
    OwnershipMachine machine = makeOwner(FencingSupport::Ignores);
    run(machine, 0_ms, 9900_ms);
    EXPECT_FALSE(machine.mayOrder(9999_ms));
    EXPECT_TRUE(machine.mayOrder(10_s));
}

TEST(Ownership, PausedHolderDoesNotActUntilItsLeaseIsRenewed)
{
    OwnershipMachine machine = makeOwner(FencingSupport::Checks);
    run(machine, 0_ms, 5_s);
    EXPECT_FALSE(machine.mayOrder(5600_ms));
    machine.leaseRenewed(5_s);
    EXPECT_FALSE(machine.mayOrder(5600_ms)) << "asked for before the pause";
    machine.leaseRenewed(5600_ms);
    EXPECT_TRUE(machine.mayOrder(5700_ms));
}

TEST(Ownership, NothingIsDoneOnALapsedLease)
{
    OwnershipMachine machine = makeOwner(FencingSupport::Checks);
    run(machine, 0_ms, 5_s);
    for (Millis now = 5_s; now < 7800_ms; now += 100_ms)
        EXPECT_TRUE(machine.mayOrder(now));
    EXPECT_FALSE(machine.mayOrder(7800_ms));
}

TEST(Ownership, KeyEndsWithTheLeaseThatItIsBoundTo)
{
    OwnershipMachine machine = makeOwner(FencingSupport::Checks);
    machine.leaseGranted(1_ms);
    EXPECT_FALSE(machine.holdsKey());
    EXPECT_FALSE(machine.mayOrder(2_ms));
    EXPECT_EQ(machine.tick(2_ms), OwnershipStep::CreateKey);
}

TEST(Ownership, LostAnswerIsResolvedByReading)
{
    OwnershipMachine machine(self, FencingSupport::Checks);
    machine.leaseGranted(0_ms);
    EXPECT_EQ(machine.setWanted(0_ms, true), OwnershipStep::CreateKey);
    EXPECT_EQ(machine.keyAnswerLost(0_ms), OwnershipStep::ReadKey);
    EXPECT_EQ(machine.keyRead(0_ms, OwnerKey {self, {8}}), OwnershipStep::None);
    EXPECT_TRUE(machine.holdsKey());
    EXPECT_EQ(machine.fence(), FencingNumber {8});
}

TEST(Ownership, StepsDownForAnotherOwner)
{
    OwnershipMachine machine = makeOwner(FencingSupport::Checks);
    EXPECT_EQ(machine.keyChanged(1_ms, {4}, std::nullopt), OwnershipStep::None);
    EXPECT_TRUE(machine.holdsKey()) << "the watch lags";
    EXPECT_EQ(machine.keyChanged(1_ms, {6}, OwnerKey {other, {6}}), OwnershipStep::None);
    EXPECT_FALSE(machine.holdsKey());
    EXPECT_EQ(machine.keyChanged(2_ms, {7}, std::nullopt), OwnershipStep::CreateKey);
}

TEST(Ownership, KeyOfAnotherIsNotTaken)
{
    OwnershipMachine machine(self, FencingSupport::Checks);
    machine.leaseGranted(0_ms);
    EXPECT_EQ(machine.setWanted(0_ms, true), OwnershipStep::CreateKey);
    EXPECT_EQ(machine.keyExists(0_ms), OwnershipStep::ReadKey);
    EXPECT_EQ(machine.keyRead(0_ms, OwnerKey {other, {8}}), OwnershipStep::None);
    EXPECT_FALSE(machine.holdsKey());
    EXPECT_EQ(machine.keyChanged(1_ms, {7}, std::nullopt), OwnershipStep::None) << "older";
    EXPECT_EQ(machine.keyChanged(1_ms, {9}, std::nullopt), OwnershipStep::CreateKey);
}

TEST(Ownership, OutdatedFenceEndsTheOwnership)
{
    OwnershipMachine machine = makeOwner(FencingSupport::Checks);
    EXPECT_EQ(machine.fenceRefused(1_ms), OwnershipStep::ReadKey);
    EXPECT_FALSE(machine.mayOrder(1_ms));
}

TEST(OrderLedger, SendsOneAtATimeAndRepeatsWhatMayBeLost)
{
    OrderLedger ledger;
    ledger.add({OrderKind::LoadModel, "m"});
    ledger.add({OrderKind::LoadModel, "m"});
    ledger.add({OrderKind::SetRole, "prefill"});
    EXPECT_EQ(ledger.waiting(), 2U);
    EXPECT_FALSE(ledger.next(0_ms, false, {1}).has_value()) << "not the owner at this moment";
    const std::optional<FencedOrder> first = ledger.next(0_ms, true, {1});
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(toString(first->order.kind), "load-model");
    EXPECT_FALSE(ledger.next(0_ms, true, {1}).has_value());
    ledger.answered(0_ms, OrderAnswer::AnswerLost, 0.0);
    EXPECT_FALSE(ledger.next(10_ms, true, {1}).has_value());
    EXPECT_EQ(ledger.next(100_ms, true, {2}), (FencedOrder {first->order, {2}}));
    ledger.answered(100_ms, OrderAnswer::Done, 0.0);
    EXPECT_EQ(ledger.next(100_ms, true, {2})->order.kind, OrderKind::SetRole);
    ledger.answered(100_ms, OrderAnswer::FenceOutdated, 0.0);
    EXPECT_EQ(ledger.waiting(), 0U);
}

} // namespace
