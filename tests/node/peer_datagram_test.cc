#include "citron/node/peer_datagram.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "citron/wire/codec.h"

namespace citron {
namespace {

const vm_id kVm("vm1");

template <class T>
T ReadBack(const T& told) {
  const result<peer_datagram> read = ReadPeerDatagram(EncodeWire(told));
  BOOST_REQUIRE(IsOk(read));
  BOOST_REQUIRE(std::holds_alternative<T>(ValueOf(read)));
  return std::get<T>(ValueOf(read));
}

BOOST_AUTO_TEST_CASE(EachKindIsReadAsItWasWritten) {
  peer_report report;
  report.vm = kVm;
  report.quotas.push_back({workspace_id("w"), 3, 4});
  BOOST_TEST(ReadBack(report).quotas.at(0).admitted_in_window == 4u);
  const crash_report crashes{kVm, {{7, upstream_id("u1"), 30}}};
  BOOST_TEST(ReadBack(crashes).crashes.at(0).fingerprint == 7u);
  BOOST_TEST(!ReadBack(reach_report{kVm, 1, 2, false}).reaches_upstreams);
  const region_report region{
      kVm, {{9, upstream_id("u1")}}, {{upstream_id("u2"), 5}}};
  BOOST_TEST(ReadBack(region).placements.at(0).object == 9u);
  BOOST_TEST(ReadBack(region).loads.at(0).requests == 5u);
  const upstream_signal_report signal{kVm, vm_id("vm2"), upstream_id("u1"),
                                      7,   3000,         true};
  BOOST_TEST(ReadBack(signal).pause_ms == 3000u);
  BOOST_TEST(ReadBack(signal).asked.Str() == "vm2");
  rate_limit_report limits{kVm, 1, 2, {{upstream_id("u1"), true, 5, 6, 7}}};
  BOOST_TEST(ReadBack(limits).lines.at(0).per_s == 5);
  limits.lines.clear();
  BOOST_TEST(ReadBack(limits).lines.empty());
}

// Guards against a VM that ends, or takes a part of a datagram for the whole,
// when a stranger or a VM of another version writes to it.
BOOST_AUTO_TEST_CASE(OtherBytesAreRefused) {
  const std::string whole = EncodeWire(reach_report{kVm, 1, 2, true});
  const std::string samples[] = {
      "",
      "x",
      whole.substr(0, whole.size() - 1),
      whole + "x",
      std::string(1, '\x9f'),
      "\x92\xdd\xff\xff\xff\xff",
      EncodeWire(std::string("vm1")),
      EncodeWire(std::tuple<int, int, int, int>{1, 2, 3, 4})};
  for (const std::string& bytes : samples) {
    BOOST_TEST(!IsOk(ReadPeerDatagram(bytes)));
  }
}

}  // namespace
}  // namespace citron
