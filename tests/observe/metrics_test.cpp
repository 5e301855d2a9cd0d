#include "fescue/observe/metrics.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace {

using namespace fescue::observe;

bool has(const Metrics &metrics, std::string_view line)
{
    return metrics.serialize().find(line) != std::string::npos;
}

TEST(Metrics, SerializesAllTypes)
{
    Metrics metrics;
    metrics.counter("fescue_requests_total", {{"code", "ok"}}).Increment(2);
    metrics.gauge("fescue_streams").Set(3);
    metrics.histogram("fescue_wait_ms", {1, 10}).Observe(5);
    EXPECT_TRUE(has(metrics, "fescue_requests_total{code=\"ok\"} 2"));
    EXPECT_TRUE(has(metrics, "fescue_streams 3"));
    EXPECT_TRUE(has(metrics, "fescue_wait_ms_bucket{le=\"1\"} 0"));
    EXPECT_TRUE(has(metrics, "fescue_wait_ms_bucket{le=\"10\"} 1"));
}

TEST(Metrics, SameNameAndLabelsAreTheSameMetric)
{
    Metrics metrics;
    Counter &first = metrics.counter("fescue_a_total", {{"x", "1"}});
    EXPECT_EQ(&first, &metrics.counter("fescue_a_total", {{"x", "1"}}));
    EXPECT_NE(&first, &metrics.counter("fescue_a_total", {{"x", "2"}}));
    Histogram &delays = metrics.histogram("fescue_b_ms", delayBucketsMillis());
    EXPECT_EQ(&delays, &metrics.histogram("fescue_b_ms", delayBucketsMillis()));
}

TEST(Metrics, ANameHasOneType)
{
    Metrics metrics;
    metrics.counter("fescue_a").Increment();
    EXPECT_THROW(static_cast<void>(metrics.gauge("fescue_a")), std::invalid_argument);
}

} // namespace
