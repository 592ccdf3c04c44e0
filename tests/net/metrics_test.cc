#include "citron/net/metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

bool Has(const metrics& stats, const std::string& line) {
  return ("\n" + stats.Page()).find("\n" + line + "\n") != std::string::npos;
}

BOOST_AUTO_TEST_CASE(CountersAddAndGaugesKeepTheLast) {
  metrics stats;
  stats.Count("calls", {{"code", "a"}});
  stats.Count("calls", {{"code", "a"}}, 2);
  stats.Count("calls", {{"code", "b"}});
  stats.Set("age", {}, 4);
  stats.Set("age", {}, 2.5);
  BOOST_TEST(Has(stats, "calls{code=\"a\"} 3"));
  BOOST_TEST(Has(stats, "calls{code=\"b\"} 1"));
  BOOST_TEST(Has(stats, "age 2.5"));
  BOOST_TEST(Has(stats, "# TYPE calls counter"));
}

BOOST_AUTO_TEST_CASE(SecondsFallIntoBuckets) {
  metrics stats;
  stats.ObserveSeconds("wait", {}, 0.0003);
  stats.ObserveSeconds("wait", {}, 100);
  BOOST_TEST(Has(stats, "wait_bucket{le=\"0.00025\"} 0"));
  BOOST_TEST(Has(stats, "wait_bucket{le=\"0.0005\"} 1"));
  BOOST_TEST(Has(stats, "wait_bucket{le=\"+Inf\"} 2"));
  BOOST_TEST(Has(stats, "wait_count 2"));
}

BOOST_AUTO_TEST_CASE(DescriptionIsTheHelp) {
  metrics stats;
  stats.Describe("age", "How old it is.");
  stats.Set("age", {}, 1);
  stats.Set("other", {}, 1);
  BOOST_TEST(Has(stats, "# HELP age How old it is."));
  BOOST_TEST(Has(stats, "# HELP other other"));
}

// A workspace's name comes from operators and may hold any bytes; one with a
// quote or a line break must not break the whole page.
BOOST_AUTO_TEST_CASE(LabelValuesAreEscaped) {
  metrics stats;
  stats.Count("calls", {{"workspace", "a\"b\nc\\d"}});
  BOOST_TEST(Has(stats, R"(calls{workspace="a\"b\nc\\d"} 1)"));
}

BOOST_AUTO_TEST_CASE(HandleAndNameAreTheSameMetric) {
  metrics stats;
  stats.Describe("calls", "Calls that ended.");
  counter_handle calls = stats.Counter("calls", {{"code", "a"}});
  BOOST_TEST(Has(stats, "calls{code=\"a\"} 0"));
  calls.Add();
  stats.Count("calls", {{"code", "a"}});
  calls.Add(2.5);
  BOOST_TEST(Has(stats, "calls{code=\"a\"} 4.5"));
  BOOST_TEST(Has(stats, "# HELP calls Calls that ended."));
  histogram_handle wait = stats.Histogram("wait", {});
  wait.Observe(0.0003);
  stats.ObserveSeconds("wait", {}, 100);
  BOOST_TEST(Has(stats, "wait_bucket{le=\"0.0005\"} 1"));
  BOOST_TEST(Has(stats, "wait_count 2"));
}

// The values come from strings of a request that are gone after it; a metric
// that kept pointing at them would count for another workspace later.
BOOST_AUTO_TEST_CASE(MetricsByLabelKeepTheirValues) {
  metrics stats;
  counters_by_label<2> calls(stats, "calls", {"workspace", "answered"});
  BOOST_TEST(!Has(stats, "# TYPE calls counter"));
  // Longer than what a string holds in itself, and overwritten at once.
  std::string workspace = "a-workspace-with-a-long-name-1";
  calls.Of({workspace, "yes"}).Add();
  workspace.back() = '2';
  calls.Of({workspace, "yes"}).Add(2);
  workspace.back() = '1';
  calls.Of({workspace, "yes"}).Add(4);
  calls.Of({workspace, "no"}).Add(8);
  workspace.back() = '3';
  const std::string name =
      "calls{answered=\"yes\",workspace=\"a-workspace-with";
  BOOST_TEST(Has(stats, name + "-a-long-name-1\"} 5"));
  BOOST_TEST(Has(stats, name + "-a-long-name-2\"} 2"));
  BOOST_TEST(!Has(stats, name + "-a-long-name-3\"} 0"));
  histograms_by_label<1> wait(stats, "wait", {"service"});
  for (int i = 0; i < 3; ++i) wait.Of({"bench"}).Observe(0.1);
  BOOST_TEST(Has(stats, "wait_count{service=\"bench\"} 3"));
}

// Values that would read alike when written one after the other, and the same
// values the other way round, are other metrics.
BOOST_AUTO_TEST_CASE(MetricsByLabelTellValuesApart) {
  metrics stats;
  counters_by_label<2> calls(stats, "calls", {"a", "b"});
  calls.Of({"xy", "z"}).Add(1);
  calls.Of({"x", "yz"}).Add(2);
  calls.Of({"z", "xy"}).Add(4);
  calls.Of({"", "xyz"}).Add(8);
  BOOST_TEST(Has(stats, "calls{a=\"xy\",b=\"z\"} 1"));
  BOOST_TEST(Has(stats, "calls{a=\"x\",b=\"yz\"} 2"));
  BOOST_TEST(Has(stats, "calls{a=\"z\",b=\"xy\"} 4"));
  BOOST_TEST(Has(stats, "calls{a=\"\",b=\"xyz\"} 8"));
}

}  // namespace
}  // namespace citron
