#include "citron/control/share_feed.h"

#include <boost/test/unit_test.hpp>

#include "net/loop_fixture.h"
#include "platform/mock_platform_store.h"

namespace citron {
namespace {

using trompeloeil::_;

const vm_id kOwn("own");
const vm_id kLiving("living");
const vm_id kDead("dead");

// A feed whose store holds one table, with two other VMs that change nothing
// in it.
class feed_fixture : public loop_fixture {
 public:
  feed_fixture() {
    settings_.common.vm = kOwn;
    settings_.common.zone = zone_id("zone");
    settings_.share_lease = FromMilliseconds(20);
    settings_.share_renew_interval = FromMilliseconds(5);
    share_table table;
    for (const vm_id& vm : {kDead, kLiving}) {
      share_entry& part = table.FindOrAdd(vm);
      part.zone = zone_id("zone");
      part.incarnation = part.writes = 1;
      part.floor_ppm = 300'000;
      part.leased_ppm = 100'000;
    }
    json_ = EncodeShareTable(table);
    peer_socket_options options;
    options.name = "own/control/0";
    options.secret = "a secret of the fleet";
    options.listen = {"127.0.0.1", 0};
    auto peers = peer_socket::Make(Loop(), options, [](const envelope&) {});
    BOOST_REQUIRE(IsOk(peers));
    peers_ = std::move(ValueOf(peers));
    context_ = std::make_unique<control_context>(
        control_context{Loop(), settings_, store, *peers_, stats_, 1});
    feed = std::make_unique<share_feed>(*context_, 1, [](const vm_share&) {});
    gets_ = NAMED_ALLOW_CALL(store, Get(_, _, _))
                .LR_SIDE_EFFECT(OnGet(std::move(_3)));
    puts_ = NAMED_ALLOW_CALL(store, Put(_, _, _))
                .LR_SIDE_EFFECT(OnPut(_1, std::move(_3)));
  }

  share_table Table() const { return ValueOf(ParseShareTable(json_)); }
  bool IsSuspect(const vm_id& vm) const {
    const share_table table = Table();
    const share_entry* part = table.Find(vm);
    return part != nullptr && part->is_suspect;
  }
  int LeasedPpm(const vm_id& vm) const {
    const share_table table = Table();
    const share_entry* part = table.Find(vm);
    return part == nullptr ? 0 : part->leased_ppm;
  }

  mock_platform_store store;
  std::unique_ptr<share_feed> feed;
  int reads = 0;

 private:
  void OnGet(platform_store::on_lookup done) {
    ++reads;
    Loop().Defer([this, done = std::move(done)] {
      done(store_lookup{store_item{"shares", json_, revision_, ""}, revision_});
    });
  }
  void OnPut(const store_write& write, platform_store::on_write done) {
    BOOST_TEST(*write.expected == revision_);
    json_ = write.value;
    ++revision_;
    Loop().Defer([done = std::move(done), revision = revision_] {
      done(write_done{revision});
    });
  }

  control_settings settings_;
  metrics stats_;
  std::unique_ptr<peer_socket> peers_;
  std::unique_ptr<control_context> context_;
  std::string json_;
  store_revision revision_ = 1;
  std::unique_ptr<trompeloeil::expectation> gets_;
  std::unique_ptr<trompeloeil::expectation> puts_;
};

}  // namespace

// A VM dies with a leased part of every limit. If nobody told the share holder
// who lives, the part would never come back, and the fleet would refuse
// requests inside the rate for ever.
BOOST_FIXTURE_TEST_CASE(LeasedPartOfADeadVmComesBack, feed_fixture) {
  feed->Start();
  feed->OnMembership({kOwn, kLiving});
  BOOST_REQUIRE(RunUntil([&] { return IsSuspect(kDead); }));
  BOOST_TEST(!IsSuspect(kLiving));
  BOOST_REQUIRE(RunUntil([&] { return LeasedPpm(kDead) == 0; }));
  BOOST_TEST(LeasedPpm(kLiving) == 100'000);
}

// As long as nothing is known of the others, no part may be asked back.
BOOST_FIXTURE_TEST_CASE(NobodyIsSuspectWithoutMembership, feed_fixture) {
  feed->Start();
  BOOST_REQUIRE(RunUntil([&] { return reads == 20; }));
  BOOST_TEST(!IsSuspect(kDead));
  BOOST_TEST(!IsSuspect(kLiving));
}

}  // namespace citron
