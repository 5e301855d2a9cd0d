#include "fescue/serving/coldgate.h"

#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName endpoint("e1");

TEST(ColdGate, PartIsWorkedOutForTwiceTheMembers)
{
    EXPECT_EQ(ColdGate::part(50, 9), 2U);
    EXPECT_EQ(ColdGate::part(50, 0), 25U);
    EXPECT_EQ(ColdGate::part(-1, 3), 0U);
}

TEST(ColdGate, TakesItsPartInAnySecond)
{
    ColdGate gate;
    EXPECT_TRUE(gate.tryTake(1_s, endpoint, 50, 9));
    EXPECT_TRUE(gate.tryTake(Millis {1'500}, endpoint, 50, 9));
    EXPECT_FALSE(gate.tryTake(Millis {2'100}, endpoint, 50, 9));
    EXPECT_TRUE(gate.tryTake(Millis {2'150}, endpoint, 50, 9));
}

// Pattern: many processes see an endpoint come back at the same moment, all want to use it, and
// some of them know of few others.
TEST(ColdGate, SumOfManyProcessesStaysBelowTheBoundWhateverTheyKnow)
{
    constexpr double bound = 50;
    constexpr std::size_t processes = 14;
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20; ++round) {
        std::vector<ColdGate> gates(processes);
        std::vector<Millis> sent;
        for (Millis now {0}; now < 5_s; now += 5_ms) {
            for (ColdGate &gate : gates) {
                // A process may miss up to half of the others.
                const std::size_t known = processes / 2 + random() % (processes / 2 + 1);
                if (random() % 3 == 0 && gate.tryTake(now, endpoint, bound, known))
                    sent.push_back(now);
            }
        }
        for (std::size_t i = 0, j = 0; i < sent.size(); ++i) {
            while (sent[i] - sent[j] >= 1_s)
                ++j;
            ASSERT_LE(i - j + 1, static_cast<std::size_t>(bound));
        }
    }
}

} // namespace
