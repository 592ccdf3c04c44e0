#ifndef CITRON_NET_METRICS_H_
#define CITRON_NET_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace citron {

using metric_labels = std::map<std::string, std::string>;

// The daemon's metrics by name and labels, and their page in the text format.
class metrics {
 public:
  // Adds to a counter; made when first used.
  void Count(const std::string& name, const metric_labels& labels,
             double amount = 1);
  void Set(const std::string& name, const metric_labels& labels, double value);
  // Observes seconds in a histogram with buckets from 0.25 ms to 60 s.
  void ObserveSeconds(const std::string& name, const metric_labels& labels,
                      double seconds);
  // Says what a metric means; before its first use.
  void Describe(const std::string& name, const std::string& help);

  std::string Page() const;

 private:
  prometheus::Registry registry_;
  std::map<std::string, std::string> help_;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
};

}  // namespace citron

#endif  // CITRON_NET_METRICS_H_
