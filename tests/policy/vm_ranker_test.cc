#include "citron/policy/vm_ranker.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

constexpr int kCallers = 20000;
const monotonic_time kNow{std::chrono::seconds(50)};
const client_site kSite{region_id("sapporo"), zone_id("z1")};

entry_vm Vm(const std::string& id, const std::string& zone, double weight = 1) {
  return {vm_id(id), zone_id(zone), region_id("sapporo"),
          endpoint{"127.0.0.1", 80}, weight};
}

vm_ranker FiveVms() {
  vm_ranker ranker({});
  for (const char* id : {"a", "b", "c", "d"}) ranker.Set(Vm(id, "z1"));
  ranker.Set(Vm("e", "z2"));
  return ranker;
}

std::map<std::string, int> FirstChoices(const vm_ranker& ranker) {
  std::map<std::string, int> first;
  for (int i = 0; i < kCallers; ++i) {
    ++first[ranker.Rank(&kSite, i, kNow).vms.front().id.Str()];
  }
  return first;
}

}  // namespace

BOOST_AUTO_TEST_CASE(AnswersLocalZoneFirstAndAnotherLast) {
  const vm_answer answer = FiveVms().Rank(&kSite, 1, kNow);
  BOOST_TEST_REQUIRE(answer.vms.size() == 3u);
  BOOST_TEST(answer.vms[2].id.Str() == "e");
  BOOST_TEST((answer.expires_at > kNow));
  double sum = 0;
  for (const ranked_vm& vm : answer.vms) sum += vm.weight;
  BOOST_TEST(std::abs(sum - 1) < 1e-9);
}

BOOST_AUTO_TEST_CASE(CallersAreSpreadByWeight) {
  vm_ranker ranker = FiveVms();
  ranker.Set(Vm("a", "z1", 3));
  const auto first = FirstChoices(ranker);
  BOOST_TEST(std::abs(first.at("a") - kCallers / 2) < kCallers / 50);
  BOOST_TEST(std::abs(first.at("b") - kCallers / 6) < kCallers / 50);
}

// Guards against cascading failure: the callers of a failed VM move to the next
// VM of their cached answers. If that were the same VM for all callers, its
// load would double and it would fail too.
BOOST_AUTO_TEST_CASE(CallersOfAFailedVmSpreadOverTheOthers) {
  const vm_ranker ranker = FiveVms();
  std::map<std::string, int> second;
  int callers = 0;
  for (int i = 0; i < kCallers; ++i) {
    const vm_answer answer = ranker.Rank(&kSite, i, kNow);
    if (answer.vms[0].id.Str() != "a") continue;
    ++callers;
    ++second[answer.vms[1].id.Str()];
  }
  for (const char* id : {"b", "c", "d"}) {
    BOOST_TEST(std::abs(second[id] - callers / 3) < callers / 20);
  }
}

BOOST_AUTO_TEST_CASE(ALeavingVmIsRemovedAtOnceAndOnlyItsCallersMove) {
  vm_ranker ranker = FiveVms();
  std::vector<std::string> before;
  for (int i = 0; i < kCallers; ++i) {
    before.push_back(ranker.Rank(&kSite, i, kNow).vms[0].id.Str());
  }
  entry_vm leaving = Vm("b", "z1");
  leaving.leaving = true;
  ranker.Set(leaving);
  for (int i = 0; i < kCallers; ++i) {
    const vm_answer answer = ranker.Rank(&kSite, i, kNow);
    for (const ranked_vm& vm : answer.vms) {
      BOOST_TEST_REQUIRE(vm.id.Str() != "b");
    }
    if (before[i] != "b") {
      BOOST_TEST_REQUIRE(answer.vms[0].id.Str() == before[i]);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnswersFromAnotherRegionIfTheLocalRegionHasNone) {
  const client_site site{region_id("hakodate"), zone_id("h1")};
  BOOST_TEST(FiveVms().Rank(&site, 1, kNow).vms.size() == 3u);
  BOOST_TEST(FiveVms().Rank(nullptr, 1, kNow).vms.size() == 3u);
  BOOST_TEST(vm_ranker({}).Rank(nullptr, 1, kNow).vms.empty());
}

}  // namespace citron
