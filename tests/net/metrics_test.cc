#include "citron/net/metrics.h"

#include <boost/test/unit_test.hpp>

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

}  // namespace
}  // namespace citron
