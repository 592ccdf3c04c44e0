#include "citron/protocol/vm_registration.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class registration_fixture {
 public:
  registration_fixture() : registration_(registration_options{}) {}

  // Callers come, so that the lease is short.
  void Serve() {
    for (int i = 0; i < 10; ++i) registration_.OnRequest(now_);
  }
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
  Serve();
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
  Serve();
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

// Guards against a price of the store that grows with VMs that nobody uses.
BOOST_AUTO_TEST_CASE(VmWithFewCallersRenewsSeldom) {
  BOOST_TEST((registration_.LeaseTtl() == milliseconds(4500)));
  Register();
  for (int s = 0; s < 4; ++s) registration_.OnRequest(now_ + s * seconds(1));
  BOOST_CHECK(!registration_.Next(now_ + milliseconds(1499)));
  BOOST_CHECK(registration_.Next(now_ + milliseconds(1500)) ==
              vm_registration::call::kRenew);
}

// Guards against a VM that dies while it serves callers and stays listed as
// long as an idle one.
BOOST_AUTO_TEST_CASE(VmThatServesCallersGetsAShortLease) {
  Register();
  now_ += milliseconds(500);
  Serve();
  BOOST_TEST((registration_.LeaseTtl() == milliseconds(2500)));
  Register();
  BOOST_CHECK(!registration_.Next(now_ + milliseconds(799)));
  BOOST_CHECK(registration_.Next(now_ + milliseconds(800)) ==
              vm_registration::call::kRenew);
}

// The callers come while the long lease is being granted.
BOOST_AUTO_TEST_CASE(LeaseThatIsTooLongWhenItComesIsReplaced) {
  BOOST_REQUIRE(registration_.Next(now_));
  Serve();
  BOOST_CHECK(!registration_.Next(now_));
  registration_.OnLeaseGranted(lease_id("7"), now_);
  Register();
}

// The store refuses the short lease: the VM asks again and stays listed by the
// long one.
BOOST_AUTO_TEST_CASE(ShortLeaseIsAskedForAgain) {
  Register();
  Serve();
  BOOST_CHECK(registration_.Next(now_) == vm_registration::call::kGrant);
  registration_.OnFailed(now_);
  BOOST_TEST(registration_.Lease()->Str() == "7");
  now_ += milliseconds(300);
  Register();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
