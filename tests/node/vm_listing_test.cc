#include "citron/node/vm_listing.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

BOOST_AUTO_TEST_CASE(AListingIsReadAsItWasWritten) {
  const vm_listing listing{vm_id("vm1"),     zone_id("z1"),    region_id("r1"),
                           {"10.0.0.1", 80}, {"10.0.0.1", 81}, 200,
                           "s3cret"};
  const result<vm_listing> read =
      DecodeVmListing(vm_id("vm1"), EncodeVmListing(listing));
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(ValueOf(read).vm.Str() == "vm1");
  BOOST_TEST(ValueOf(read).zone.Str() == "z1");
  BOOST_TEST(ValueOf(read).callers.Str() == "10.0.0.1:80");
  BOOST_TEST(ValueOf(read).peer.Str() == "10.0.0.1:81");
  BOOST_TEST(ValueOf(read).link_mbps == 200);
  BOOST_TEST(ValueOf(read).secret == "s3cret");
  BOOST_CHECK(ValueOf(read) == listing);
}

// Guards against VMs of two versions that don't read each other's listings.
BOOST_AUTO_TEST_CASE(TheAddressOfTunnelsMayBeMissing) {
  vm_listing listing{vm_id("vm1"),     zone_id("z1"),    region_id("r1"),
                     {"10.0.0.1", 80}, {"10.0.0.1", 81}, 200,
                     "s3cret"};
  const auto read_back = [&listing] {
    const result<vm_listing> read =
        DecodeVmListing(vm_id("vm1"), EncodeVmListing(listing));
    BOOST_REQUIRE(IsOk(read));
    return ValueOf(read).tunnels;
  };
  BOOST_TEST(!read_back().has_value());
  listing.tunnels = endpoint{"10.0.0.1", 82};
  BOOST_CHECK(read_back() == listing.tunnels);
}

// Another writer used the key. Nothing of it may be taken for a VM.
BOOST_AUTO_TEST_CASE(AnythingElseIsAnError) {
  for (const char* text :
       {"", "[]", "{}", R"({"zone":1,"region":"r","callers":"x","peer":"y"})",
        R"({"zone":"z","region":"r","callers":"x","peer":"10.0.0.1:1"})"}) {
    BOOST_TEST(!IsOk(DecodeVmListing(vm_id("vm1"), text)));
  }
}

}  // namespace
}  // namespace citron
