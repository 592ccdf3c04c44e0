#include "citron/node/relayed_signals.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const upstream_id kUpstream("u1");
const vm_id kRelay("vm2");
const monotonic_time kNow{std::chrono::hours(1)};

// Guards against a VM that never learns what an upstream asked of it, since one
// datagram was lost.
BOOST_AUTO_TEST_CASE(EachSignalIsToldThreeTimes) {
  relayed_signals signals;
  signals.Add({kUpstream, 1, kRelay, kNow + seconds(3), false}, kNow);
  int told = 0;
  for (int ms = 0; ms < 3000; ms += 50) {
    const auto due = signals.TakeDue(kNow + milliseconds(ms));
    told += static_cast<int>(due.size());
    if (ms == 0) BOOST_TEST(due.size() == 1u);
  }
  BOOST_TEST(told == 3);
}

// Guards against a datagram to all VMs for each of many rejections.
BOOST_AUTO_TEST_CASE(RejectionsInARowAreOneSignal) {
  relayed_signals signals;
  for (int i = 0; i < 20; ++i) {
    signals.Add({kUpstream, 1, kRelay, kNow + milliseconds(3000 + i), false},
                kNow);
  }
  BOOST_TEST(signals.TakeDue(kNow).size() == 1u);
  BOOST_TEST(signals.TakeDue(kNow).empty());
}

BOOST_AUTO_TEST_CASE(AShorterPauseDoesNotReplaceALongerOne) {
  relayed_signals signals;
  signals.Add({kUpstream, 1, kRelay, kNow + seconds(3), false}, kNow);
  signals.Add({kUpstream, 1, kRelay, kNow + seconds(1), true}, kNow);
  const auto due = signals.TakeDue(kNow);
  BOOST_REQUIRE(due.size() == 1u);
  BOOST_TEST((due[0].paused_until == kNow + seconds(3)));
  BOOST_TEST(due[0].is_leaving);
}

BOOST_AUTO_TEST_CASE(ANewStartSaysItsOwn) {
  relayed_signals signals;
  signals.Add({kUpstream, 1, kRelay, kNow + seconds(30), true}, kNow);
  signals.Add({kUpstream, 2, kRelay, kNow + seconds(1), false}, kNow);
  const auto due = signals.TakeDue(kNow);
  BOOST_REQUIRE(due.size() == 1u);
  BOOST_TEST((due[0].paused_until == kNow + seconds(1)));
  BOOST_TEST(!due[0].is_leaving);
}

}  // namespace
}  // namespace citron
