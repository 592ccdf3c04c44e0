#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "integration/closed_load.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr int kCallers = 12;
constexpr std::size_t kMostCrashes = 2;
// How often the poison is sent: six times at each VM.
constexpr int kAttempts = 24;
// Others' requests that are served before the first and after each round.
constexpr int kOthers = 60;
const std::vector<std::string> kVms = {"z1vm1", "z2vm1", "z1vm2", "z2vm2"};

// Two zones with two VMs and two upstreams each, all under the load of callers
// of another workspace and of the poison's own.
class poison_fixture : public harness {
 public:
  poison_fixture()
      : fleet_(*this, Plan()),
        load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int, const planned_call&, const caller_call& call) {
              OnEnd(call);
            }) {
    fleet_.Start();
  }

  void RunOthers() {
    const int until = served_ + kOthers;
    BOOST_REQUIRE(load_.RunUntil([&] { return served_ >= until; }));
  }

  // Sends the poison to its end; the refusal's name.
  std::string SendPoison(const std::string& vm, const std::string& method) {
    const auto call = Caller().Start(
        fleet_.Entry(vm), {method,
                           "/desk/lots?crash=1&work_ms=10",
                           {{"Authorization", "Bearer key-of-depot"}},
                           ""});
    BOOST_REQUIRE(load_.RunUntil([&] { return call->IsDone(); }));
    return RefusalOf(*call);
  }

  // Times at which an upstream ended with the poison in it.
  std::size_t Crashes() {
    std::set<std::pair<std::string, double>> crashes;
    for (const auto& entry : fleet_.Ledger()) {
      const std::string target = entry.at("target");
      if (target.find("crash=1") == std::string::npos) continue;
      if (entry.at("ran") != true) continue;
      crashes.emplace(entry.at("upstream"), entry.at("started_ms"));
    }
    return crashes.size();
  }

  // The same caller sends on as soon as it has an answer, each time to the next
  // VM, which stands in the other zone.
  void SendAgainAndAgain(const std::string& method) {
    RunOthers();
    int refused = 0;
    for (int i = 0; i < kAttempts; ++i) {
      const std::string& vm = kVms[static_cast<std::size_t>(i) % kVms.size()];
      const std::string refusal = SendPoison(vm, method);
      if (refusal == "poison") ++refused;
      // After each round upstreams that crashed are back.
      if (static_cast<std::size_t>(i) % kVms.size() == kVms.size() - 1) {
        RunOthers();
      }
    }
    BOOST_REQUIRE(load_.Stop());
    fmt::print("{}: {} sent, {} refused as poison, {} crashes; {} others\n",
               method, kAttempts, refused, Crashes(), load_.Ended());
    for (const auto& [reason, count] : lost_) {
      fmt::print("others not served, {}: {}\n", reason, count);
    }
    BOOST_TEST(Crashes() > 0U);
    BOOST_TEST(Crashes() <= kMostCrashes);
    BOOST_TEST(refused > 0);
    BOOST_TEST(lost_.count("poison") == 0U);
  }

 private:
  static fleet_plan Plan() {
    fleet_plan plan = SmallPlan(2, 2, 2);
    plan.contracts["other"] = plan.contracts["depot"];
    plan.keys["key-of-other"] = "other";
    return plan;
  }

  static std::string RefusalOf(const caller_call& call) {
    if (call.response.head.status == 200) return "";
    const nlohmann::json body =
        nlohmann::json::parse(call.response.body, nullptr, false);
    if (!body.is_object() || !body.contains("error")) return "none";
    return body.at("error").value("code", "none");
  }

  // At each VM one caller of the poison's workspace and one of the other
  // always send the same request, so that copies of it are in flight at every
  // crash and outlast the poison; the third caller's differ.
  planned_call Next(int caller) {
    planned_call next;
    next.vm = kVms[static_cast<std::size_t>(caller) % kVms.size()];
    next.server = fleet_.Entry(next.vm);
    const int third = caller / static_cast<int>(kVms.size());
    const char* key = third == 1 ? "other" : "depot";
    const int number = third == 2 ? ++sent_ : 0;
    next.request = {"GET",
                    fmt::format("/desk/lots?work_ms=80&n={}", number),
                    {{"Authorization", fmt::format("Bearer key-of-{}", key)}},
                    ""};
    return next;
  }

  void OnEnd(const caller_call& call) {
    const std::string refusal = RefusalOf(call);
    if (refusal.empty()) {
      ++served_;
    } else {
      ++lost_[refusal];
    }
  }

  fleet fleet_;
  int sent_ = 0;
  int served_ = 0;
  std::map<std::string, int> lost_;
  closed_load load_;
};

BOOST_FIXTURE_TEST_SUITE(poison, poison_fixture)

// A request crashes each upstream that runs it, and its caller sends it again
// at once, at other VMs and in the other zone. Without a limit it takes the
// upstreams of both zones one after another, and every caller's requests there
// with them. Those that were merely in flight at a crash must not be taken for
// the cause: their callers would be refused for a minute.
BOOST_AUTO_TEST_CASE(RepeatableRequestCrashesTwoAtMost) {
  SendAgainAndAgain("GET");
}

// The same with a request that may not be sent twice by the system itself, so
// that each crash reaches the caller, and the second one may happen in another
// zone than the first.
BOOST_AUTO_TEST_CASE(BookingCrashesTwoAtMost) { SendAgainAndAgain("POST"); }

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
