#include "citron/node/file_watch.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "net/loop_fixture.h"

namespace citron {
namespace {

constexpr duration kInterval = std::chrono::milliseconds(10);

class watched_file : public loop_fixture {
 public:
  watched_file()
      : file_(std::filesystem::temp_directory_path() /
              ("file_watch_test." + std::to_string(getpid()))) {
    Write("first");
  }
  ~watched_file() { std::filesystem::remove(file_); }

  void Write(const std::string& text) {
    std::ofstream(file_, std::ios::trunc) << text;
  }

  std::filesystem::path file_;
  int changes_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(watch, watched_file)

// Settings are replaced without a signal. Whoever waits for one would keep the
// old bounds until the next restart.
BOOST_AUTO_TEST_CASE(AChangeIsToldOnce) {
  file_watch watch(Loop(), file_.string(), kInterval, [this] { ++changes_; });
  Write("second one");
  BOOST_TEST(RunUntil([this] { return changes_ > 0; }));
  const monotonic_time later = MonotonicNow() + 10 * kInterval;
  RunUntil([later] { return MonotonicNow() > later; });
  BOOST_TEST(changes_ == 1);
}

BOOST_AUTO_TEST_CASE(AFileThatIsGoneForAMomentIsNoChange) {
  file_watch watch(Loop(), file_.string(), kInterval, [this] { ++changes_; });
  std::filesystem::remove(file_);
  const monotonic_time later = MonotonicNow() + 10 * kInterval;
  RunUntil([later] { return MonotonicNow() > later; });
  BOOST_TEST(changes_ == 0);
  Write("replaced by another");
  BOOST_TEST(RunUntil([this] { return changes_ == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
