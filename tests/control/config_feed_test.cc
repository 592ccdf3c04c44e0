#include "citron/control/config_feed.h"

#include "control/control_fixture.h"

namespace citron {
namespace {

using trompeloeil::_;

constexpr char kContract[] = "config/contract/depot";
constexpr char kGood[] = R"({"rate_per_s":5,"burst":5})";
const error kAway{error_code::kUnavailable, "connect failed"};

class feed_fixture : public control_fixture {
 public:
  feed_fixture() : feed_(Context(), [this](const auto&) { ++changes_; }) {}

  config_feed& Feed() { return feed_; }
  int Changes() const { return changes_; }
  double Rate() const {
    const contract* terms = feed_.Config().FindContract(workspace_id("depot"));
    return terms == nullptr ? 0 : terms->rate_per_s;
  }

  // Answers a range and leaves the watch that follows open.
  void Snapshot(const char* json, store_revision revision) {
    const auto watch =
        NAMED_REQUIRE_CALL(Store(), Watch(kConfigPrefix, revision, _, _, _))
            .LR_SIDE_EFFECT(watched_ = _5);
    ranged_(store_range{revision, {{kContract, json, revision, ""}}});
  }

  platform_store::on_range ranged_;
  platform_store::on_events watched_;

 private:
  int changes_ = 0;
  config_feed feed_;
};

BOOST_FIXTURE_TEST_SUITE(feeds, feed_fixture)

BOOST_AUTO_TEST_CASE(SnapshotThenWatch) {
  REQUIRE_CALL(Store(), Range(kConfigPrefix, _, _))
      .LR_SIDE_EFFECT(ranged_ = _3);
  Feed().Start();
  Snapshot(kGood, 3);
  BOOST_TEST(Changes() == 1);
  BOOST_TEST(Rate() == 5);
  BOOST_TEST(Feed().Revision() == 3u);
  BOOST_TEST(Feed().StoreReachable());
}

// Something other than the operators' tools writes a bad contract. The daemon
// goes on with the last good one, or the workspace would lose its service.
BOOST_AUTO_TEST_CASE(BadObjectKeepsTheOldOne) {
  REQUIRE_CALL(Store(), Range(_, _, _)).LR_SIDE_EFFECT(ranged_ = _3);
  Feed().Start();
  Snapshot(kGood, 3);
  const auto answer = watched_;
  REQUIRE_CALL(Store(), Watch(kConfigPrefix, 4u, _, _, _));
  answer(store_events{4, {{{kContract, "{\"rate_per_s\":-1}", 4, ""}}}, false});
  BOOST_TEST(Rate() == 5);
  BOOST_TEST(Feed().Revision() == 4u);
}

// The store has forgotten events after a long cut. The feed reads all anew.
BOOST_AUTO_TEST_CASE(CompactedWatchReadsASnapshot) {
  ALLOW_CALL(Store(), Range(_, _, _)).LR_SIDE_EFFECT(ranged_ = _3);
  Feed().Start();
  Snapshot(kGood, 3);
  ranged_ = nullptr;
  const auto answer = watched_;
  answer(store_events{90, {}, true});
  BOOST_TEST(bool(ranged_));
}

// The store goes down. The feed goes on with what it has and does not ask at
// once again, or all VMs together would hold the store down.
BOOST_AUTO_TEST_CASE(FailedWatchBacksOff) {
  REQUIRE_CALL(Store(), Range(_, _, _)).LR_SIDE_EFFECT(ranged_ = _3);
  Feed().Start();
  Snapshot(kGood, 3);
  const auto answer = watched_;
  answer(kAway);
  BOOST_TEST(!Feed().StoreReachable());
  BOOST_TEST(Rate() == 5);
  // A call of the mock here would fail the test.
  Feed().OnTimer();
  Feed().OnTimer();
}

// A VM that is not its zone's relay leaves the store alone while it is fresh.
BOOST_AUTO_TEST_CASE(FreshReplicaThatIsNoRelayDoesNotWatch) {
  REQUIRE_CALL(Store(), Range(_, _, _)).LR_SIDE_EFFECT(ranged_ = _3);
  Feed().Start();
  Snapshot(kGood, 3);
  Feed().SetRelay(false);
  const auto answer = watched_;
  // A call of the mock here would fail the test.
  answer(store_events{3, {}, false});
  Feed().OnTimer();
  BOOST_TEST(Rate() == 5);
}

// Without any configuration it asks the store itself: nobody may be there to
// get it from.
BOOST_AUTO_TEST_CASE(ReplicaWithNothingAsksTheStore) {
  REQUIRE_CALL(Store(), Range(_, _, _));
  Feed().SetRelay(false);
  Feed().OnTimer();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
