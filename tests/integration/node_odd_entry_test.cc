#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "integration/node_fleet.h"

namespace citron {
namespace {

constexpr int kVms = 2;
constexpr int kDepth = 200'000;

std::string Entry(const std::string& address, const std::string& slots,
                  const std::string& cold) {
  return fmt::format(
      R"({{"address":"{}","born":1,"info":{{"service":"s","version":"v1",)"
      R"("zone":"z1","slots":{}}},"status":{{"state":"ready","seq":1,)"
      R"("coldRemainingS":{}}}}})",
      address, slots, cold);
}

// Values that another writer may leave among the servers.
std::vector<std::string> OddValues() {
  const std::string deep(kDepth, '[');
  const std::string closed = deep + std::string(kDepth, ']');
  std::string objects;
  for (int i = 0; i < kDepth; ++i) objects += "{\"a\":";
  std::vector<std::string> values = {"",
                                     "null",
                                     "[]",
                                     "{}",
                                     "\xff\xfe odd",
                                     deep,
                                     closed,
                                     objects,
                                     Entry("127.0.0.1:1", closed, "0"),
                                     Entry("127.0.0.1:1", "4", closed)};
  for (const char* port :
       {"0", "65536", "-1", "99999999999999999999", "1e3", ""}) {
    values.push_back(Entry(fmt::format("127.0.0.1:{}", port), "4", "0"));
  }
  for (const std::string& number :
       {std::string("1e999"), std::string("1e300"), std::string("-1e300"),
        std::string("18446744073709551616"), std::string(400, '9')}) {
    values.push_back(Entry("127.0.0.1:1", number, "0"));
    values.push_back(Entry("127.0.0.1:1", "4", number));
  }
  return values;
}

class odd_entry_fixture : public node_fleet {
 public:
  odd_entry_fixture() { PutDeclaration(1, {"key"}); }

  // A server that is announced now; each VM reaches it alone.
  void NewServerIsReached(int number) {
    const std::string id = fmt::format("u{}", number);
    scripted_upstream& server = AddUpstream(id, [](const std::string& request) {
      return Answer(request, "whole");
    });
    for (int vm = 1; vm <= kVms; ++vm) {
      const std::size_t before = server.Requests().size();
      BOOST_TEST(Caller().WaitFor([&] {
        StatusOf(Callers(vm),
                 Request("key", "GET", fmt::format("/look/{}", id_)));
        return server.Requests().size() > before;
      }));
    }
  }
  void AllVmsLive() {
    for (int vm = 1; vm <= kVms; ++vm) {
      BOOST_TEST(!Process(fmt::format("node{}", vm)).Exit().has_value());
    }
  }
};

// Guards against one odd entry among the servers that ends the VMs which read
// it, or after which they follow the list no more.
BOOST_FIXTURE_TEST_CASE(OddEntriesEndNoVmAndHideNoServer, odd_entry_fixture) {
  StartNode(1);
  const std::vector<std::string> values = OddValues();
  // One after the other under one key, then all at once beside a VM that
  // starts.
  for (const std::string& value : values) PutBytes("servers/odd", value);
  for (std::size_t i = 0; i < values.size(); ++i) {
    PutBytes(fmt::format("servers/odd{}", i), values[i]);
  }
  StartNode(2);
  NewServerIsReached(1);
  for (const std::string& value : values) PutBytes("servers/odd", value);
  NewServerIsReached(2);
  AllVmsLive();
}

}  // namespace
}  // namespace citron
