#include "citron/base/digest.h"

#include <boost/test/unit_test.hpp>

#include "citron/base/verdict.h"

BOOST_AUTO_TEST_CASE(Sha256OfKnownInput) {
  BOOST_TEST(
      citron::Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(HmacDependsOnSecretAndBytes) {
  const std::string mac = citron::HmacSha256Hex("key", "message");
  BOOST_TEST(mac.size() == 64u);
  BOOST_TEST(mac != citron::HmacSha256Hex("other", "message"));
  BOOST_TEST(mac != citron::HmacSha256Hex("key", "massage"));
}

BOOST_AUTO_TEST_CASE(ConstantTimeCompareIsExact) {
  BOOST_TEST(citron::EqualInConstantTime("abc", "abc"));
  BOOST_TEST(!citron::EqualInConstantTime("abc", "abd"));
  BOOST_TEST(!citron::EqualInConstantTime("abc", "abcd"));
}

BOOST_AUTO_TEST_CASE(RandomNamesDiffer) {
  BOOST_TEST(citron::RandomHex(8).size() == 16u);
  BOOST_TEST(citron::RandomHex(8) != citron::RandomHex(8));
}

BOOST_AUTO_TEST_CASE(VerdictNamesRoundTrip) {
  using citron::verdict;
  for (verdict v : {verdict::kNotRun, verdict::kMayHaveRun, verdict::kRan}) {
    BOOST_TEST((citron::ParseVerdict(citron::VerdictName(v)) == v));
  }
  BOOST_TEST(!citron::ParseVerdict("maybe").has_value());
}
