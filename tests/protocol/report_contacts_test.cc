#include "citron/protocol/report_contacts.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kStart{std::chrono::hours(1)};
const vm_id kOther("other");

// The other VM has received a report of this VM that was sent at `at`.
quota_contact Received(monotonic_time at) { return {at, at + seconds(1)}; }

BOOST_AUTO_TEST_CASE(CountsWhoIsSilentAndWhoHearsThisVm) {
  report_contacts contacts;
  contacts.SetSilenceLimit(seconds(2));
  contacts.OnReport(vm_id("a"), Received(kStart), kStart);
  contacts.OnReport(vm_id("b"), {}, kStart + seconds(1));
  BOOST_TEST(contacts.Count(kStart + seconds(1)).reported == 2);
  BOOST_TEST(contacts.Count(kStart + seconds(1)).responsive == 2);
  BOOST_TEST(contacts.Count(kStart + seconds(1)).connected == 1);
  BOOST_TEST(!contacts.IsIsolated(kStart + seconds(1)));
}

// Guards against a VM that goes silent while nothing else changes and still
// counts as heard.
BOOST_AUTO_TEST_CASE(SilenceNeedsNoOtherChange) {
  report_contacts contacts;
  contacts.SetSilenceLimit(seconds(2));
  contacts.OnReport(kOther, Received(kStart), kStart);
  BOOST_TEST(contacts.Silent(kStart + seconds(1)).empty());
  BOOST_TEST(contacts.Silent(kStart + seconds(2)).size() == 1U);
  BOOST_TEST(contacts.IsIsolated(kStart + seconds(2)));
  contacts.SetSilenceLimit(seconds(4));
  BOOST_TEST(contacts.Silent(kStart + seconds(2)).empty());
}

// Guards against an earlier VM's state that is taken for that of the one that
// has its place now.
BOOST_AUTO_TEST_CASE(AForgottenVmsPlaceIsAnotherVms) {
  report_contacts contacts(
      {.expired_admission_time = seconds(2), .gone_retention = seconds(5)});
  const contact_id first = contacts.OnReport(kOther, {}, kStart);
  contacts.OnVmUnlisted(kOther, kStart);
  contacts.RemoveGone(kStart + seconds(7) - milliseconds(1));
  BOOST_TEST(contacts.Knows(first));
  contacts.RemoveGone(kStart + seconds(7));
  BOOST_TEST(!contacts.Knows(first));
  BOOST_TEST(contacts.Count(kStart).reported == 0);
  const contact_id second = contacts.OnReport(vm_id("new"), {}, kStart);
  BOOST_TEST(second.index == first.index);
  BOOST_TEST(!contacts.Knows(first));
  BOOST_TEST(contacts.Knows(second));
}

// Guards against a VM that has lost only the store, or is listed again, and is
// taken for gone while it admits requests.
BOOST_AUTO_TEST_CASE(AVmThatIsHeardIsNotGone) {
  report_contacts contacts({.expired_admission_time = seconds(2)});
  const contact_id other = contacts.OnReport(kOther, {}, kStart);
  contacts.OnVmUnlisted(kOther, kStart);
  const auto is_gone_at = [&](duration after) {
    return report_contacts::IsGone(contacts.At(other.index), kStart + after);
  };
  BOOST_TEST(is_gone_at(seconds(2)));
  contacts.OnReport(kOther, {}, kStart + seconds(1));
  BOOST_TEST(!is_gone_at(seconds(2)));
  contacts.OnReportReceivedElsewhere(kOther, kStart + seconds(2));
  BOOST_TEST(!is_gone_at(seconds(3)));
  BOOST_TEST(is_gone_at(seconds(4)));
  contacts.OnVmListed(kOther);
  BOOST_TEST(!is_gone_at(seconds(4)));
}

}  // namespace
}  // namespace citron
