#include "platform/kv_answers.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron::platform {
namespace {

BOOST_AUTO_TEST_CASE(ValuesTravelAsPaddedBase64) {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff\x10", 3)}) {
    const result<std::string> back = DecodeValue(EncodeValue(bytes));
    BOOST_REQUIRE(IsOk(back));
    BOOST_TEST(ValueOf(back) == bytes);
  }
  BOOST_TEST(EncodeValue("node-1") == "bm9kZS0x");
  BOOST_TEST(!IsOk(DecodeValue("abc")));
  BOOST_TEST(!IsOk(DecodeValue("ab!?")));
}

BOOST_AUTO_TEST_CASE(ReadsAPage) {
  const result<kv_page> read = ParsePage(
      R"({"items":[{"key":"a","value":"YQ==","revision":4,"created":2,"lease":0}],
          "hasMore":true,"asOf":9})");
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(ValueOf(read).range.revision == 9u);
  BOOST_TEST(ValueOf(read).range.items.at(0).value == "a");
  BOOST_TEST(ValueOf(read).has_more);
}

BOOST_AUTO_TEST_CASE(ReadsEventsWithRemovals) {
  const result<store_events> read = ParseEvents(
      R"({"events":[{"key":"a","value":"YQ==","revision":4,"created":2,"lease":0},
          {"key":"b","revision":5,"tombstone":true}],"asOf":6})");
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(ValueOf(read).revision == 6u);
  BOOST_TEST(!ValueOf(read).events.at(0).removed);
  BOOST_TEST(ValueOf(read).events.at(1).removed);
  BOOST_TEST(ValueOf(read).events.at(1).item.key == "b");
}

BOOST_AUTO_TEST_CASE(ReadsALeaseAndAConflict) {
  BOOST_TEST(ValueOf(ParseLease(R"({"lease":77120,"ttlS_time":3})")).Str() ==
             "77120");
  const result<write_conflict> lost =
      ParseConflict(R"({"items":[{"key":"a","value":"YQ==","revision":4}]})");
  BOOST_REQUIRE(IsOk(lost));
  BOOST_TEST(ValueOf(lost).revision == 4u);
  BOOST_TEST(ValueOf(ParseConflict(R"({"items":[{"key":"a","revision":0}]})"))
                 .revision == 0u);
}

BOOST_AUTO_TEST_CASE(AnythingElseIsAnError) {
  for (const char* body : {"", "null", "[]", "{}", "{\"items\":3,\"asOf\":1}",
                           R"({"items":[{"key":1}],"asOf":1})",
                           R"({"items":[{"key":"a","value":"!","revision":1}],
                               "asOf":1})"}) {
    BOOST_TEST(!IsOk(ParsePage(body)));
    BOOST_TEST(!IsOk(ParseEvents(body)));
    BOOST_TEST(!IsOk(ParseRevision(body)));
    BOOST_TEST(!IsOk(ParseLease(body)));
  }
}

}  // namespace
}  // namespace citron::platform
