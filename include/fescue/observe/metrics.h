#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/labels.h>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus {
class Registry;
}

namespace fescue::observe {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Labels;

// The metrics of this process. All members may be called from any thread. A look-up takes a lock
// and builds strings: callers on a hot path look a metric up once and keep the reference, which
// stays valid as long as this object. Counters and gauges change without a lock; a histogram locks
// itself for one addition.
//
// A name has one type and one set of buckets: naming a metric again with the same labels returns
// the same object, and naming it with another type throws std::invalid_argument.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    [[nodiscard]] Counter &counter(std::string_view name, const Labels &labels = {});
    [[nodiscard]] Gauge &gauge(std::string_view name, const Labels &labels = {});
    // Upper bounds of the buckets, ascending; the bucket without a bound is implied.
    [[nodiscard]] Histogram &histogram(std::string_view name, const std::vector<double> &buckets,
                                       const Labels &labels = {});

    // Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string serialize() const;

private:
    std::unique_ptr<prometheus::Registry> m_registry;
};

// Bucket bounds in milliseconds for delays from 1 ms to a minute.
[[nodiscard]] const std::vector<double> &delayBucketsMillis();

} // namespace fescue::observe
