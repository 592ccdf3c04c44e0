#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr std::size_t kMostCrashes = 2;
// How long each message from one zone to the other is on its way.
constexpr int kDelayMs = 50;
constexpr int kRounds = 3;
const std::vector<std::string> kFirstZone = {"z1vm1", "z1vm2"};
const std::vector<std::string> kSecondZone = {"z2vm1", "z2vm2"};
const std::vector<std::string> kUpstreams = {"z1u1", "z1u2", "z2u1", "z2u2"};
const std::vector<std::string> kInTurn = {"z1vm1", "z2vm1", "z1vm2", "z2vm2"};

// Two zones whose VMs hear of each other late; no traffic but the poison.
class late_report_fixture : public harness {
 public:
  late_report_fixture() : fleet_(*this, SmallPlan(2, 2, 2)) {
    fleet_.Start();
    for (const std::string& a : kFirstZone) {
      for (const std::string& b : kSecondZone) {
        fleet_.SetRouteFault(a, b, {{"delay_ms", kDelayMs}});
        fleet_.SetRouteFault(b, a, {{"delay_ms", kDelayMs}});
      }
    }
  }

  void Send(const std::string& vm, const std::string& method) {
    Caller().Call(fleet_.Entry(vm), {method,
                                     "/desk/lots?crash=1&work_ms=10",
                                     {{"Authorization", "Bearer key-of-depot"}},
                                     ""});
  }

  // Waits until the upstreams that crashed are back.
  void WaitForUpstreams() {
    const auto is_up = [&](const std::string& upstream) {
      return !Caller().GetJson(fleet_.Upstream(upstream), "/health").is_null();
    };
    BOOST_REQUIRE(Caller().WaitFor([&] {
      return std::all_of(kUpstreams.begin(), kUpstreams.end(), is_up);
    }));
  }

  std::size_t Crashes() {
    std::set<std::pair<std::string, double>> crashes;
    for (const auto& entry : fleet_.Ledger()) {
      if (entry.at("ran") != true) continue;
      crashes.emplace(entry.at("upstream"), entry.at("started_ms"));
    }
    return crashes.size();
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(poison_late_report, late_report_fixture)

// Guards against a third crash: the caller's next copy of a request that
// crashes upstreams is faster than the report of the crash before.
BOOST_AUTO_TEST_CASE(CopiesFasterThanTheReportsCrashTwoAtMost) {
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& vm : kInTurn) Send(vm, "POST");
    WaitForUpstreams();
  }
  BOOST_TEST(Crashes() > 0U);
  BOOST_TEST(Crashes() <= kMostCrashes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
