#include "fescue/observe/metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fescue::observe {

Metrics::Metrics() : m_registry(std::make_unique<prometheus::Registry>()) { }

Metrics::~Metrics() = default;

Counter &Metrics::counter(std::string_view name, const Labels &labels)
{
    return prometheus::BuildCounter().Name(std::string(name)).Register(*m_registry).Add(labels);
}

Gauge &Metrics::gauge(std::string_view name, const Labels &labels)
{
    return prometheus::BuildGauge().Name(std::string(name)).Register(*m_registry).Add(labels);
}

Histogram &Metrics::histogram(std::string_view name, const std::vector<double> &buckets,
                              const Labels &labels)
{
    prometheus::Family<Histogram> &family =
        prometheus::BuildHistogram().Name(std::string(name)).Register(*m_registry);
    return family.Add(labels, buckets);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

const std::vector<double> &delayBucketsMillis()
{
    static const std::vector<double> bounds = {1,   2,   4,    8,    16,   32,    64,    128,
                                               256, 512, 1000, 2000, 4000, 10000, 30000, 60000};
    return bounds;
}

} // namespace fescue::observe
