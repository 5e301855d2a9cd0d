#pragma once

#include "fescue/core/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>

namespace fescue {

// Histogram of output lengths with buckets whose width grows with the length. The weight of an
// observation decays with each newer one.
class LengthHistogram
{
public:
    // Records the length, in tokens, of one finished output.
    void observe(std::uint32_t tokens) noexcept;
    // Returns the sum of the weights of all observations.
    [[nodiscard]] double weight() const noexcept { return m_total; }
    // Returns the length in tokens that an output of already `produced` tokens does not exceed with
    // probability q, or `produced` if no longer output is on record.
    [[nodiscard]] std::uint32_t quantile(double q, std::uint32_t produced) const noexcept;
    // Returns the weight of the observations that were longer than `produced` tokens.
    [[nodiscard]] double weightAbove(std::uint32_t produced) const noexcept;

private:
    // Four buckets for each doubling, up to 2^17 tokens.
    static constexpr std::size_t bucketsPerDoubling = 4;
    static constexpr std::size_t bucketCount = 17 * bucketsPerDoubling;

    [[nodiscard]] static std::size_t bucketOf(std::uint32_t tokens) noexcept;
    [[nodiscard]] static double lowerEdge(std::size_t bucket) noexcept;
    // Returns the part of a bucket's weight that lies above a length.
    [[nodiscard]] double bucketWeightAbove(std::size_t bucket, double length) const noexcept;

    std::array<float, bucketCount> m_weights {};
    double m_total = 0;
    // Weight of the next observation. It grows, so that older observations count less.
    double m_scale = 1;
};

// Forecasts the output length of requests from finished ones of the same account and service. With
// too few of these it uses all requests of the service, and without any a default. Memory is
// bounded: the least recently observed pairs of account and service are evicted.
class LengthForecast
{
public:
    explicit LengthForecast(std::size_t maxKeys = 1024) : m_maxKeys(maxKeys) { }

    void observe(const AccountName &account, const ServiceName &service, std::uint32_t tokens);
    // Returns the total output length, in tokens, that a request which has already produced
    // `produced` tokens does not exceed with probability q.
    [[nodiscard]] std::uint32_t quantile(const AccountName &account, const ServiceName &service,
                                         std::uint32_t produced, double q) const;
    [[nodiscard]] std::size_t keyCount() const noexcept { return m_byKey.size(); }

private:
    struct Key
    {
        ServiceName service;
        AccountName account; // empty: all accounts
        auto operator<=>(const Key &) const = default;
    };
    struct Entry
    {
        LengthHistogram histogram;
        std::list<Key>::iterator position;
    };

    void observeKey(const Key &key, std::uint32_t tokens);
    [[nodiscard]] const LengthHistogram *find(const Key &key) const;

    std::size_t m_maxKeys;
    std::map<Key, Entry> m_byKey;
    std::list<Key> m_order; // most recently observed first
};

} // namespace fescue
