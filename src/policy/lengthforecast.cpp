#include "fescue/policy/lengthforecast.h"

#include <algorithm>
#include <cmath>

namespace fescue {

namespace {

// Each observation reduces the weight of the earlier ones by this factor.
constexpr double growthPerObservation = 1.002;
constexpr double maxScale = 1e6;
// Weight of observations below which the forecast of the whole service is used instead of the
// account's own.
constexpr double minObservations = 20;
// Least forecast, in tokens, for a service without longer outputs on record.
constexpr std::uint32_t defaultTokens = 512;

} // namespace

std::size_t LengthHistogram::bucketOf(std::uint32_t tokens) noexcept
{
    const double position = std::log2(std::max<double>(1, tokens)) * bucketsPerDoubling;
    return std::min(static_cast<std::size_t>(position), bucketCount - 1);
}

double LengthHistogram::lowerEdge(std::size_t bucket) noexcept
{
    return std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
}

void LengthHistogram::observe(std::uint32_t tokens) noexcept
{
    m_weights[bucketOf(tokens)] += static_cast<float>(m_scale);
    m_total += 1;
    m_total /= growthPerObservation;
    m_scale *= growthPerObservation;
    if (m_scale < maxScale)
        return;
    for (float &weight : m_weights)
        weight /= static_cast<float>(m_scale);
    m_scale = 1;
}

double LengthHistogram::bucketWeightAbove(std::size_t bucket, double length) const noexcept
{
    const double low = lowerEdge(bucket);
    const double high = lowerEdge(bucket + 1);
    const double part = std::clamp((high - length) / (high - low), 0.0, 1.0);
    return static_cast<double>(m_weights[bucket]) * part;
}

double LengthHistogram::weightAbove(std::uint32_t produced) const noexcept
{
    double sum = 0;
    for (std::size_t i = bucketOf(produced); i < bucketCount; ++i)
        sum += bucketWeightAbove(i, produced);
    return sum / m_scale;
}

std::uint32_t LengthHistogram::quantile(double q, std::uint32_t produced) const noexcept
{
    const double above = weightAbove(produced) * m_scale;
    if (above <= 0)
        return produced;
    double left = above * q;
    for (std::size_t i = bucketOf(produced); i < bucketCount; ++i) {
        const double weight = bucketWeightAbove(i, produced);
        if (weight < left) {
            left -= weight;
            continue;
        }
        if (weight <= 0)
            continue;
        const double low = std::max<double>(lowerEdge(i), produced);
        const double length = low + (lowerEdge(i + 1) - low) * left / weight;
        return std::max(produced, static_cast<std::uint32_t>(std::ceil(length)));
    }
    return static_cast<std::uint32_t>(std::ceil(lowerEdge(bucketCount)));
}

void LengthForecast::observe(const AccountName &account, const ServiceName &service,
                             std::uint32_t tokens)
{
    observeKey({service, account}, tokens);
    observeKey({service, AccountName {}}, tokens);
}

void LengthForecast::observeKey(const Key &key, std::uint32_t tokens)
{
    const auto it = m_byKey.find(key);
    if (it != m_byKey.end()) {
        m_order.splice(m_order.begin(), m_order, it->second.position);
        it->second.histogram.observe(tokens);
        return;
    }
    if (m_byKey.size() >= m_maxKeys && !m_order.empty()) {
        m_byKey.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(key);
    m_byKey.emplace(key, Entry {{}, m_order.begin()}).first->second.histogram.observe(tokens);
}

const LengthHistogram *LengthForecast::find(const Key &key) const
{
    const auto it = m_byKey.find(key);
    return it != m_byKey.end() ? &it->second.histogram : nullptr;
}

std::uint32_t LengthForecast::quantile(const AccountName &account, const ServiceName &service,
                                       std::uint32_t produced, double q) const
{
    const LengthHistogram *own = find({service, account});
    if (own != nullptr && own->weightAbove(produced) >= minObservations)
        return own->quantile(q, produced);
    const LengthHistogram *all = find({service, AccountName {}});
    if (all != nullptr && all->weightAbove(produced) > 0)
        return all->quantile(q, produced);
    return std::max(defaultTokens, produced * 2);
}

} // namespace fescue
