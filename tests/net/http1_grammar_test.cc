#include "citron/net/http1_grammar.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace citron {
namespace {

BOOST_AUTO_TEST_SUITE(http1_grammar)

BOOST_AUTO_TEST_CASE(BytesOfATokenAndOfAText) {
  for (int byte = 0; byte < 256; ++byte) {
    const auto it = static_cast<unsigned char>(byte);
    const bool is_visible = byte > ' ' && byte < 0x7f;
    const bool is_separator =
        byte != 0 &&
        std::string("\"(),/:;<=>?@[\\]{}").find(static_cast<char>(byte)) !=
            std::string::npos;
    BOOST_TEST(IsTokenByte(it) == (is_visible && !is_separator), byte);
    BOOST_TEST(IsTextByte(it) ==
                   (byte == '\t' || byte == ' ' || is_visible || byte > 0x7f),
               byte);
  }
}

BOOST_AUTO_TEST_CASE(TakesEachStatusOfTheFiveClasses) {
  for (int status = 0; status < 1000; ++status) {
    std::string digits = std::to_string(status);
    digits.insert(0, 3 - digits.size(), '0');
    BOOST_TEST(IsStatusLine("HTTP/1.1 " + digits + " X") ==
                   (status >= 100 && status < 600),
               digits);
  }
}

BOOST_AUTO_TEST_CASE(TakesAMissingReason) {
  BOOST_TEST(IsStatusLine("HTTP/1.1 200"));
  BOOST_TEST(IsStatusLine("HTTP/1.0 200 "));
  BOOST_TEST(IsStatusLine("HTTP/1.1 200 d\xc3\xa9j\xe0\tvu"));
}

// Guards against a line that another reader would not take for an answer's.
BOOST_AUTO_TEST_CASE(RefusesOtherLines) {
  const std::vector<std::string> lines = {"",
                                          "HTTP/1.1",
                                          "HTTP/1.1 ",
                                          "HTTP/1.1 20",
                                          "HTTP/1.1 20 X",
                                          "HTTP/1.1 2000 X",
                                          "HTTP/1.1 2 0 X",
                                          "HTTP/1.1  200 X",
                                          "HTTP/1.1\t200 X",
                                          "HTTP/1.1 200\tX",
                                          "HTTP/1.1 200X",
                                          "HTTP/1.1 200 \x01",
                                          std::string("HTTP/1.1 200 a\0", 15),
                                          "HTTP/1.1 200 \x7f",
                                          "HTTP/2.0 200 X",
                                          "HTTP/0.9 200 X",
                                          "HTTP/1.10 200 X",
                                          "http/1.1 200 X",
                                          " HTTP/1.1 200 X"};
  for (const std::string& line : lines) {
    BOOST_TEST(!IsStatusLine(line), line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
