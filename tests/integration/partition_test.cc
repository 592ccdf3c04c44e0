#include <boost/test/unit_test.hpp>
#include <string>

#include "citron/base/digest.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr char kKey[] = "key-of-depot";
constexpr int kRequests = 20;

// Two zones with one VM and two upstreams each; z1 can be cut off.
class partition_fixture : public harness {
 public:
  partition_fixture() : fleet_(*this, SmallPlan(2, 1, 2)) { fleet_.Start(); }

  fleet& Fleet() { return fleet_; }

  int Status(const std::string& vm) {
    const http_request request = {
        "GET",
        "/desk/lots?work_ms=1",
        {{"Authorization", std::string("Bearer ") + kKey}},
        ""};
    return Caller().Call(fleet_.Entry(vm), request).response.head.status;
  }

  int ServedOf(const std::string& vm, int requests) {
    int served = 0;
    for (int i = 0; i < requests; ++i) served += Status(vm) == 200 ? 1 : 0;
    return served;
  }

  void CutZone(bool cut) {
    fleet_.Cut("z1vm1", "z2vm1", cut);
    fleet_.Cut("z1vm1", "platform", cut);
  }

  void WithdrawKey() {
    const std::string target =
        std::string("/v1/kv?key=config/key/") + Sha256Hex(kKey);
    const caller_call removed =
        Caller().Call(fleet_.Platform(), {"DELETE", target, {}, ""});
    BOOST_REQUIRE(removed.response.head.status == 200);
  }

 private:
  fleet fleet_;
};

BOOST_FIXTURE_TEST_SUITE(partition, partition_fixture)

// A zone loses the platform and the other zone. Its callers are served by what
// it has, and those of the other zone notice nothing.
BOOST_AUTO_TEST_CASE(BothSidesServeOn) {
  CutZone(true);
  BOOST_TEST(ServedOf("z1vm1", kRequests) == kRequests);
  BOOST_TEST(ServedOf("z2vm1", kRequests) == kRequests);
}

// An operator withdraws a key while a zone is cut off. The connected zone
// refuses it at once, the other as soon as it hears of it; neither takes it up
// again.
BOOST_AUTO_TEST_CASE(WithdrawalArrivesWhenTheCutEnds) {
  CutZone(true);
  WithdrawKey();
  BOOST_REQUIRE(Caller().WaitFor([&] { return Status("z2vm1") == 401; }));
  CutZone(false);
  BOOST_REQUIRE(Caller().WaitFor([&] { return Status("z1vm1") == 401; }));
  BOOST_TEST(ServedOf("z1vm1", kRequests) == 0);
  BOOST_TEST(ServedOf("z2vm1", kRequests) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
