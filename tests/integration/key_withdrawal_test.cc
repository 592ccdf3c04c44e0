#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "citron/base/digest.h"
#include "integration/caller_ledger.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr char kKey[] = "key-of-depot";
constexpr duration kWithdrawalLimit = std::chrono::seconds(5);
constexpr duration kStaleKeyLimit = std::chrono::seconds(6);
// From the last check in a dispatch to the upstream, on a busy machine.
constexpr duration kTransit = std::chrono::milliseconds(500);
// Work of more than twice the limit for the zone's eight slots.
constexpr std::size_t kQueued = 200;

// Zone z1 has two VMs and two upstreams, z2 one of each.
fleet_plan Plan() {
  fleet_plan plan = SmallPlan(1, 2, 2);
  plan.vms.push_back({"z2vm1", "z2", "r1"});
  plan.upstreams.push_back({"z2u1", "desk", "z2"});
  plan.contracts["depot"]["rate_per_s"] = 10000;
  plan.contracts["depot"]["burst"] = 10000;
  plan.contracts["depot"]["default_deadline_ms"] = 40000;
  plan.contracts["depot"]["stale_key_limit_ms"] =
      ToMilliseconds(kStaleKeyLimit);
  return plan;
}

class key_withdrawal_fixture : public harness {
 public:
  key_withdrawal_fixture() : fleet_(*this, Plan()), ledger_(Caller()) {
    fleet_.Start();
  }

  fleet& Fleet() { return fleet_; }
  caller_ledger& Ledger() { return ledger_; }

  int StatusAt(const std::string& vm) {
    return ledger_.Call(fleet_.Entry(vm), "GET", "/lots?work_ms=1").Status();
  }

  // The key is withdrawn at the time that is returned, or before.
  monotonic_time WithdrawKey() {
    const std::string target =
        std::string("/v1/kv?key=config/key/") + Sha256Hex(kKey);
    const caller_call removed =
        Caller().Call(fleet_.Platform(), {"DELETE", target, {}, ""});
    BOOST_REQUIRE(removed.response.head.status == 200);
    return MonotonicNow();
  }

  void CutOffZ2(bool cut) {
    for (const char* other : {"z1vm1", "z1vm2", "platform"}) {
      fleet_.Cut("z2vm1", other, cut);
    }
  }

  std::size_t StartedAfter(const std::vector<std::string>& upstreams,
                           monotonic_time limit) {
    const double limit_ms = ToMilliseconds(limit.time_since_epoch());
    std::size_t count = 0;
    for (const auto& entry : fleet_.Ledger()) {
      if (entry.at("started_ms") <= limit_ms) continue;
      const std::string at = entry.at("upstream");
      count += std::count(upstreams.begin(), upstreams.end(), at) == 0 ? 0 : 1;
    }
    return count;
  }

  void CheckLedgers() {
    const auto ran = fleet_.Ledger();
    const std::string digest = Sha256Hex(kKey);
    for (const auto& entry : ran) {
      const std::string text = entry.dump();
      BOOST_TEST(text.find(kKey) == std::string::npos);
      BOOST_TEST(text.find(digest) == std::string::npos);
      BOOST_TEST(entry.at("workspace") == "depot");
    }
    for (const std::string& record : ledger_.FalselyNotRun(ran)) {
      BOOST_ERROR("answered as not run, but ran: " + record);
    }
  }

 private:
  fleet fleet_;
  caller_ledger ledger_;
};

BOOST_FIXTURE_TEST_SUITE(key_withdrawal, key_withdrawal_fixture)

