#include "citron/control/share_feed.h"

#include "control/control_fixture.h"

namespace citron {
namespace {

using trompeloeil::_;

class share_fixture : public control_fixture {
 public:
  share_fixture()
      : feed_(Context(), 7, [this](const vm_share&) { ++grants_; }) {}

  share_feed& Feed() { return feed_; }
  int Grants() const { return grants_; }

 private:
  int grants_ = 0;
  share_feed feed_;
};

BOOST_FIXTURE_TEST_SUITE(share_feeds, share_fixture)

// The first VM of a fleet finds no table. It writes one, and only if there is
// none still: two VMs that start together must not both take the whole.
BOOST_AUTO_TEST_CASE(FirstTableIsWrittenOnlyIfThereIsNone) {
  platform_store::on_lookup looked_up;
  REQUIRE_CALL(Store(), Get(_, _, _)).LR_SIDE_EFFECT(looked_up = _3);
  Feed().Start();
  store_write write;
  REQUIRE_CALL(Store(), Put(_, _, _)).LR_SIDE_EFFECT(write = _1);
  looked_up(store_lookup{std::nullopt, 4});
  BOOST_TEST((write.expected == store_revision{0}));
  BOOST_TEST(write.lease.IsEmpty());
  BOOST_TEST(!write.write_id.empty());
  BOOST_TEST(IsOk(ParseShareTable(write.value)));
}

// A table that nobody's rules could have written must not grant anything, nor
// be written over.
BOOST_AUTO_TEST_CASE(BrokenTableGrantsNothing) {
  platform_store::on_lookup looked_up;
  REQUIRE_CALL(Store(), Get(_, _, _)).LR_SIDE_EFFECT(looked_up = _3);
  Feed().Start();
  looked_up(store_lookup{store_item{"k", "no table", 5, ""}, 5});
  BOOST_TEST(Grants() == 0);
  BOOST_TEST(Feed().Share().leased_ppm == 0);
}

BOOST_AUTO_TEST_CASE(FailedReadGrantsNothing) {
  platform_store::on_lookup looked_up;
  REQUIRE_CALL(Store(), Get(_, _, _)).LR_SIDE_EFFECT(looked_up = _3);
  Feed().Start();
  looked_up(MakeError(error_code::kUnavailable, "connect failed"));
  BOOST_TEST(Grants() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
