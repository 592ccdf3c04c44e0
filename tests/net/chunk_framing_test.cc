#include "citron/net/chunk_framing.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace citron {
namespace {

// In one piece, and a byte at a time: the two must agree.
bool Fits(std::string_view body) {
  chunk_framing whole;
  const bool fits = whole.Read(body);
  chunk_framing in_bytes;
  bool fits_in_bytes = true;
  for (std::size_t i = 0; i < body.size(); ++i) {
    fits_in_bytes = in_bytes.Read(body.substr(i, 1));
  }
  BOOST_TEST(fits == fits_in_bytes, body);
  return fits;
}

BOOST_AUTO_TEST_SUITE(chunks)

BOOST_AUTO_TEST_CASE(TakesWhatTheGrammarHas) {
  for (const char* body :
       {"0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n",
        "1\r\n\r\r\n1\r\n\n\r\n00\r\n\r\n",
        "3;a;b=c;d=\"e f\\\"\"\r\nabc\r\n0;g\r\n\r\n",
        "3 ;\ta = b ; c\r\nabc\r\n0\r\n\r\n", "a\r\n0123456789\r\n",
        "0\r\nX-T: b\r\nX-U:\r\nX-V:\tc\xff d \r\n\r\n"}) {
    BOOST_TEST(Fits(body), body);
  }
}

BOOST_AUTO_TEST_CASE(LooksAtNothingBehindTheEnd) {
  BOOST_TEST(Fits("0\r\n\r\nHTTP/1.1 200 OK\x01"));
}

// Guards against framing that two readers could understand differently.
BOOST_AUTO_TEST_CASE(RefusesOtherFraming) {
  for (const char* body : {"\r\n",
                           "g\r\n",
                           " 3\r\n",
                           "3 \r\n",
                           "3\n",
                           "3\rx",
                           "3x\r\n",
                           "+3\r\n",
                           "0x3\r\n",
                           "3;\r\n",
                           "3;=\r\n",
                           "3;a=\r\n",
                           "3;a \r\n",
                           "3;a b\r\n",
                           "3;a=b c\r\n",
                           "3;a\x01\r\n",
                           "3;a=\"b\r\n",
                           "3;a=\"b\"c\r\n",
                           "3;a=\"\\\x01\"\r\n",
                           "3\r\nabcd",
                           "3\r\nabc\n",
                           "3\r\nabc\rx",
                           "10000000000000000\r\n",
                           "0\r\n\n",
                           "0\r\n\rx",
                           "0\r\nX-T\r\n",
                           "0\r\nX T: b\r\n",
                           "0\r\n X-T: b\r\n",
                           "0\r\n: b\r\n",
                           "0\r\nX-T\x7f: b\r\n",
                           "0\r\nX-T: \x01\r\n",
                           "0\r\nX-T: b\n"}) {
    BOOST_TEST(!Fits(body), body);
  }
}

BOOST_AUTO_TEST_CASE(StaysMalformed) {
  chunk_framing body;
  BOOST_TEST(!body.Read("x"));
  BOOST_TEST(!body.Read("3\r\nabc\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
