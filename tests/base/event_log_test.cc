#include "citron/base/event_log.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace citron {
namespace {

class log_fixture {
 public:
  std::vector<std::string> lines_;
  bool takes_ = true;
  monotonic_time now_{std::chrono::hours(1)};

  event_log Make(const event_log_options& options = {}) {
    return event_log(
        [this](std::string_view line) {
          if (takes_) lines_.emplace_back(line);
          return takes_;
        },
        options);
  }
};

BOOST_FIXTURE_TEST_SUITE(lines, log_fixture)

BOOST_AUTO_TEST_CASE(ALineHasItsFieldsInOrder) {
  event_log log = Make();
  log.Write("request", "sent", {{"id", "a1"}, {"load", 3}, {"cold", false}},
            now_);
  BOOST_REQUIRE(lines_.size() == 1u);
  BOOST_TEST(lines_[0].ends_with(
      " part=request event=sent id=a1 load=3 cold=false\n"));
}

// A caller puts a line break into its request's id. It must not be able to
// write log lines of its own.
BOOST_AUTO_TEST_CASE(AValueCantForgeALine) {
  event_log log = Make();
  log.Write("request", "sent", {{"id", "x\nts=1 part=\"node\""}}, now_);
  BOOST_REQUIRE(lines_.size() == 1u);
  BOOST_TEST(lines_[0].ends_with(" id=\"x?ts=1 part=\\\"node\\\"\"\n"));
}

// A flood of refusals must not cost the processor that requests need. What is
// left out is told, so that nobody takes silence for calm.
BOOST_AUTO_TEST_CASE(AFloodIsBoundedAndCounted) {
  event_log log = Make();
  for (int i = 0; i < 1000; ++i) log.Write("request", "refused", {}, now_);
  log.Write("node", "ready", {}, now_);
  BOOST_TEST(lines_.size() == 241u);
  lines_.clear();
  log.Summarize(now_);
  BOOST_REQUIRE(lines_.size() == 1u);
  BOOST_TEST(
      lines_[0].ends_with("of_part=request of_event=refused lines=760\n"));
}

BOOST_AUTO_TEST_CASE(LinesThatCantBeWrittenAreCounted) {
  event_log log = Make();
  takes_ = false;
  log.Write("request", "sent", {}, now_);
  takes_ = true;
  log.Summarize(now_);
  BOOST_REQUIRE(lines_.size() == 1u);
  BOOST_TEST(lines_[0].ends_with("event=unwritten lines=1\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
