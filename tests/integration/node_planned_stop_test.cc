#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "integration/node_fleet.h"

namespace citron {
namespace {

using std::chrono::milliseconds;

constexpr int kGraceS = 6;
constexpr int kUpstreams = 8;
// A request's wait in an upstream's queue and its work there.
constexpr duration kWork = milliseconds(2700);
constexpr duration kInterval = milliseconds(100);
// What the platform excuses: requests sent this soon after the signal whose
// upstream is still at work in the last sixth of the grace period.
constexpr duration kSentInTime = std::chrono::seconds(3);
constexpr double kLastPart = 5.0 / 6;
// A connection that ends without an answer ends this soon after its request.
constexpr duration kUnreadLimit = milliseconds(200);

struct tally {
  int whole = 0;
  int not_run = 0;  // Refused with the promise that it has not run.
  int unread = 0;   // No door, or closed unread.
  int excused = 0;
  int lost = 0;
  int broken_promises = 0;
};

enum class request_kind { kOnce, kRepeatable };

// One VM that is stopped under a steady load of requests.
class planned_stop_fixture : public node_fleet {
 public:
  planned_stop_fixture() {
    grace_s_ = kGraceS;
    PutDeclaration(1, {"key"});
    for (int i = 1; i <= kUpstreams; ++i) {
      AddUpstream(fmt::format("u{}", i), [this](const std::string& request) {
        ran_at_[HeaderIn(request, "X-Request-Id")] = MonotonicNow();
        scripted_answer answer = Answer(request, "whole");
        answer.after = kWork;
        return answer;
      });
    }
    StartVms(1);
  }

  // Sends requests until some time after the signal's grace period.
  void RunStop(const std::vector<int>& signals, duration gap,
               request_kind kind = request_kind::kOnce) {
    const bool may_repeat = kind == request_kind::kRepeatable;
    const std::string method = may_repeat ? "GET" : "POST";
    const std::string path = may_repeat ? "/look/" : "/book/";
    const monotonic_time start = MonotonicNow();
    stopped_at_ = start + std::chrono::seconds(1);
    const monotonic_time killed_at =
        stopped_at_ + std::chrono::seconds(kGraceS);
    monotonic_time due = start;
    std::size_t sent_signals = 0;
    while (MonotonicNow() < killed_at) {
      const monotonic_time now = MonotonicNow();
      if (sent_signals < signals.size() &&
          now >= stopped_at_ + sent_signals * gap) {
        Process("node1").Signal(signals[sent_signals++]);
      }
      if (now >= due) {
        due += kInterval;
        calls_.push_back(Caller().Start(
            Callers(1), Request("key", method, path + std::to_string(id_))));
        ids_.push_back(std::to_string(id_));
      }
      Caller().WaitFor([&] { return MonotonicNow() >= due; });
    }
    Process("node1").Kill();
    BOOST_REQUIRE(Caller().WaitFor([&] {
      return std::all_of(calls_.begin(), calls_.end(),
                         [](const auto& call) { return call->IsDone(); });
    }));
  }

  tally Judge() const {
    tally seen;
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      const caller_call& call = *calls_[i];
      const auto ran = ran_at_.find(ids_[i]);
      const bool has_run = ran != ran_at_.end();
      if (call.answered) {
        const int status = call.response.head.status;
        status == 200 ? ++seen.whole : ++seen.not_run;
        if (status == 503 && has_run) ++seen.broken_promises;
        BOOST_TEST((status == 200 || status == 503));
        continue;
      }
      const bool late = call.ended - call.started > kUnreadLimit;
      if (!has_run && !(call.failure.bytes_sent && late)) {
        ++seen.unread;
        continue;
      }
      const bool at_work_at_the_end =
          has_run &&
          ran->second + kWork >= stopped_at_ + FromSeconds(kLastPart * kGraceS);
      const bool is_excused =
          at_work_at_the_end && call.started - stopped_at_ <= kSentInTime;
      is_excused ? ++seen.excused : ++seen.lost;
      if (is_excused) continue;
      fmt::print(
          "lost: {} sent {:.0f} ms after the signal, ended after {:.0f}\n",
          ids_[i], ToMilliseconds(call.started - stopped_at_),
          ToMilliseconds(call.ended - call.started));
    }
    fmt::print("{} whole, {} not run, {} unread, {} excused, {} lost\n",
               seen.whole, seen.not_run, seen.unread, seen.excused, seen.lost);
    return seen;
  }

 private:
  std::map<std::string, monotonic_time> ran_at_;
  std::vector<std::shared_ptr<caller_call>> calls_;
  std::vector<std::string> ids_;
  monotonic_time stopped_at_{};
};

BOOST_FIXTURE_TEST_SUITE(planned_stop, planned_stop_fixture)

// Guards against a VM that takes requests for which its end leaves no time.
BOOST_AUTO_TEST_CASE(ARequestTakenLateInAStopIsNotCut) {
  RunStop({SIGTERM}, {});
  const tally seen = Judge();
  BOOST_TEST(seen.whole > 0);
  BOOST_TEST(seen.not_run > 0);
  BOOST_TEST(seen.lost == 0);
  BOOST_TEST(seen.broken_promises == 0);
}

// The same for requests that may be repeated.
BOOST_AUTO_TEST_CASE(ALateRequestThatMayBeRepeatedIsNotCut) {
  RunStop({SIGTERM}, {}, request_kind::kRepeatable);
  const tally seen = Judge();
  BOOST_TEST(seen.whole > 0);
  BOOST_TEST(seen.not_run > 0);
  BOOST_TEST(seen.lost == 0);
  BOOST_TEST(seen.broken_promises == 0);
}

// Guards against a second SIGTERM that cuts what the first one lets end.
BOOST_AUTO_TEST_CASE(ARepeatedStopSignalCutsNothing) {
  RunStop({SIGTERM, SIGTERM, SIGTERM}, milliseconds(800));
  const tally seen = Judge();
  BOOST_TEST(seen.whole > 0);
  BOOST_TEST(seen.not_run > 0);
  BOOST_TEST(seen.lost == 0);
  BOOST_TEST(seen.broken_promises == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
