#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "integration/declaration_fleet.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The store's watches tell nothing for a second, then its history is gone. One
// of four VMs reads the store, the others read from it.
class late_change_fixture : public declaration_fleet {
 public:
  late_change_fixture() {
    StartVms(kMostVms);
    Sleep(milliseconds(1500));
  }
  void InAGapOfTheWatches(const std::function<void()>& change) {
    SetFault({{"mute_watches", true}});
    change();
    Sleep(seconds(1));
    SetFault({{"mute_watches", false}});
  }
  // Returns whether each VM gives this status within four seconds.
  bool ComesEverywhere(const std::string& key, int status) {
    const monotonic_time until = MonotonicNow() + seconds(4);
    for (int vm = 1; vm <= kMostVms;) {
      if (StatusAt(vm, key) == status) {
        ++vm;
      } else if (MonotonicNow() >= until) {
        BOOST_TEST_MESSAGE("not at VM " << vm);
        return false;
      } else {
        Sleep(milliseconds(50));
      }
    }
    return true;
  }
};

BOOST_FIXTURE_TEST_SUITE(late_change, late_change_fixture)

// Guards against a declaration that never reaches the VMs that read through
// another VM, since that one learned of it late.
BOOST_AUTO_TEST_CASE(DeclarationLearnedLateIsInForceAtEachVm) {
  for (int round = 0; round < 3; ++round) {
    InAGapOfTheWatches([this] { Declare(); });
    BOOST_TEST(ComesEverywhere(Key(), 200));
  }
}

// Guards against a withdrawn key that works for ever at such VMs.
BOOST_AUTO_TEST_CASE(KeyWithdrawnInAGapIsRefusedByEachVm) {
  const std::string old_key = Key();
  InAGapOfTheWatches([this] { Declare(); });
  BOOST_TEST(ComesEverywhere(old_key, 401));
}

// Guards against a leaving upstream that such VMs go on using.
BOOST_AUTO_TEST_CASE(UpstreamThatLeavesInAGapGetsNoRequests) {
  int at_first = 0;
  const scripted_upstream& leaving =
      AddUpstream("u2", [&](const std::string& request) {
        ++at_first;
        return Answer(request, "u2");
      });
  Sleep(seconds(1));
  InAGapOfTheWatches([&] { Announce("u2", leaving.Address(), "draining"); });
  Sleep(seconds(2));
  at_first = 0;
  for (int i = 0; i < 60; ++i) {
    for (int vm = 1; vm <= kMostVms; ++vm) {
      const std::string path = fmt::format("/look/{}", i);
      StatusOf(Callers(vm), Request(Key(), "GET", path));
    }
  }
  BOOST_TEST(at_first == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
