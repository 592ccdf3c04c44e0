#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <fstream>
#include <string>

#include "integration/fleet.h"
#include "integration/harness.h"
#include "standins/upstream/answer_body.h"

namespace citron {
namespace {

constexpr char kKey[] = "key-of-depot";
constexpr std::uint64_t kDownloadBytes = 100'000'000;
constexpr std::int64_t kMaxGrowthKb = 16 * 1024;
// The reader stops each time that it has got so much more.
constexpr std::uint64_t kPauseEvery = 4 << 20;
// Looks at an unmoving sender before it is taken to be held back.
constexpr int kStillLooks = 5;

// The largest memory that the process ever had, in KB.
std::int64_t PeakMemoryKb(const child_process& process) {
  std::ifstream status("/proc/" + std::to_string(process.Pid()) + "/status");
  std::string word;
  while (status >> word) {
    if (word != "VmHWM:") continue;
    std::int64_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes;
  }
  return 0;
}

// A caller that checks each byte as it comes and reads no faster than it is
// told to.
class download : public http_call_handler {
 public:
  download(event_loop& loop, const endpoint& server, const std::string& target,
           std::uint64_t digest)
      : digest_(digest), connection_(loop, server) {
    connection_.Start(
        {"GET", target, {{"Authorization", std::string("Bearer ") + kKey}}, ""},
        MonotonicNow() + std::chrono::seconds(120), *this);
  }

  void OnHead(const http_response_head& head) override { status = head.status; }
  void OnBody(std::string_view bytes) override {
    is_right = is_right && IsAnswer(digest_, got, bytes);
    got += bytes.size();
    if (got < pause_at_) return;
    pause_at_ = got + kPauseEvery;
    is_paused = true;
    connection_.PauseReading();
  }
  void OnDone() override { done = true; }
  void OnFailed(const call_failure&) override { failed = true; }

  void Resume() {
    is_paused = false;
    connection_.ResumeReading();
  }
  void HangUp() { connection_.Cancel(); }

  int status = 0;
  std::uint64_t got = 0;
  bool is_right = true;
  bool is_paused = false;
  bool done = false;
  bool failed = false;

 private:
  std::uint64_t digest_;
  std::uint64_t pause_at_ = kPauseEvery;
  http_connection connection_;
};

// One VM with one upstream.
class download_fixture : public harness {
 public:
  download_fixture() : fleet_(*this, DownloadPlan()) { fleet_.Start(); }

  static fleet_plan DownloadPlan() {
    fleet_plan plan = SmallPlan(1, 1, 1);
    plan.contracts["depot"]["default_deadline_ms"] = 120000;
    return plan;
  }

  fleet& Fleet() { return fleet_; }

  std::int64_t PeakOf(const std::string& role) {
    return PeakMemoryKb(fleet_.Daemon("z1vm1", role));
  }

  // Waits until the daemons' memory has stopped to grow under a reader that
  // takes nothing.
  void WaitUntilHeldBack() {
    std::int64_t before = -1;
    int still = 0;
    BOOST_TEST(Caller().WaitFor([&] {
      const std::int64_t now = PeakOf("entry") + PeakOf("dispatch");
      still = now == before ? still + 1 : 0;
      before = now;
      return still >= kStillLooks;
    }));
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(downloads, download_fixture)

// A planner on a slow line pulls a large photo pack. The bytes wait at the
// upstream; were they held on the way, a few such callers would fill a small
// VM's memory and the daemon would be ended in the middle of everyone's work.
BOOST_AUTO_TEST_CASE(SlowReaderOfALargeAnswerCostsLittleMemory) {
  const std::string rest =
      "/pack?work_ms=1&bytes=" + std::to_string(kDownloadBytes);
  const std::int64_t entry_before = PeakOf("entry");
  const std::int64_t dispatch_before = PeakOf("dispatch");
  BOOST_REQUIRE(entry_before > 0);
  download pack(Caller().Loop(), Fleet().Entry("z1vm1"), "/desk" + rest,
                RequestDigest("GET", rest, ""));
  while (!pack.done && !pack.failed) {
    BOOST_REQUIRE(Caller().WaitFor(
        [&] { return pack.is_paused || pack.done || pack.failed; }));
    if (!pack.is_paused) continue;
    WaitUntilHeldBack();
    pack.Resume();
  }
  BOOST_TEST(pack.done);
  BOOST_TEST(pack.status == 200);
  BOOST_TEST(pack.got == kDownloadBytes);
  BOOST_TEST(pack.is_right);
  const std::int64_t entry_growth = PeakOf("entry") - entry_before;
  const std::int64_t dispatch_growth = PeakOf("dispatch") - dispatch_before;
  BOOST_TEST_MESSAGE("growth in KB: entry " << entry_growth << ", dispatch "
                                            << dispatch_growth);
  BOOST_TEST(entry_growth < kMaxGrowthKb);
  BOOST_TEST(dispatch_growth < kMaxGrowthKb);
}

// A caller hangs up while the answer is on its way. The upstream must learn of
// it, or it goes on sending to nobody over a narrow link.
BOOST_AUTO_TEST_CASE(HangUpInMidAnswerReachesTheUpstream) {
  const std::string rest =
      "/pack?work_ms=1&bytes=" + std::to_string(kDownloadBytes);
  download pack(Caller().Loop(), Fleet().Entry("z1vm1"), "/desk" + rest,
                RequestDigest("GET", rest, ""));
  BOOST_REQUIRE(Caller().WaitFor([&] { return pack.is_paused; }));
  pack.HangUp();
  BOOST_TEST(Caller().WaitFor([&] {
    const auto ledger = Fleet().Ledger();
    return ledger.size() == 1 && ledger[0].value("outcome", "") == "hung_up";
  }));
}

// A caller hangs up while the upstream works on its answer.
BOOST_AUTO_TEST_CASE(HangUpDuringTheWorkCancelsIt) {
  download pack(Caller().Loop(), Fleet().Entry("z1vm1"),
                "/desk/pack?work_ms=600000", 0);
  BOOST_REQUIRE(Caller().WaitFor([&] { return Fleet().Ledger().size() == 1; }));
  pack.HangUp();
  BOOST_TEST(Caller().WaitFor([&] {
    const auto ledger = Fleet().Ledger();
    return ledger.size() == 1 && ledger[0].value("outcome", "") == "cancelled";
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
