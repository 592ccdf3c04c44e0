#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string_view>
#include <vector>

#include "citron/node/crash_watch.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using standing = crash_watch::standing;

constexpr std::uint64_t kKiller = 7;
constexpr std::size_t kVms = 8;
constexpr int kCopies = 24;
constexpr int kMostCrashes = 3;
constexpr duration kTimeToCrash = milliseconds(12);
// From an answer to the arrival of the caller's next copy at the next VM.
constexpr duration kTurnaround = milliseconds(3);

// VMs that tell each other of crashes with a delay, and a caller that sends a
// request that crashes upstreams to each VM in turn.
class late_reports {
 public:
  explicit late_reports(duration delay) : delay_(delay) {
    for (std::size_t i = 0; i < kVms; ++i) {
      watches_.push_back(std::make_unique<crash_watch>(log_));
    }
  }

  int CountCrashes() {
    for (int copy = 0; copy < kCopies; ++copy) {
      Deliver();
      Send(static_cast<std::size_t>(copy) % kVms, copy);
      now_ += kTurnaround;
    }
    return crashes_;
  }

 private:
  struct report_under_way {
    monotonic_time arrives_at;
    std::size_t from = 0;
    crash_report report;
  };

  void Send(std::size_t vm, int copy) {
    crash_watch& watch = *watches_[vm];
    const standing before = watch.Of(kKiller, now_);
    if (before == standing::kPoison) return;
    const monotonic_time sent_at = now_;
    now_ += kTimeToCrash;
    ++crashes_;
    watch.OnLost(kKiller, upstream_id(fmt::format("u{}", copy)),
                 before == standing::kSuspect, sent_at, now_);
    under_way_.push_back(
        {now_ + delay_,
         vm,
         {vm_id(fmt::format("vm{}", vm)), watch.TakeNews(now_)}});
  }

  void Deliver() {
    for (const report_under_way& sent : under_way_) {
      if (sent.arrives_at > now_) continue;
      for (std::size_t i = 0; i < kVms; ++i) {
        if (i != sent.from) watches_[i]->OnTold(sent.report, now_);
      }
    }
    std::erase_if(under_way_, [&](const report_under_way& sent) {
      return sent.arrives_at <= now_;
    });
  }

  duration delay_;
  event_log log_{[](std::string_view) { return true; }};
  std::vector<std::unique_ptr<crash_watch>> watches_;
  std::vector<report_under_way> under_way_;
  monotonic_time now_{seconds(100)};
  int crashes_ = 0;
};

}  // namespace

// Guards against a crash at each VM that the caller reaches before the reports
// of the crashes do.
BOOST_AUTO_TEST_CASE(CopiesFasterThanTheReportsCrashThreeAtMost) {
  for (const int delay_ms : {0, 10, 50, 120}) {
    const int crashes = late_reports(milliseconds(delay_ms)).CountCrashes();
    fmt::print("reports {} ms late: {} crashes\n", delay_ms, crashes);
    BOOST_TEST(crashes <= kMostCrashes);
  }
}

}  // namespace citron
