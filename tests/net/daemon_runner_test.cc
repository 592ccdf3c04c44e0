#include "citron/net/daemon_runner.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace citron {
namespace {

using std::chrono::milliseconds;

// A daemon that needs some time to stop.
class runner_fixture {
 public:
  // Raises the signals one after the other; the time until the loop ended.
  duration RunWith(std::vector<int> signals) {
    loop_timer raise_next(*loop_, [&] {
      std::raise(signals.front());
      signals.erase(signals.begin());
      if (!signals.empty()) raise_next.Arm(MonotonicNow() + milliseconds(20));
    });
    std::function<void()> stopped;
    loop_timer end(*loop_, [&] { stopped(); });
    const monotonic_time start = MonotonicNow();
    raise_next.Arm(start);
    RunUntilSignal(
        *loop_,
        [&](std::function<void()> done) {
          ++stops_;
          stopped = std::move(done);
          end.Arm(MonotonicNow() + kStopTime);
        },
        [this](int signal_number) { repeated_.push_back(signal_number); });
    return MonotonicNow() - start;
  }

  static constexpr duration kStopTime = milliseconds(300);
  std::unique_ptr<event_loop> loop_ = event_loop::Make();
  int stops_ = 0;
  std::vector<int> repeated_;
};

BOOST_FIXTURE_TEST_SUITE(runner, runner_fixture)

// Guards against a second SIGTERM that cuts what the first one lets end.
BOOST_AUTO_TEST_CASE(ARepeatedTerminationIsToldAndChangesNothing) {
  BOOST_TEST((RunWith({SIGTERM, SIGTERM, SIGTERM}) >= kStopTime));
  BOOST_TEST(stops_ == 1);
  BOOST_TEST(repeated_ == std::vector<int>({SIGTERM, SIGTERM}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AnInterruptDuringAStopEndsAtOnce) {
  BOOST_TEST((RunWith({SIGTERM, SIGINT}) < kStopTime));
  BOOST_TEST(stops_ == 1);
  BOOST_TEST(repeated_ == std::vector<int>({SIGINT}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
