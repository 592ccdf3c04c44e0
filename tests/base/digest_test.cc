#include "citron/base/digest.h"

#include <boost/test/unit_test.hpp>

#include "citron/base/verdict.h"

BOOST_AUTO_TEST_CASE(Sha256OfKnownInput) {
  BOOST_TEST(
      citron::Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Test cases 2 and 6 of RFC 4231: a short key, and one longer than a block.
BOOST_AUTO_TEST_CASE(HmacIsThatOfTheStandard) {
  BOOST_TEST(
      citron::HmacSha256Hex("Jefe", "what do ya want for nothing?") ==
      "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  BOOST_TEST(
      citron::HmacSha256Hex(
          std::string(131, '\xaa'),
          "Test Using Larger Than Block-Size Key - Hash Key First") ==
      "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54");
}

// Wherever the bytes are parted, at the ends of a block too, it is the same.
BOOST_AUTO_TEST_CASE(HmacOfTwoPartsIsThatOfTheWhole) {
  std::string whole;
  for (int i = 0; i < 200; ++i)
    whole.push_back(static_cast<char>('a' + i % 23));
  const std::string mac = citron::HmacSha256Hex("key", whole);
  const std::string_view text = whole;
  for (std::size_t i = 0; i <= text.size(); ++i) {
    BOOST_TEST(
        citron::HmacSha256Hex("key", text.substr(0, i), text.substr(i)) == mac);
  }
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
