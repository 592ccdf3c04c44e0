#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "integration/closed_load.h"
#include "integration/node_fleet.h"

namespace citron {
namespace {

using std::chrono::milliseconds;

constexpr int kVms = 3;
constexpr int kUpstreams = 6;
constexpr int kCallers = 12;
constexpr int kMostCrashes = 3;
// How often the poison is sent: eight times at each VM.
constexpr int kAttempts = 24;
// Others' requests that are served before the first and after each round.
constexpr int kOthers = 60;
constexpr duration kWork = milliseconds(80);
constexpr duration kTimeToCrash = milliseconds(10);
// Upstreams take seconds to start again.
constexpr duration kDownTime = milliseconds(2000);

// VMs that all send to the same upstreams, under the load of callers of another
// workspace and of the poison's own.
class poison_fixture : public node_fleet {
 public:
  poison_fixture()
      : load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int, const planned_call&, const caller_call& call) {
              OnEnd(call);
            }) {
    PutDeclaration(1, {"key-of-depot"}, {"key-of-other"});
    for (int i = 1; i <= kUpstreams; ++i) {
      AddUpstream(fmt::format("u{}", i),
                  [this](const std::string& request) { return Run(request); });
    }
    StartVms(kVms);
  }

  void RunOthers() {
    const int until = served_ + kOthers;
    BOOST_REQUIRE(load_.RunUntil([&] { return served_ >= until; }));
  }

  // Sends the poison to its end; the refusal's name.
  std::string SendPoison(int vm, const std::string& method) {
    const std::string path = method == "GET" ? "/look/crash" : "/book/crash";
    const auto call =
        Caller().Start(Callers(vm), Request("key-of-depot", method, path));
    BOOST_REQUIRE(load_.RunUntil([&] { return call->IsDone(); }));
    return RefusalOf(*call);
  }

  // The same caller sends on as soon as it has an answer, each time to the next
  // VM.
  void SendAgainAndAgain(const std::string& method) {
    RunOthers();
    int refused = 0;
    for (int i = 0; i < kAttempts; ++i) {
      if (SendPoison(1 + i % kVms, method) == "poison") ++refused;
      // After each round upstreams that crashed are back.
      if (i % kVms == kVms - 1) RunOthers();
    }
    BOOST_REQUIRE(load_.Stop());
    fmt::print("{}: {} sent, {} refused as poison, {} crashes; {} others\n",
               method, kAttempts, refused, crashes_, load_.Ended());
    for (const auto& [reason, count] : lost_) {
      fmt::print("others not served, {}: {}\n", reason, count);
    }
    BOOST_TEST(crashes_ > 0);
    BOOST_TEST(crashes_ <= kMostCrashes);
    BOOST_TEST(refused > 0);
    BOOST_TEST(lost_.count("poison") == 0U);
  }

 private:
  scripted_answer Run(const std::string& request) {
    scripted_answer answer = Answer(request, "whole");
    answer.after = kWork;
    if (request.find("/crash") == std::string::npos) return answer;
    ++crashes_;
    answer.after = kTimeToCrash;
    answer.down_time = kDownTime;
    return answer;
  }

  static std::string RefusalOf(const caller_call& call) {
    if (call.response.head.status == 200) return "";
    const json body = json::parse(call.response.body, nullptr, false);
    return body.is_object() ? body.value("error", "none") : "none";
  }

  // At each VM two callers of each workspace always send the same request, so
  // that copies of it are in flight at crashes; those of the others differ.
  planned_call Next(int caller) {
    const int vm = 1 + caller % kVms;
    const int kind = caller / kVms;
    const char* key = kind == 1 ? "key-of-other" : "key-of-depot";
    const int number = kind >= 2 ? ++sent_ : 0;
    return {fmt::format("vm{}", vm), Callers(vm),
            Request(key, "GET", fmt::format("/look/{}", number))};
  }

  void OnEnd(const caller_call& call) {
    const std::string refusal = RefusalOf(call);
    if (refusal.empty()) {
      ++served_;
    } else {
      ++lost_[refusal];
    }
  }

  int crashes_ = 0;
  int sent_ = 0;
  int served_ = 0;
  std::map<std::string, int> lost_;
  closed_load load_;
};

BOOST_FIXTURE_TEST_SUITE(poison, poison_fixture)

// Guards against a request that crashes one upstream after the other, as its
// caller sends it again at each VM, and against others that are refused for it.
BOOST_AUTO_TEST_CASE(RepeatableRequestCrashesThreeAtMost) {
  SendAgainAndAgain("GET");
}

// Guards against the same by a request that the system itself sends only once.
BOOST_AUTO_TEST_CASE(BookingCrashesThreeAtMost) { SendAgainAndAgain("POST"); }

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
