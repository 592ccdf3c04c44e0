#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "citron/base/digest.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr char kKey[] = "key-of-depot";
constexpr int kChanges = 36;
const std::vector<std::string> kVms = {"z1vm1", "z1vm2", "z2vm1", "z2vm2"};
const std::vector<std::string> kUpstreams = {"z1u1", "z2u1"};

// Each change gives the key to another workspace, so that the upstreams'
// ledgers show which change a request was served under.
std::string Workspace(int number) { return fmt::format("w{:03}", number); }

fleet_plan Plan() {
  fleet_plan plan = SmallPlan(2, 2, 1);
  const nlohmann::json terms = plan.contracts["depot"];
  // Two writers compete for each change.
  for (int i = 0; i <= 2 * kChanges; ++i) plan.contracts[Workspace(i)] = terms;
  return plan;
}

class configuration_fixture : public harness {
 public:
  configuration_fixture() : fleet_(*this, Plan()) {
    fleet_.Start();
    revision_ = Caller()
                    .GetJson(fleet_.Platform(), "/v1/kv?key=" + KeyObject())
                    .at("revision")
                    .get<std::uint64_t>();
  }

  fleet& Fleet() { return fleet_; }
  const std::string& InForce() const { return accepted_.back(); }

  static std::string KeyObject() { return "config/key/" + Sha256Hex(kKey); }

  // Two operators write on the same revision; the store takes one of them.
  void Race(int change) {
    std::vector<std::shared_ptr<caller_call>> writes;
    const std::vector<std::string> wanted = {Workspace(2 * change),
                                             Workspace(2 * change + 1)};
    for (const std::string& workspace : wanted) {
      const std::string target =
          fmt::format("/v1/kv?key={}&expect={}", KeyObject(), revision_);
      const nlohmann::json value = {{"workspace", workspace}};
      writes.push_back(
          Caller().Start(fleet_.Platform(), {"PUT", target, {}, value.dump()}));
    }
    int won = 0;
    for (std::size_t i = 0; i < writes.size(); ++i) {
      BOOST_REQUIRE(Caller().WaitFor([&] { return writes[i]->IsDone(); }));
      if (writes[i]->response.head.status != 200) continue;
      ++won;
      revision_ = nlohmann::json::parse(writes[i]->response.body)
                      .at("revision")
                      .get<std::uint64_t>();
      accepted_.push_back(wanted[i]);
      accepted_at_ = writes[i]->ended;
    }
    BOOST_REQUIRE(won == 1);
  }

  // Until each VM has served a request under the last accepted change.
  void WaitUntilInForceAt(const std::vector<std::string>& vms) {
    std::set<std::string> missing(vms.begin(), vms.end());
    const bool arrived = Caller().WaitFor([&] {
      for (const std::string& vm : missing) Ask(vm);
      ReadLedgers();
      std::erase_if(missing, [&](const std::string& vm) {
        const auto seen = last_seen_.find(vm);
        return seen != last_seen_.end() && seen->second == InForce();
      });
      return missing.empty();
    });
    BOOST_REQUIRE_MESSAGE(
        arrived, InForce() << " is not in force at " << *missing.begin());
    waits_ms_.push_back(ToMilliseconds(MonotonicNow() - accepted_at_));
  }

  void Ask(const std::string& vm) {
    const http_request request = {
        "GET",
        "/desk/lots?work_ms=1&at=" + vm,
        {{"Authorization", std::string("Bearer ") + kKey}},
        ""};
    Caller().Call(fleet_.Entry(vm), request);
  }

  // Takes what the upstreams served since the last time. A VM asks one request
  // at a time here, so its requests must show changes in the order in which
  // they were accepted.
  void ReadLedgers() {
    std::vector<nlohmann::json> fresh;
    for (const std::string& name : kUpstreams) {
      std::uint64_t& after = read_until_[name];
      const nlohmann::json ledger = Caller().GetJson(
          fleet_.Upstream(name), fmt::format("/admin/ledger?after={}", after));
      for (const auto& entry : ledger.at("entries")) {
        after = entry.at("n").get<std::uint64_t>();
        fresh.push_back(entry);
      }
    }
    std::sort(fresh.begin(), fresh.end(), [](const auto& a, const auto& b) {
      return a.at("started_ms") < b.at("started_ms");
    });
    for (const nlohmann::json& entry : fresh) TakeServed(entry);
  }

