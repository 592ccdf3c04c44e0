#include "citron/net/metrics.h"

#include <prometheus/text_serializer.h>

namespace citron {

namespace {

prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  prometheus::Histogram::BucketBoundaries bounds;
  constexpr double kSmallest = 0.00025;
  constexpr double kLargest = 64;
  for (double bound = kSmallest; bound <= kLargest; bound *= 2) {
    bounds.push_back(bound);
  }
  return bounds;
}

template <class Builder, class Family>
Family& FamilyOf(std::map<std::string, Family*>& families,
                 const std::map<std::string, std::string>& help,
                 prometheus::Registry& registry, const std::string& name,
                 Builder builder) {
  Family*& family = families[name];
  if (family == nullptr) {
    const auto described = help.find(name);
    family = &builder.Name(name)
                  .Help(described == help.end() ? name : described->second)
                  .Register(registry);
  }
  return *family;
}

}  // namespace

void metrics::Count(const std::string& name, const metric_labels& labels,
                    double amount) {
  Counter(name, labels).Add(amount);
}

counter_handle metrics::Counter(const std::string& name,
                                const metric_labels& labels) {
  return counter_handle(
      FamilyOf(counters_, help_, registry_, name, prometheus::BuildCounter())
          .Add(labels));
}

void metrics::Set(const std::string& name, const metric_labels& labels,
                  double value) {
  FamilyOf(gauges_, help_, registry_, name, prometheus::BuildGauge())
      .Add(labels)
      .Set(value);
}

void metrics::ObserveSeconds(const std::string& name,
                             const metric_labels& labels, double seconds) {
  Histogram(name, labels).Observe(seconds);
}

histogram_handle metrics::Histogram(const std::string& name,
                                    const metric_labels& labels) {
  static const prometheus::Histogram::BucketBoundaries kBounds =
      LatencyBuckets();
  return histogram_handle(FamilyOf(histograms_, help_, registry_, name,
                                   prometheus::BuildHistogram())
                              .Add(labels, kBounds));
}

void metrics::Describe(const std::string& name, const std::string& help) {
  help_[name] = help;
}

std::string metrics::Page() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace citron
