#include "citron/config/json_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

// Reads one member by `read` and answers the problem, "" for none.
std::string ProblemOf(const std::string& text,
                      const std::function<void(json_reader&)>& read) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (!IsOk(parsed)) return ErrorOf(parsed).message;
  json_reader reader(ValueOf(parsed), "");
  read(reader);
  const status finished = reader.Finish();
  return IsOk(finished) ? "" : ErrorOf(finished).message;
}

std::string IntProblemOf(const std::string& value, int low, int high) {
  return ProblemOf("{\"n\":" + value + "}", [&](json_reader& reader) {
    int out = 0;
    reader.Int("n", out, low, high);
  });
}

BOOST_AUTO_TEST_CASE(NoJsonIsAnError) {
  for (const char* text : {"", "{", "nul", "{\"a\":1,}", "1 2", "\xff"}) {
    BOOST_TEST(!IsOk(ParseJson(text)), text);
  }
  BOOST_TEST(IsOk(ParseJson("{\"brackets in text\": \"[[[[\\\"[[[[\"}")));
}

BOOST_AUTO_TEST_CASE(DepthIsBounded) {
  const auto nested = [](int depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  BOOST_TEST(IsOk(ParseJson(nested(32))));
  BOOST_TEST(!IsOk(ParseJson(nested(33))));
}

BOOST_AUTO_TEST_CASE(SizeIsBounded) {
  const std::string blanks(16u << 20, ' ');
  BOOST_TEST(!IsOk(ParseJson(blanks + "1")));
}

BOOST_AUTO_TEST_CASE(TopMustBeAnObject) {
  BOOST_TEST(ProblemOf("[1]", [](json_reader&) {}) ==
             "(top): expected an object, got [1]");
}

// Numbers beyond 64 bits must not come back into the range by wrapping round.
BOOST_AUTO_TEST_CASE(WholeNumbersKeepTheirRange) {
  BOOST_TEST(IntProblemOf("5", 5, 5).empty());
  BOOST_TEST(!IntProblemOf("4", 5, 5).empty());
  BOOST_TEST(!IntProblemOf("6", 5, 5).empty());
  BOOST_TEST(!IntProblemOf("5.0", 5, 5).empty());
  BOOST_TEST(!IntProblemOf("\"5\"", 5, 5).empty());
  BOOST_TEST(!IntProblemOf("4294967301", 0, 10).empty());
  BOOST_TEST(!IntProblemOf("18446744073709551615", -10, 10).empty());
  BOOST_TEST(!IntProblemOf("99999999999999999999999", -10, 10).empty());
}

BOOST_AUTO_TEST_CASE(AbsentMemberLeavesTheDefault) {
  double number = 7;
  std::string text = "default";
  BOOST_TEST(ProblemOf("{}", [&](json_reader& reader) {
               reader.Number("number", number, 0, 10);
               reader.String("text", text);
             }).empty());
  BOOST_TEST(number == 7);
  BOOST_TEST(text == "default");
}

BOOST_AUTO_TEST_CASE(FirstProblemIsKept) {
  const auto read = [](json_reader& reader) {
    double number = 0;
    reader.Number("a", number, 0, 1);
    reader.Number("b", number, 0, 1, true);
  };
  BOOST_TEST(ProblemOf("{\"a\":2}", read) == "a: 2 is outside 0 to 1");
  BOOST_TEST(ProblemOf("{\"a\":1}", read) == "b: missing");
}

BOOST_AUTO_TEST_CASE(InnerProblemHasItsPath) {
  const auto read = [](json_reader& reader) {
    reader.EachMember("zones", [](const std::string&, json_reader& zone) {
      zone.Each("links", [](json_reader& link) {
        bool up = false;
        link.Bool("up", up);
      });
    });
  };
  BOOST_TEST(ProblemOf(R"({"zones":{"z":{"links":[{},{"up":1}]}}})", read) ==
             "zones.z.links[1].up: expected true or false, got 1");
  BOOST_TEST(ProblemOf(R"({"zones":{"z":7}})", read) ==
             "zones.z: expected an object, got 7");
  BOOST_TEST(ProblemOf(R"({"zones":{"z":{"links":[{"odd":0}]}}})", read) ==
             "zones.z.links[0].odd: unknown field, with value 0");
}

BOOST_AUTO_TEST_CASE(EndpointsAreAddressAndPort) {
  const auto problem = [](const std::string& value) {
    return ProblemOf("{\"at\":" + value + "}", [](json_reader& reader) {
      endpoint at;
      reader.Endpoint("at", at, true);
    });
  };
  BOOST_TEST(problem("\"127.0.0.1:80\"").empty());
  for (const char* bad :
       {"\"127.0.0.1\"", "\"127.0.0.1:\"", "\"127.0.0.1:65536\"",
        "\"127.0.0.1:-1\"", "\"127.0.0.1:8x\"", "\"host:80\"", "\":80\"",
        "\"256.0.0.1:80\"", "80", "\"\""}) {
    BOOST_TEST(!problem(bad).empty(), bad);
  }
}

BOOST_AUTO_TEST_CASE(LongValueIsShownShortened) {
  const std::string problem =
      IntProblemOf("\"" + std::string(10000, 'x') + "\"", 0, 1);
  BOOST_TEST(problem.size() < 200u);
}

}  // namespace
}  // namespace citron
