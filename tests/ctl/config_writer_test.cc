#include "citron/ctl/config_writer.h"

#include <boost/test/unit_test.hpp>
#include <trompeloeil.hpp>

#include "platform/mock_platform_store.h"

namespace citron {
namespace {

using trompeloeil::_;

// Time passes only in pauses; every callback comes at once.
class scripted_waiter final : public task_waiter {
 public:
  monotonic_time Now() const override { return now_; }
  void Wait() override { BOOST_FAIL("nothing left to wait for"); }
  void Wake() override {}
  void PauseUntil(monotonic_time time) override { now_ = time; }

 private:
  monotonic_time now_{};
};

constexpr char kKey[] = "config/contract/lampa";
constexpr char kOld[] = R"({"rate_per_s":1,"burst":1})";
constexpr char kNew[] = R"({"rate_per_s":2,"burst":1})";
constexpr char kTheirs[] = R"({"rate_per_s":9,"burst":1})";
const error kLost{error_code::kUnknown, "connection lost"};
const error kAway{error_code::kUnavailable, "connect failed"};

class writer_fixture {
 public:
  change_report Apply(const config_change& change) {
    config_writer writer(store, waiter, 1, {});
    return writer.Apply(change, "mine");
  }

  // What the store holds when it is first read.
  void Holds(store_lookup lookup) {
    present_ = NAMED_ALLOW_CALL(store, Get(kKey, _, _)).SIDE_EFFECT(_3(lookup));
  }
  void HoldsOld() { Holds({store_item{kKey, kOld, 5, "old"}, 5}); }

  mock_platform_store store;
  scripted_waiter waiter;

