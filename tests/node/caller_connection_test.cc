#include "citron/node/caller_connection.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "node/node_fixture.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kAnswerBytes = 900'000;
constexpr duration kWork = milliseconds(300);
constexpr duration kReadingTime = seconds(4);
// Longer than any limit of the connection that is no matter of the caller's.
constexpr duration kPause = milliseconds(2500);

class slow_caller_fixture : public node_fixture {
 public:
  slow_caller_fixture() {
    settings_.bounds.grace_period = seconds(6);
    AddUpstream("u1", [](const std::string& request) {
      scripted_answer answer{
          GoodAnswer(request, std::string(kAnswerBytes, 'a'))};
      answer.after = kWork;
      return answer;
    });
  }

  bool ReadUntil(raw_caller& caller, std::size_t bytes) {
    return RunUntil(
        [&] { return caller.Received().size() >= bytes || caller.IsClosed(); });
  }
  // Reads at an even pace, as long as there is something to read.
  void ReadSlowly(raw_caller& caller) {
    constexpr int kSteps = 100;
    for (int i = 0; i < kSteps && !caller.IsClosed(); ++i) {
      ReadUntil(caller, kAnswerBytes * i / kSteps);
      Pass(kReadingTime / kSteps);
    }
    Wait(caller);
  }
  // Ends the VM once its upstream has the request.
  void EndNodeAtWork() {
    BOOST_REQUIRE(
        RunUntil([this] { return !upstreams_[0]->Requests().empty(); }));
    EndNode();
  }
};

BOOST_FIXTURE_TEST_SUITE(slow_caller, slow_caller_fixture)

// Guards against a stop that cuts an answer which its caller still reads.
BOOST_AUTO_TEST_CASE(AStopLeavesAnswersToSlowCallers) {
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1"));
  BOOST_REQUIRE(
      RunUntil([this] { return !upstreams_[0]->Requests().empty(); }));
  bool stopped = false;
  node_->Stop([&] { stopped = true; });
  ReadSlowly(caller);
  BOOST_TEST(IsWhole(caller.Received()));
  BOOST_TEST(RunUntil([&] { return stopped; }));
}

// Guards against an end of the process that takes whole answers with it.
BOOST_AUTO_TEST_CASE(AnAnswerOutlivesTheProcess) {
  settings_.bounds.grace_period = seconds(1);
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1"));
  EndNodeAtWork();
  BOOST_TEST(!IsWhole(caller.Received()));
  ReadSlowly(caller);
  BOOST_TEST(IsWhole(caller.Received()));
}

// Guards against an end of the process that takes a caller's pause for its end.
BOOST_AUTO_TEST_CASE(AnAnswerOutlivesTheProcessThoughItsCallerPauses) {
  settings_.bounds.grace_period = seconds(1);
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1"));
  EndNodeAtWork();
  Pass(kPause);
  BOOST_TEST(IsWhole(Wait(caller)));
}

// Guards against a request that nobody reads any more and that turns the end of
// its connection into a reset, which takes the answer before it.
BOOST_AUTO_TEST_CASE(AnAnswerOutlivesTheProcessWithARequestBehindIt) {
  settings_.bounds.grace_period = seconds(1);
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1"));
  caller.Send(Request("POST", "/book/2", "", std::string(200'000, 'b')));
  EndNodeAtWork();
  ReadSlowly(caller);
  BOOST_TEST(IsWhole(caller.Received()));
}

// Guards against an answer that is cut behind its upstream's last byte, as it
// was too long to be held and went on at the pace of its caller.
BOOST_AUTO_TEST_CASE(ALongAnswerOutlivesTheProcess) {
  constexpr std::size_t kLongAnswerBytes = 1'500'000;
  AddRoute("photos", "/photos/", repetition::kDownload);
  AddUpstream("u1", [](const std::string& request) {
    return scripted_answer{
        GoodAnswer(request, std::string(kLongAnswerBytes, 'a'))};
  });
  upstreams_.erase(upstreams_.begin());
  settings_.bounds.grace_period = seconds(2);
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/photos/1"));
  EndNodeAtWork();
  ReadSlowly(caller);
  BOOST_TEST(IsWhole(caller.Received()));
}

// Guards against a stop that lets many answers grow beyond the memory limit.
BOOST_AUTO_TEST_CASE(AStopObeysTheMemoryLimit) {
  constexpr std::size_t kMegabyte = std::size_t{1} << 20;
  constexpr std::size_t kHeldLimit = 4 * kMegabyte;
  constexpr std::size_t kCallers = 16;
  settings_.memory_limit_bytes = 4 * kHeldLimit;
  settings_.bounds.grace_period = seconds(4);
  const std::string piece(kMegabyte / 16, 'a');
  upstreams_.clear();
  AddUpstream("u1", [&](const std::string& request) {
    scripted_answer answer{
        fmt::format("HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Signature: s\r\n"
                    "Content-Length: 999000000\r\n\r\n",
                    HeaderIn(request, "X-Id"))};
    answer.endless = piece;
    return answer;
  });
  codec_.upstreams["u1"].slots = 2 * kCallers;
  Start();
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<raw_caller>(
        settings_.callers, raw_caller::buffers::kSmall));
    callers.back()->Send(Request("GET", "/look/1"));
  }
  BOOST_REQUIRE(RunUntil([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return !caller->Received().empty();
    });
  }));
  const std::size_t before = Gauge("held_peak_bytes");
  bool stopped = false;
  node_->Stop([&] { stopped = true; });
  BOOST_REQUIRE(RunUntil([&] { return Gauge("held_peak_bytes") > before; }));
  Pass(seconds(1));
  // One answer may be let grow where there is nearly no room left.
  BOOST_TEST(Gauge("held_peak_bytes") < kHeldLimit + kMegabyte);
  BOOST_TEST(RunUntil([&] { return stopped; }));
}

