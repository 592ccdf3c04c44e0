#include "citron/dispatch/upstream_probe.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

BOOST_AUTO_TEST_CASE(PageIsRead) {
  const upstream_report report = ParseUpstreamReport(
      R"({"healthy": true, "ready": false, "leaving": true,
          "in_flight": 3, "queued": 2, "slots": 4, "other": [1]})");
  BOOST_TEST(report.healthy);
  BOOST_TEST(!report.ready);
  BOOST_TEST(report.leaving);
  BOOST_TEST(report.in_flight == 3);
  BOOST_TEST(report.queued == 2);
}

// An upstream answers with an error page of a server before it, or with
// nothing. It must not count as healthy.
BOOST_AUTO_TEST_CASE(NoPageIsUnhealthy) {
  for (const std::string& body :
       {std::string(), std::string("<html>502</html>"), std::string("[]"),
        std::string("true"), std::string("{"), std::string("{}"),
        std::string("\xff\x00", 2), std::string(100000, '[')}) {
    BOOST_TEST(!ParseUpstreamReport(body).healthy);
  }
}

BOOST_AUTO_TEST_CASE(ValuesOfAnotherTypeAreNotTaken) {
  const upstream_report report = ParseUpstreamReport(
      R"({"healthy": 1, "leaving": "no", "in_flight": "many", "queued": 1.5})");
  BOOST_TEST(!report.healthy);
  BOOST_TEST(!report.leaving);
  BOOST_TEST(report.in_flight == 0);
  BOOST_TEST(report.queued == 0);
}

// A count that no upstream can have would overflow the sums made of it.
BOOST_AUTO_TEST_CASE(CountsOutOfRangeAreNotTaken) {
  for (const char* count :
       {"-1", "1000001", "4294967297", "18446744073709551615", "1e300"}) {
    const upstream_report report = ParseUpstreamReport(
        std::string(R"({"healthy": true, "in_flight": )") + count + "}");
    BOOST_TEST(report.in_flight == 0, count);
  }
}

}  // namespace
}  // namespace citron
