#include "citron/entry/caller_request.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

BOOST_AUTO_TEST_CASE(TargetsAreSplit) {
  const auto check = [](const char* target, const char* service,
                        const char* rest) {
    const service_target split = SplitTarget(target);
    BOOST_TEST(split.service.Str() == service);
    BOOST_TEST(split.target == rest);
  };
  check("/yard-desk/lots/7?a=b", "yard-desk", "/lots/7?a=b");
  check("/yard-desk", "yard-desk", "/");
  check("/yard-desk?a=b", "yard-desk", "/?a=b");
  check("//yard-desk//lots", "yard-desk", "//lots");
  check("/", "", "");
  check("", "", "");
}

BOOST_AUTO_TEST_CASE(OnlyReadingMethodsAreIdempotent) {
  BOOST_TEST(IsIdempotent("GET"));
  BOOST_TEST(IsIdempotent("HEAD"));
  for (const char* method : {"POST", "PUT", "DELETE", "PATCH", "get", ""}) {
    BOOST_TEST(!IsIdempotent(method), method);
  }
}

BOOST_AUTO_TEST_CASE(KeysAreReadFromTheBearerScheme) {
  const auto code = [](const http_headers& headers) {
    const auto read = ReadKey(headers);
    const auto* problem = std::get_if<caller_error>(&read);
    return problem == nullptr ? std::string(std::get<std::string_view>(read))
                              : problem->code;
  };
  BOOST_TEST(code({{"authorization", "bearer abc"}}) == "abc");
  BOOST_TEST(code({}) == "key_missing");
  BOOST_TEST(code({{"Authorization", "Basic abc"}}) == "key_malformed");
  BOOST_TEST(code({{"Authorization", "Bearer "}}) == "key_malformed");
  BOOST_TEST(code({{"Authorization", "Bearer " + std::string(300, 'x')}}) ==
             "key_malformed");
}

BOOST_AUTO_TEST_CASE(DeadlinesAreReadStrictly) {
  const auto code = [](const std::string& text) {
    const auto read = ReadDeadline({{"Citron-Deadline-Ms", text}});
    const auto* problem = std::get_if<caller_error>(&read);
    return problem == nullptr ? "" : problem->code;
  };
  BOOST_TEST(code("250") == "");
  BOOST_TEST(code("0.5") == "");
  BOOST_TEST(code("0") == "deadline_passed");
  BOOST_TEST(code("-3") == "deadline_passed");
  for (const char* bad : {"", "soon", "5x", " 5", "nan", "inf", "1e300"}) {
    BOOST_TEST(code(bad) == "bad_deadline", bad);
  }
  const auto none = ReadDeadline({});
  BOOST_TEST(!std::get<std::optional<duration>>(none).has_value());
}

BOOST_AUTO_TEST_CASE(CountsAndAddressesAreWhole) {
  BOOST_TEST(ParseCount("12").value() == 12);
  BOOST_TEST(ParseAddress("10.0.0.1").value() == 0x0a000001u);
  for (const char* bad : {"", "1x", " 1", "99999999999"}) {
    BOOST_TEST(!ParseCount(bad).has_value(), bad);
  }
  for (const char* bad : {"", "10.0.0", "10.0.0.256", "::1", "a"}) {
    BOOST_TEST(!ParseAddress(bad).has_value(), bad);
  }
}

// A refusal without a time to come back makes clients ask again at once; one
// that rounds down makes them come too early.
BOOST_AUTO_TEST_CASE(ErrorsSayWhenToComeBack) {
  const monotonic_time now{FromSeconds(1000)};
  const caller_error problem{429, "over_rate", "too much", verdict::kNotRun,
                             now + FromMilliseconds(1200.5)};
  const http_response response = ErrorResponse(problem, "id-1", now);
  BOOST_TEST(response.head.status == 429);
  BOOST_TEST((FindHeader(response.head.headers, "Retry-After") == "2"));
  BOOST_TEST(
      (FindHeader(response.head.headers, "Citron-Verdict") == "not_run"));
  BOOST_TEST(response.body.find("\"retry_after_ms\":1201") !=
             std::string::npos);
  BOOST_TEST(response.body.find("\"request_id\":\"id-1\"") !=
             std::string::npos);
}

}  // namespace
}  // namespace citron
