#include "fescue/policy.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>
#include <string>

namespace {

using namespace fescue;

const AccountName diner("diner");
const ServiceName drafts("drafts");

LengthForecast trained(std::uint64_t seed)
{
    LengthForecast forecast;
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> lengths(std::log(300.0), 1.0);
    for (int i = 0; i < 2000; ++i)
        forecast.observe(diner, drafts, static_cast<std::uint32_t>(lengths(random)) + 1);
    return forecast;
}

TEST(LengthForecast, QuantilesFitTheDistribution)
{
    const LengthForecast forecast = trained(7);
    EXPECT_NEAR(forecast.quantile(diner, drafts, 0, 0.5), 300, 40);
    EXPECT_NEAR(forecast.quantile(diner, drafts, 0, 0.9), 1080, 160);
}

TEST(LengthForecast, IsConditionalOnTokensAlreadyProduced)
{
    const LengthForecast forecast = trained(7);
    const std::uint32_t fresh = forecast.quantile(diner, drafts, 0, 0.5);
    const std::uint32_t later = forecast.quantile(diner, drafts, 1000, 0.5);
    EXPECT_GT(later, 1000U);
    EXPECT_GT(later - 1000, fresh);
}

TEST(LengthForecast, NeverForecastsLessThanProduced)
{
    const LengthForecast forecast = trained(7);
    for (std::uint32_t produced = 1; produced < 200000; produced = produced * 3 / 2 + 1)
        EXPECT_GE(forecast.quantile(diner, drafts, produced, 0.8), produced);
}

TEST(LengthForecast, UnknownAccountUsesTheService)
{
    const LengthForecast forecast = trained(7);
    EXPECT_EQ(forecast.quantile(AccountName("new"), drafts, 0, 0.5),
              forecast.quantile(AccountName("newer"), drafts, 0, 0.5));
    EXPECT_NEAR(forecast.quantile(AccountName("new"), drafts, 0, 0.5), 300, 40);
}

TEST(LengthForecast, FollowsAChangeOfLengths)
{
    LengthForecast forecast = trained(7);
    for (int i = 0; i < 2000; ++i)
        forecast.observe(diner, drafts, 5000);
    EXPECT_NEAR(forecast.quantile(diner, drafts, 0, 0.5), 5000, 900);
}

TEST(LengthForecast, MemoryIsBounded)
{
    LengthForecast forecast(16);
    for (int i = 0; i < 1000; ++i)
        forecast.observe(AccountName("account-" + std::to_string(i)), drafts, 100);
    EXPECT_LE(forecast.keyCount(), 16U);
    EXPECT_GT(forecast.quantile(AccountName("other"), drafts, 0, 0.5), 90U);
}

} // namespace