 private:
  std::unique_ptr<trompeloeil::expectation> present_;
};

BOOST_FIXTURE_TEST_SUITE(writer, writer_fixture)

BOOST_AUTO_TEST_CASE(WritesAtTheRevisionThatItSaw) {
  HoldsOld();
  REQUIRE_CALL(store, Put(_, _, _))
      .WITH(_1.expected == 5u && _1.value == kNew && _1.write_id == "mine")
      .SIDE_EFFECT(_3(write_done{6}));
  const change_report report = Apply({kKey, kNew, {}, false});
  BOOST_TEST((report.outcome == change_outcome::kWritten));
  BOOST_TEST(report.revision == 6u);
}

BOOST_AUTO_TEST_CASE(EqualValueIsNotWritten) {
  HoldsOld();
  FORBID_CALL(store, Put(_, _, _));
  const change_report report =
      Apply({kKey, R"({ "burst": 1, "rate_per_s": 1 })", {}, false});
  BOOST_TEST((report.outcome == change_outcome::kUnchanged));
}

BOOST_AUTO_TEST_CASE(BadValueIsNotSent) {
  FORBID_CALL(store, Put(_, _, _));
  const change_report report = Apply({kKey, R"({"rate_per_s":-1})", {}, false});
  BOOST_TEST((report.outcome == change_outcome::kInvalid));
}

// Two operators change one contract at the same time. The slower one must
// hear what stands there now, or each believes that the own value is in force.
BOOST_AUTO_TEST_CASE(LostRaceTellsToWhat) {
  HoldsOld();
  REQUIRE_CALL(store, Put(_, _, _))
      .SIDE_EFFECT(_3(write_conflict{7, kTheirs, "theirs"}));
  const change_report report = Apply({kKey, kNew, {}, false});
  BOOST_TEST((report.outcome == change_outcome::kLostRace));
  BOOST_TEST(report.present.value == kTheirs);
  BOOST_TEST(report.present.write_id == "theirs");
}

// The write took effect and its answer got lost. It is no lost race: the
// operator's own value is in force.
BOOST_AUTO_TEST_CASE(LostAnswerOfAnOwnWriteIsDone) {
  HoldsOld();
  REQUIRE_CALL(store, Put(_, _, _)).TIMES(1).SIDE_EFFECT(_3(kLost));
  REQUIRE_CALL(store, Range(kKey, _, _))
      .SIDE_EFFECT(_3(store_range{8, {{kKey, kNew, 8, "mine"}}}));
  const change_report report = Apply({kKey, kNew, {}, false});
  BOOST_TEST((report.outcome == change_outcome::kWritten));
  BOOST_TEST(report.revision == 8u);
}

// The answer got lost, and another operator's value stands in the store. Here
// "done" would be wrong, and so would "unknown".
BOOST_AUTO_TEST_CASE(LostAnswerWithAnothersWriteIsALostRace) {
  HoldsOld();
  REQUIRE_CALL(store, Put(_, _, _)).TIMES(1).SIDE_EFFECT(_3(kLost));
  REQUIRE_CALL(store, Range(kKey, _, _))
      .SIDE_EFFECT(_3(store_range{9, {{kKey, kTheirs, 9, "theirs"}}}));
  BOOST_TEST(
      (Apply({kKey, kNew, {}, false}).outcome == change_outcome::kLostRace));
}

// The request itself got lost, or it is still under way behind a slow store.
// The same compare-and-swap goes again: only one copy can find revision 5.
BOOST_AUTO_TEST_CASE(LostRequestIsSentAgainAtTheSameRevision) {
  HoldsOld();
  trompeloeil::sequence order;
  REQUIRE_CALL(store, Put(_, _, _))
      .WITH(_1.expected == 5u)
      .IN_SEQUENCE(order)
      .SIDE_EFFECT(_3(kLost));
  REQUIRE_CALL(store, Range(kKey, _, _))
      .IN_SEQUENCE(order)
      .SIDE_EFFECT(_3(store_range{5, {{kKey, kOld, 5, "old"}}}));
  REQUIRE_CALL(store, Put(_, _, _))
      .WITH(_1.expected == 5u)
      .IN_SEQUENCE(order)
      .SIDE_EFFECT(_3(write_conflict{6, kNew, "mine"}));
  REQUIRE_CALL(store, Range(kKey, _, _))
      .IN_SEQUENCE(order)
      .SIDE_EFFECT(_3(store_range{6, {{kKey, kNew, 6, "mine"}}}));
  BOOST_TEST(
      (Apply({kKey, kNew, {}, false}).outcome == change_outcome::kWritten));
}

// A key was granted, the answer got lost, and someone withdrew the key at
// once. Sending the grant again would bring a withdrawn key back to life.
BOOST_AUTO_TEST_CASE(NewObjectIsNeverSentTwice) {
  Holds({std::nullopt, 5});
  REQUIRE_CALL(store, Put(_, _, _))
      .WITH(_1.expected == 0u)
      .TIMES(1)
      .SIDE_EFFECT(_3(kLost));
  ALLOW_CALL(store, Range(kKey, _, _)).SIDE_EFFECT(_3(store_range{7, {}}));
  BOOST_TEST(
      (Apply({kKey, kNew, {}, true}).outcome == change_outcome::kUnknown));
}

// The platform is down. The operator may simply call again later.
BOOST_AUTO_TEST_CASE(UnreachedPlatformChangesNothing) {
  REQUIRE_CALL(store, Get(kKey, _, _)).SIDE_EFFECT(_3(kAway));
  FORBID_CALL(store, Put(_, _, _));
  BOOST_TEST(
      (Apply({kKey, kNew, {}, false}).outcome == change_outcome::kNotReached));
}

// The platform goes down between the write and its answer and stays down.
// Neither "done" nor "nothing changed" would be true.
BOOST_AUTO_TEST_CASE(PlatformThatStaysAwayLeavesItUnknown) {
  HoldsOld();
  trompeloeil::sequence order;
  REQUIRE_CALL(store, Put(_, _, _)).IN_SEQUENCE(order).SIDE_EFFECT(_3(kLost));
  REQUIRE_CALL(store, Put(_, _, _))
      .TIMES(AT_LEAST(1))
      .IN_SEQUENCE(order)
      .SIDE_EFFECT(_3(kAway));
  ALLOW_CALL(store, Range(kKey, _, _)).SIDE_EFFECT(_3(kAway));
  BOOST_TEST(
      (Apply({kKey, kNew, {}, false}).outcome == change_outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(LostAnswerOfARemovalIsReadBack) {
  HoldsOld();
  REQUIRE_CALL(store, Remove(kKey, 5u, _, _)).SIDE_EFFECT(_4(kLost));
  REQUIRE_CALL(store, Range(kKey, _, _))
      .SIDE_EFFECT(
          _3(store_range{6, {{"config/contract/lampa2", kOld, 2, ""}}}));
  const change_report report = Apply({kKey, std::nullopt, {}, false});
  BOOST_TEST((report.outcome == change_outcome::kWritten));
  BOOST_TEST(report.revision == 6u);
}

// The operator looked at revision 4 and decided by it; the contract has been
// changed since.
BOOST_AUTO_TEST_CASE(StaleExpectationLosesBeforeWriting) {
  HoldsOld();
  FORBID_CALL(store, Put(_, _, _));
  BOOST_TEST(
      (Apply({kKey, kNew, 4, false}).outcome == change_outcome::kLostRace));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
