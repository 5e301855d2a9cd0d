#include "fescue/policy.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace {

using namespace fescue;

std::vector<Candidate> idleCandidates(std::size_t n)
{
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < n; ++i)
        candidates.push_back({EndpointName("engine-" + std::to_string(i)), false, 0, 0, 4, 10000});
    return candidates;
}

Request withPrefix(std::uint64_t hash)
{
    Request request;
    request.prefixHashes = {hash, hash + 1, hash + 2};
    return request;
}

TEST(Router, SamePrefixGoesToTheSameEndpointFromEveryEntry)
{
    const std::vector<Candidate> candidates = idleCandidates(8);
    const std::vector<Candidate> reversed(candidates.rbegin(), candidates.rend());
    for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
        const std::size_t here = *chooseEndpoint(withPrefix(prefix), candidates, {});
        const std::size_t there = *chooseEndpoint(withPrefix(prefix), reversed, {});
        EXPECT_EQ(candidates[here].endpoint, reversed[there].endpoint);
    }
}

TEST(Router, PrefixesSpreadOverEndpoints)
{
    const std::vector<Candidate> candidates = idleCandidates(4);
    std::vector<int> chosen(4, 0);
    for (std::uint64_t prefix = 0; prefix < 400; ++prefix)
        ++chosen[*chooseEndpoint(withPrefix(prefix * 7919), candidates, {})];
    for (const int n : chosen)
        EXPECT_GT(n, 50);
}

TEST(Router, LosesOnlyTheMovedPrefixesWhenAnEndpointLeaves)
{
    const std::vector<Candidate> all = idleCandidates(8);
    const std::vector<Candidate> fewer(all.begin(), all.end() - 1);
    for (std::uint64_t prefix = 0; prefix < 200; ++prefix) {
        const EndpointName before = all[*chooseEndpoint(withPrefix(prefix), all, {})].endpoint;
        const EndpointName after = fewer[*chooseEndpoint(withPrefix(prefix), fewer, {})].endpoint;
        if (before != all.back().endpoint)
            EXPECT_EQ(before, after);
    }
}

TEST(Router, AffinityIsBoundedByLoad)
{
    std::vector<Candidate> candidates = idleCandidates(4);
    RouterSettings settings;
    settings.affinityPercent = 25;
    const std::size_t usual = *chooseEndpoint(withPrefix(3), candidates, settings);
    candidates[usual].busyPercent = 25;
    EXPECT_EQ(chooseEndpoint(withPrefix(3), candidates, settings), usual);
    candidates[usual].busyPercent = 26;
    EXPECT_NE(chooseEndpoint(withPrefix(3), candidates, settings), usual);
}

TEST(Router, WithoutPrefixPrefersTheSameZoneWithinTheBound)
{
    std::vector<Candidate> candidates = idleCandidates(3);
    candidates[2].sameZone = true;
    candidates[2].busyPercent = 20;
    EXPECT_EQ(chooseEndpoint(Request {}, candidates, {}), 2U);
    candidates[2].busyPercent = 90;
    EXPECT_NE(chooseEndpoint(Request {}, candidates, {}), 2U);
}

TEST(Router, ChoosesNothingAmongNothing)
{
    EXPECT_FALSE(chooseEndpoint(Request {}, {}, {}).has_value());
}

} // namespace
