#include "citron/protocol/vm_registration.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;

class registration_fixture {
 public:
  registration_fixture() : registration_(registration_options{}) {}

  void Register() {
    BOOST_CHECK(registration_.Next(now_) == vm_registration::call::kGrant);
    registration_.OnLeaseGranted(lease_id("7"), now_);
    BOOST_CHECK(registration_.Next(now_) == vm_registration::call::kWrite);
    registration_.OnRecordWritten(now_);
  }

  monotonic_time now_{std::chrono::hours(1)};
  vm_registration registration_;
};

BOOST_FIXTURE_TEST_SUITE(registration, registration_fixture)

BOOST_AUTO_TEST_CASE(IsListedAndThenRenewed) {
  Register();
  BOOST_CHECK(!registration_.Next(now_));
  now_ += milliseconds(800);
  BOOST_CHECK(registration_.Next(now_) == vm_registration::call::kRenew);
  registration_.OnLeaseRenewed(now_);
  BOOST_CHECK(!registration_.Next(now_ + milliseconds(799)));
}

// The lease expires while the VM is frozen or the store is unreachable.
// Renewing the expired lease for ever would leave the VM unlisted and without
// callers.
BOOST_AUTO_TEST_CASE(ExpiredLeaseIsGrantedAgainWithItsRecord) {
  Register();
  now_ += milliseconds(800);
  BOOST_REQUIRE(registration_.Next(now_));
  registration_.OnLeaseExpired(now_);
  Register();
}

// The answer to the write is lost, so its outcome is unknown. The record must
// be written again, which is harmless if the first write took effect.
BOOST_AUTO_TEST_CASE(WriteWithoutAnswerIsRepeated) {
  BOOST_REQUIRE(registration_.Next(now_));
  registration_.OnLeaseGranted(lease_id("7"), now_);
  BOOST_REQUIRE(registration_.Next(now_));
  registration_.OnFailed(now_);
  BOOST_CHECK(!registration_.Next(now_));
  now_ += milliseconds(300);
  BOOST_CHECK(registration_.Next(now_) == vm_registration::call::kWrite);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
