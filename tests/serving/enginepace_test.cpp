#include "fescue/serving/enginepace.h"

#include <gtest/gtest.h>

namespace {

using namespace fescue;
using namespace fescue::serving;

const EndpointName fast("fast");
const EndpointName slow("slow");

EndpointLoad progressOf(std::uint64_t events, std::uint64_t millis)
{
    EndpointLoad load;
    load.progressEvents = events;
    load.progressMillis = millis;
    return load;
}

TEST(ProgressSampler, CountsEventsOfGenerationsThatStayOnTheirEngine)
{
    ProgressSampler sampler;
    EXPECT_TRUE(
        sampler.sample(1_s, std::vector<RunProgress> {{"a", fast, 5}, {"b", slow, 0}}).empty());
    const std::vector<EndpointLoadEntry> progress = sampler.sample(
        1'700_ms, std::vector<RunProgress> {{"a", fast, 25}, {"b", slow, 9}, {"c", slow, 4}});
    ASSERT_EQ(progress.size(), 1U);
    EXPECT_EQ(progress[0].endpoint, fast);
    EXPECT_EQ(progress[0].load, progressOf(20, 700));
    // A generation that was moved has progressed on two engines.
    EXPECT_TRUE(sampler.sample(2'400_ms, std::vector<RunProgress> {{"a", slow, 40}}).empty());
}

// Answers the load of deployments whose engines differ in speed without saying so.
TEST(EnginePace, EnginesOfDifferentSpeedsAreToldApart)
{
    EnginePace paces;
    for (Millis now = 1_s; now <= 4_s; now += 700_ms) {
        paces.observe(now, fast, progressOf(20, 600));
        paces.observe(now, slow, progressOf(20, 1'400));
        paces.purge(now);
    }
    EXPECT_NEAR(paces.slowness(4_s, fast), 0.6, 0.01);
    EXPECT_NEAR(paces.slowness(4_s, slow), 1.4, 0.01);
    EXPECT_EQ(paces.slowness(4_s, EndpointName("new")), 1);
}

TEST(EnginePace, OneLongPauseBarelyChangesAPace)
{
    EnginePace paces;
    paces.observe(1_s, fast, progressOf(20, 600));
    paces.observe(1_s, slow, progressOf(20, 600));
    paces.observe(2_s, slow, progressOf(2, 4'000));
    paces.purge(2_s);
    EXPECT_EQ(paces.slowness(2_s, slow), 1);
}

// An engine that was slow for a while gets work again: its pace is forgotten.
TEST(EnginePace, PacesAreForgotten)
{
    EnginePace paces;
    paces.observe(1_s, fast, progressOf(20, 600));
    paces.observe(1_s, slow, progressOf(20, 2'000));
    paces.purge(1_s);
    EXPECT_GT(paces.slowness(2_s, slow), 1.3);
    const Millis later = 1_s + EnginePace::retention + 1_ms;
    EXPECT_EQ(paces.slowness(later, slow), 1);
    paces.purge(later);
    EXPECT_EQ(paces.slowness(later, fast), 1);
}

} // namespace
