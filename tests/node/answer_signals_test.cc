#include "citron/node/answer_signals.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace citron {
namespace {

header_names Names() {
  header_names names;
  names.load = "X-Load";
  names.rate_limit = "X-Rate-Limit";
  names.pause = "Retry-After";
  names.leaving = "X-Leaving";
  return names;
}

answer_signals Read(int status, const http_headers& headers) {
  http1_head head;
  head.status = status;
  head.headers = headers;
  return ReadAnswerSignals(head, Names());
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutSignalsNamesNone) {
  const answer_signals signals = Read(503, {{"Content-Length", "0"}});
  BOOST_TEST(!signals.load.has_value());
  BOOST_TEST(!signals.rate_limit_per_s.named);
  BOOST_TEST(!signals.pause.named);
  BOOST_TEST(!signals.leaving.named);
}

BOOST_AUTO_TEST_CASE(PausesAreDecimalSeconds) {
  BOOST_TEST(ToSeconds(ReadPause("3").value()) == 3);
  BOOST_TEST(ToSeconds(ReadPause("0.25").value()) == 0.25);
  BOOST_TEST(ToSeconds(ReadPause("0").value()) == 0);
}

// Guards against a value that can't be read and keeps an upstream without
// requests.
BOOST_AUTO_TEST_CASE(OtherValuesOfAPauseAreNotRead) {
  for (const char* text :
       {"", "-5", "nan", "inf", "1e300", "2,3", "0x10", "1 s", "+1", " 1",
        "Fri, 04 Dec 2026 18:00:00 GMT"}) {
    BOOST_TEST(!ReadPause(text).has_value(), text);
    BOOST_TEST(Read(503, {{"Retry-After", text}}).pause.IsUnreadable());
  }
}

// Guards against a time that overflows when it is added to another one.
BOOST_AUTO_TEST_CASE(TheLongestPauseIsBounded) {
  const std::string seconds(300, '9');
  BOOST_TEST((ReadPause(seconds).value() == kLongestPause));
}

BOOST_AUTO_TEST_CASE(OnlyA503AsksForAPause) {
  for (const int status : {200, 301, 404, 421, 429, 500, 504}) {
    BOOST_TEST(!Read(status, {{"Retry-After", "3"}}).pause.named);
  }
  BOOST_TEST((Read(503, {{"retry-after", "3"}}).pause.value == FromSeconds(3)));
}

// Guards against one of two contradicting values being taken for the word of
// the upstream.
BOOST_AUTO_TEST_CASE(TwoHeadersOfANameAreUnreadable) {
  const answer_signals signals =
      Read(503, {{"Retry-After", "3"}, {"Retry-After", "4"}});
  BOOST_TEST(signals.pause.IsUnreadable());
  BOOST_TEST(signals.pause.text == "3");
}

BOOST_AUTO_TEST_CASE(LeavingIsAFlag) {
  BOOST_TEST(Read(200, {{"X-Leaving", "1"}}).leaving.value.value());
  BOOST_TEST(!Read(200, {{"X-Leaving", "0"}}).leaving.value.value());
  BOOST_TEST(Read(200, {{"X-Leaving", "yes"}}).leaving.IsUnreadable());
}

}  // namespace
}  // namespace citron