  void StopVm(const std::string& vm) {
    for (const char* role : {"entry", "dispatch", "control"}) {
      child_process& daemon = Fleet().Daemon(vm, role);
      daemon.Signal(SIGTERM);
      BOOST_REQUIRE(
          Caller().WaitFor([&] { return daemon.Exit().has_value(); }));
    }
  }

  void PrintWaits() {
    std::sort(waits_ms_.begin(), waits_ms_.end());
    const auto at = [&](std::size_t percent) {
      return waits_ms_[(waits_ms_.size() - 1) * percent / 100];
    };
    fmt::print(
        "{} changes in force at all VMs asked: p50 {:.0f} ms, "
        "p99 {:.0f} ms, most {:.0f} ms\n",
        waits_ms_.size(), at(50), at(99), waits_ms_.back());
  }

 private:
  void TakeServed(const nlohmann::json& entry) {
    const auto target = entry.at("target").get<std::string>();
    const std::size_t at = target.find("&at=");
    if (at == std::string::npos) return;
    const std::string vm = target.substr(at + std::string("&at=").size());
    const auto workspace = entry.at("workspace").get<std::string>();
    const auto rank = [&](const std::string& w) {
      return std::find(accepted_.begin(), accepted_.end(), w) -
             accepted_.begin();
    };
    BOOST_TEST(rank(workspace) < std::ssize(accepted_),
               vm << " served under " << workspace << ", which lost its race");
    if (last_seen_.contains(vm)) {
      BOOST_TEST(
          rank(workspace) >= rank(last_seen_[vm]),
          vm << " went back from " << last_seen_[vm] << " to " << workspace);
    }
    last_seen_[vm] = workspace;
  }

  fleet fleet_;
  std::uint64_t revision_ = 0;
  std::vector<std::string> accepted_ = {"depot"};
  monotonic_time accepted_at_{};
  std::map<std::string, std::string> last_seen_;  // By VM.
  std::map<std::string, std::uint64_t> read_until_;
  std::vector<double> waits_ms_;
};

BOOST_FIXTURE_TEST_SUITE(configuration, configuration_fixture)

// Operators change a key's workspace again and again, two at a time, while one
// VM can't reach the platform and later one can reach nothing. If an older
// change came back, a withdrawn key would work again.
BOOST_AUTO_TEST_CASE(AcceptedChangesArriveInOrder) {
  const std::vector<std::string> others = {"z1vm2", "z2vm1", "z2vm2"};
  const auto cut_all = [&](bool cut) {
    Fleet().Cut("z1vm1", "platform", cut);
    for (const std::string& other : others) Fleet().Cut("z1vm1", other, cut);
  };
  int change = 0;
  const auto run = [&](int until, const std::vector<std::string>& vms) {
    for (; change < until; ++change) {
      Race(change);
      WaitUntilInForceAt(vms);
    }
  };
  run(12, kVms);
  // It is reached by way of its neighbours.
  Fleet().Cut("z1vm1", "platform", true);
  run(20, kVms);
  // It holds the old state, and must not give it to others when it is back.
  cut_all(true);
  run(26, others);
  cut_all(false);
  run(kChanges, kVms);
  PrintWaits();
}

// Every VM is replaced in turn, so that in the end no process is left that
// heard of the change from an operator. A VM that starts while the platform is
// down has nobody but its peers to ask.
BOOST_AUTO_TEST_CASE(ChangesOutliveEveryProcess) {
  Race(0);
  WaitUntilInForceAt(kVms);
  for (const std::string& vm : kVms) {
    StopVm(vm);
    Fleet().StartVm(vm);
    WaitUntilInForceAt(kVms);
  }
  Race(1);
  WaitUntilInForceAt(kVms);
  Fleet().SetPlatformFault({{"outage", true}});
  Fleet().KillVm("z2vm2");
  Fleet().StartVm("z2vm2");
  // A VM without configuration knows no key.
  const http_request request = {
      "GET",
      "/desk/lots?work_ms=1&at=z2vm2",
      {{"Authorization", std::string("Bearer ") + kKey}},
      ""};
  BOOST_TEST(Caller().WaitFor([&] {
    const int status =
        Caller().Call(Fleet().Entry("z2vm2"), request).response.head.status;
    return status == 200 || status == 429;
  }));
  ReadLedgers();
  Fleet().SetPlatformFault({{"outage", false}});
  WaitUntilInForceAt(kVms);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
