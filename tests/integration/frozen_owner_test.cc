#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr int kUpstreams = 3;
constexpr int kSlots = 4;
constexpr int kRequests = 60;

// One zone with two VMs and three upstreams of four slots.
class frozen_owner_fixture : public harness {
 public:
  frozen_owner_fixture() : fleet_(*this, SmallPlan(1, 2, kUpstreams)) {
    fleet_.Start();
  }

  fleet& Fleet() { return fleet_; }

  int OwnedUpstreams(const std::string& vm) {
    const nlohmann::json status = Fleet().Status(vm);
    for (const auto& member : status.at("members")) {
      if (member.at("vm") != vm || !member.contains("services")) continue;
      return member["services"]["desk"]["usable_upstreams"].get<int>();
    }
    return 0;
  }

  std::shared_ptr<caller_call> Begin(const std::string& vm) {
    return Caller().Start(fleet_.Entry(vm),
                          {"GET",
                           "/desk/lots?work_ms=50",
                           {{"Authorization", "Bearer key-of-depot"}},
                           ""});
  }

  int MostInFlight() {
    int most = 0;
    for (int i = 1; i <= kUpstreams; ++i) {
      const endpoint upstream = Fleet().Upstream("z1u" + std::to_string(i));
      const nlohmann::json ledger =
          Caller().GetJson(upstream, "/admin/ledger?after=0");
      most = std::max(most, ledger.at("max_in_flight").get<int>());
    }
    return most;
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(frozen_owner, frozen_owner_fixture)

// A dispatch is frozen until its lease has lapsed and its neighbour owns its
// upstreams. It wakes with requests at hand, and must not send one: two owners
// would fill an upstream beyond its slots, and it would shed bookings.
BOOST_AUTO_TEST_CASE(WakingDispatchSendsNothingBesideTheNewOwner) {
  for (const char* vm : {"z1vm1", "z1vm2"}) {
    BOOST_REQUIRE(Caller().WaitFor([&] { return OwnedUpstreams(vm) > 0; }));
  }
  child_process& frozen = Fleet().Daemon("z1vm1", "dispatch");
  frozen.Signal(SIGSTOP);
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return OwnedUpstreams("z1vm2") == kUpstreams; }));
  std::vector<std::shared_ptr<caller_call>> calls;
  for (int i = 0; i < kRequests; ++i) {
    calls.push_back(Begin(i % 2 == 0 ? "z1vm1" : "z1vm2"));
  }
  frozen.Signal(SIGCONT);
  for (const auto& call : calls) {
    BOOST_REQUIRE(Caller().WaitFor([&] { return call->IsDone(); }));
  }
  BOOST_TEST(Fleet().Ledger().size() >= 1u);
  BOOST_TEST(MostInFlight() <= kSlots);
  for (const auto& entry : Fleet().Ledger()) {
    BOOST_TEST(entry["outcome"] != "shed");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
