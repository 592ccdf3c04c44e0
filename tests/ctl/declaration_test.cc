#include "citron/ctl/declaration.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron {
namespace {

std::string ProblemOf(const std::string& text) {
  const auto read = ParseDeclarations(text, "f.json");
  return IsOk(read) ? "" : ErrorOf(read).message;
}

BOOST_AUTO_TEST_CASE(ReadsOneObjectOrAList) {
  const std::string one = R"({"kind":"contract","name":"lampa",)"
                          R"("spec":{"rate_per_s":5,"burst":9}})";
  const auto list = ParseDeclarations(
      "[" + one + R"(,{"kind":"topology","spec":{}}])", "f.json");
  BOOST_REQUIRE(IsOk(list));
  BOOST_TEST(ValueOf(list).at(0).Key() == "config/contract/lampa");
  BOOST_TEST(ValueOf(list).at(1).Key() == "config/topology");
  BOOST_TEST(ProblemOf(one) == "");
}

// A file is misspelt. Written as it is, the contract would silently take
// defaults, or stand under a key that nobody reads.
BOOST_AUTO_TEST_CASE(NamesWhatIsWrong) {
  const auto problem_has = [](const std::string& text, const char* part) {
    return ProblemOf(text).find(part) != std::string::npos;
  };
  BOOST_TEST(problem_has("[", "f.json: not valid JSON"));
  BOOST_TEST(problem_has("[3]", "expected an object"));
  BOOST_TEST(
      problem_has(R"({"kind":"kontract","name":"a","spec":{}})", "kind"));
  BOOST_TEST(
      problem_has(R"({"kind":"contract","name":"a/b","spec":{}})", "a/b"));
  BOOST_TEST(problem_has(R"({"kind":"contract","name":"a"})", "spec"));
  BOOST_TEST(problem_has(R"({"kind":"contract","name":"a","spec":)"
                         R"({"rate_per_s":1,"burst":1,"brust":1}})",
                         "brust"));
  BOOST_TEST(problem_has(
      R"({"kind":"contract","name":"a","specs":{},"spec":{}})", "specs"));
}

BOOST_AUTO_TEST_CASE(FindsProblemsBetweenObjects) {
  const auto problems = FindConfigProblems({
      {"config/topology",
       R"({"zones":{"z1":{"region":"r1"}},"services":{"desk":{}}})"},
      {"config/upstream/u1", R"({"service":"desk","zone":"z2",)"
                             R"("address":"127.0.0.1:80","slots":1})"},
      {"config/upstream/u2", R"({"service":"dusk","zone":"z1",)"
                             R"("address":"127.0.0.1:80","slots":1})"},
      {"config/shift/desk", R"({"from":"r1","to":"r2","cap_per_s":1})"},
  });
  BOOST_TEST(problems.size() == 4u);
}

}  // namespace
}  // namespace citron