// Guards against a close that doesn't wait for a slow caller.
BOOST_AUTO_TEST_CASE(ACallerThatAsksToCloseGetsItsWholeAnswer) {
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1", "Connection: close\r\n"));
  ReadSlowly(caller);
  BOOST_TEST(IsWhole(caller.Received()));
}

// Guards against an idle limit that runs while the answer is still on its way.
BOOST_AUTO_TEST_CASE(AnAnswerOnItsWayIsNoIdleTime) {
  routing_.limits.idle_limit = seconds(2);
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1"));
  ReadSlowly(caller);
  BOOST_REQUIRE(IsWhole(caller.Received()));
  const std::size_t first = caller.Received().size();
  Pass(milliseconds(500));
  caller.Send(Request("GET", "/look/2"));
  ReadUntil(caller, first + 1);
  BOOST_TEST(StatusOf(caller.Received().substr(first)) == "200");
}

// Guards against idle connections that are held for longer than their limit.
BOOST_AUTO_TEST_CASE(AnIdleConnectionIsClosedAtItsLimit) {
  constexpr duration kIdle = seconds(2);
  routing_.limits.idle_limit = kIdle;
  Start();
  raw_caller caller(settings_.callers);
  caller.Send(Request("GET", "/none/1"));
  const monotonic_time start = MonotonicNow();
  BOOST_REQUIRE(RunUntil([&] { return caller.IsClosed(); }));
  BOOST_TEST(IsWhole(caller.Received()));
  BOOST_TEST((MonotonicNow() - start >= kIdle));
  BOOST_TEST((MonotonicNow() - start < kIdle + seconds(1)));
}

// Guards against a limit of the kernel that takes a pausing caller for a dead
// one.
BOOST_AUTO_TEST_CASE(ACallerThatPausesKeepsItsAnswer) {
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1"));
  BOOST_REQUIRE(ReadUntil(caller, kAnswerBytes / 5));
  Pass(kPause);
  BOOST_TEST(IsWhole(Wait(caller)));
}

// Guards against a caller that holds an answer by taking a byte now and then.
BOOST_AUTO_TEST_CASE(ACallerThatTakesNextToNothingIsGivenUp) {
  routing_.limits.idle_limit = seconds(2);
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1", "Connection: close\r\n"));
  BOOST_REQUIRE(RunUntil([&] {
    Pass(milliseconds(200));
    caller.TakeSome(100);
    return HasLine("event=connection_cut cause=close_limit");
  }));
}

BOOST_AUTO_TEST_CASE(ACallerThatTakesNothingIsGivenUp) {
  routing_.limits.idle_limit = seconds(1);
  Start();
  raw_caller caller(settings_.callers, raw_caller::buffers::kSmall);
  caller.Send(Request("GET", "/look/1", "Connection: close\r\n"));
  BOOST_TEST(RunUntil(
      [this] { return HasLine("event=connection_cut cause=close_limit"); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