// A key leaked, and an operator withdraws it. Its holder has connections open,
// goes on sending, and has a queue that would keep the upstreams at work for
// long. Were only new requests checked, all that waits would run.
BOOST_AUTO_TEST_CASE(QueueOfAWithdrawnKeyIsRefused) {
  for (std::size_t i = 0; i < kQueued; ++i) {
    Ledger().Begin(Fleet().Entry(i % 2 == 0 ? "z1vm1" : "z1vm2"), "POST",
                   "/lots?work_ms=500");
  }
  BOOST_REQUIRE(
      Caller().WaitFor([&] { return Fleet().Ledger().size() >= 8u; }));
  const monotonic_time withdrawn = WithdrawKey();
  for (const char* vm : {"z1vm1", "z1vm2", "z2vm1"}) {
    BOOST_TEST(Caller().WaitFor([&] { return StatusAt(vm) == 401; }));
  }
  BOOST_TEST((MonotonicNow() <= withdrawn + kWithdrawalLimit));
  BOOST_REQUIRE(Ledger().WaitForAll());
  BOOST_TEST(Ledger().Answered(401) > kQueued / 2);
  for (const char* vm : {"z1vm1", "z1vm2", "z2vm1"}) {
    BOOST_TEST(StatusAt(vm) == 401);
  }
  BOOST_TEST(StartedAfter({"z1u1", "z1u2", "z2u1"},
                          withdrawn + kWithdrawalLimit) == 0u);
  CheckLedgers();
}

// A cut-off VM can't hear of a withdrawal. It serves on as long as the contract
// lets it, so that a cut alone stops nobody, and not for longer.
BOOST_AUTO_TEST_CASE(CutOffVmObeysTheContract) {
  // A VM that has just started has no share of the workspace's rate yet, and
  // serves by what others lend it until they are cut off.
  BOOST_REQUIRE(Caller().WaitFor([&] { return Fleet().HasOwnShare("z2vm1"); }));
  BOOST_REQUIRE(Caller().WaitFor([&] { return StatusAt("z2vm1") == 200; }));
  CutOffZ2(true);
  const monotonic_time cut = MonotonicNow();
  WithdrawKey();
  BOOST_TEST(StatusAt("z2vm1") == 200);
  BOOST_REQUIRE(Caller().WaitFor([&] { return StatusAt("z2vm1") == 503; }));
  BOOST_TEST(Ledger().Records().back().call->response.body.find(
                 "configuration_stale") != std::string::npos);
  BOOST_REQUIRE(Caller().WaitFor([&] {
    StatusAt("z2vm1");
    return MonotonicNow() > cut + kStaleKeyLimit + 2 * kTransit;
  }));
  BOOST_TEST(StartedAfter({"z2u1"}, cut + kStaleKeyLimit + kTransit) == 0u);
  CutOffZ2(false);
  BOOST_TEST(Caller().WaitFor([&] { return StatusAt("z2vm1") == 401; }));
  CheckLedgers();
}

// A caller writes the system's own headers, to pass for another workspace or to
// make its key appear at an upstream.
BOOST_AUTO_TEST_CASE(ForgedHeadersReachNoUpstream) {
  const std::string bearer = std::string("Bearer ") + kKey;
  const std::vector<http_header> forged = {
      {"Citron-Workspace", "another"}, {"citron-workspace", "another"},
      {"CITRON-UPSTREAM", "z2u1"},     {"authorization", bearer},
      {"Proxy-Authorization", bearer}, {"Citron-Key-Digest", "forged"},
      {"Citron-Seal", "forged"},       {"X-Theme", "dark"}};
  for (const char* vm : {"z1vm1", "z2vm1"}) {
    for (const char* method : {"GET", "POST", "PUT"}) {
      const auto& record =
          Ledger().Call(Fleet().Entry(vm), method, "/lots?work_ms=1", forged);
      BOOST_TEST(record.Status() == 200);
    }
  }
  const auto& refused =
      Ledger().Call(Fleet().Entry("z1vm1"), "POST", "/lots?work_ms=1",
                    {{"Citron-Request-Id", "z1vm1.0.1.1"}});
  BOOST_TEST(refused.Status() == 400);
  BOOST_TEST(refused.Verdict() == "not_run");
  const auto ran = Fleet().Ledger();
  BOOST_TEST(ran.size() == 6u);
  for (const auto& entry : ran) {
    const std::string headers = entry.at("headers").dump();
    BOOST_TEST(headers.find("another") == std::string::npos);
    BOOST_TEST(headers.find("forged") == std::string::npos);
    BOOST_TEST(headers.find("dark") != std::string::npos);
  }
  CheckLedgers();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
