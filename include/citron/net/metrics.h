#ifndef CITRON_NET_METRICS_H_
#define CITRON_NET_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <utility>

namespace citron {

using metric_labels = std::map<std::string, std::string>;

// One counter of a daemon's metrics, which must outlive it.
class counter_handle {
 public:
  explicit counter_handle(prometheus::Counter& counter) : counter_(&counter) {}
  void Add(double amount = 1) { counter_->Increment(amount); }

 private:
  prometheus::Counter* counter_;
};

// One histogram of a daemon's metrics, which must outlive it.
class histogram_handle {
 public:
  explicit histogram_handle(prometheus::Histogram& histogram)
      : histogram_(&histogram) {}
  void Observe(double seconds) { histogram_->Observe(seconds); }

 private:
  prometheus::Histogram* histogram_;
};

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
  // The same counter or histogram, looked up once; stands on the page from now
  // on, with nothing counted.
  counter_handle Counter(const std::string& name, const metric_labels& labels);
  histogram_handle Histogram(const std::string& name,
                             const metric_labels& labels);
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

// Metrics of one name, told apart by the values of their labels, for what is
// counted with each request: only the first use of some values makes labels and
// looks them up. A metric is on the page from its first use on.
template <class Handle, std::size_t kLabels>
class metrics_by_label {
 public:
  using label_names = std::array<std::string, kLabels>;
  using label_values = std::array<std::string_view, kLabels>;

  metrics_by_label(metrics& stats, std::string name, label_names labels)
      : stats_(stats), name_(std::move(name)), labels_(std::move(labels)) {}

  Handle& Of(const label_values& values) {
    const auto found = handles_.find(values);
    if (found != handles_.end()) return found->second;
    return Make(values);
  }

 private:
  using kept_values = std::array<std::string, kLabels>;

  struct values_hash {
    using is_transparent = void;
    template <class Values>
    std::size_t operator()(const Values& values) const {
      constexpr std::size_t kOdd = 0x9e3779b97f4a7c15;
      std::size_t hash = 0;
      for (std::string_view value : values) {
        hash = (hash ^ std::hash<std::string_view>()(value)) * kOdd;
      }
      return hash;
    }
  };
  struct values_equal {
    using is_transparent = void;
    template <class A, class B>
    bool operator()(const A& a, const B& b) const {
      for (std::size_t i = 0; i < kLabels; ++i) {
        if (std::string_view(a[i]) != std::string_view(b[i])) return false;
      }
      return true;
    }
  };

  Handle& Make(const label_values& values) {
    metric_labels labels;
    kept_values kept;
    for (std::size_t i = 0; i < kLabels; ++i) {
      kept[i] = std::string(values[i]);
      labels[labels_[i]] = kept[i];
    }
    return handles_.emplace(std::move(kept), Lookup(labels)).first->second;
  }

  Handle Lookup(const metric_labels& labels) {
    if constexpr (std::is_same_v<Handle, counter_handle>) {
      return stats_.Counter(name_, labels);
    } else {
      return stats_.Histogram(name_, labels);
    }
  }

  metrics& stats_;
  std::string name_;
  label_names labels_;
  std::unordered_map<kept_values, Handle, values_hash, values_equal> handles_;
};

template <std::size_t kLabels>
using counters_by_label = metrics_by_label<counter_handle, kLabels>;
template <std::size_t kLabels>
using histograms_by_label = metrics_by_label<histogram_handle, kLabels>;

}  // namespace citron

#endif  // CITRON_NET_METRICS_H_
