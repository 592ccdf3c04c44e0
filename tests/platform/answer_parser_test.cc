#include "citron/platform/answer_parser.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>
#include <string>

namespace citron {
namespace {

template <class T>
bool IsInvalid(const result<T>& r) {
  return !IsOk(r) && ErrorOf(r).code == error_code::kInvalid;
}

BOOST_AUTO_TEST_CASE(ReadsEachAnswer) {
  const auto range = ParseRange(
      R"({"revision":9,"items":[{"key":"k","value":"v","revision":7,)"
      R"("write_id":"w","new":1}]})");
  BOOST_REQUIRE(IsOk(range));
  BOOST_TEST(ValueOf(range).revision == 9u);
  BOOST_TEST(ValueOf(range).items.at(0).write_id == "w");
  const auto events = ParseEvents(
      R"({"revision":9,"events":[{"key":"k","revision":8,"removed":true}]})");
  BOOST_REQUIRE(IsOk(events));
  BOOST_TEST(ValueOf(events).events.at(0).removed);
  const auto vms = ParseVms(R"({"vms":[{"vm":"a","zone":"z","region":"r",)"
                            R"("control":"127.0.0.1:80","state":"leaving"}]})");
  BOOST_REQUIRE(IsOk(vms));
  BOOST_TEST((ValueOf(vms).at(0).state == vm_state::kLeaving));
}

// The platform, or something that took its port, answers with other bytes
// than agreed. A daemon that took them for a configuration would serve by it.
BOOST_AUTO_TEST_CASE(RefusesOtherForms) {
  BOOST_TEST(IsInvalid(ParseRevision("")));
  BOOST_TEST(IsInvalid(ParseRevision("[]")));
  BOOST_TEST(IsInvalid(ParseRevision(R"({"revision":-1})")));
  BOOST_TEST(IsInvalid(ParseRevision(R"({"revision":"7"})")));
  BOOST_TEST(IsInvalid(ParseStoreItem(R"({"key":"k","value":1})")));
  BOOST_TEST(IsInvalid(ParseRange(R"({"revision":1,"items":{}})")));
  BOOST_TEST(IsInvalid(ParseRange(R"({"revision":1,"items":[3]})")));
  BOOST_TEST(IsInvalid(ParseLease(R"({"lease":""})")));
  BOOST_TEST(IsInvalid(ParseVms(R"({"vms":[{"vm":"a","zone":"z","region":"r",)"
                                R"("control":"host:80","state":"live"}]})")));
  BOOST_TEST(IsInvalid(ParseEvents(std::string(100000, '['))));
}

// A byte of an answer is damaged. Whatever it is, the parser ends by value.
BOOST_AUTO_TEST_CASE(DamagedBytesEndByValue) {
  const std::string whole =
      R"({"revision":9,"items":[{"key":"k","value":"v","revision":7}]})";
  pcg32 random(5);
  for (int i = 0; i < 20000; ++i) {
    std::string damaged = whole;
    damaged[random(whole.size())] = static_cast<char>(random(256));
    damaged.resize(random(whole.size()) + 1);
    static_cast<void>(ParseRange(damaged));
  }
}

}  // namespace
}  // namespace citron
