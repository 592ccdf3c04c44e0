#include "citron/wire/messages.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "citron/wire/codec.h"

namespace citron {
namespace {

fleet_view SampleView() {
  vm_seen seen;
  seen.view.vm = vm_id("a");
  seen.view.zone = zone_id("z");
  seen.view.entries.push_back({1, 7, {"127.0.0.1", 80}, {"127.0.0.1", 81}});
  service_load load;
  load.service = service_id("yard-desk");
  load.load.slots = 40;
  load.load.expected_wait = FromMilliseconds(3);
  seen.view.loads.push_back(load);
  seen.state = member_state::kSilent;
  seen.received_at = monotonic_time(FromSeconds(5));
  return {true, 5, FromMilliseconds(9), {seen}, {vm_id("gone")}};
}

BOOST_AUTO_TEST_CASE(ViewRoundTrips) {
  const auto decoded = DecodeWire<fleet_view>(EncodeWire(SampleView()));
  BOOST_REQUIRE(IsOk(decoded));
  const fleet_view& view = ValueOf(decoded);
  BOOST_REQUIRE(view.vms.size() == 1u);
  const vm_seen& seen = view.vms[0];
  BOOST_TEST(view.full);
  BOOST_TEST((seen.state == member_state::kSilent));
  BOOST_TEST((seen.received_at == monotonic_time(FromSeconds(5))));
  BOOST_TEST(seen.view.entries[0].http.Str() == "127.0.0.1:80");
  BOOST_TEST((seen.view.loads[0].load.expected_wait == FromMilliseconds(3)));
  BOOST_TEST(view.removed[0].Str() == "gone");
}

BOOST_AUTO_TEST_CASE(LoanMessageRoundTrips) {
  loan_message<loan_grant> sent;
  sent.from = {vm_id("a"), 0, 1};
  sent.to = {vm_id("b"), 1, 2};
  sent.message = {workspace_id("w"), 9, 1000, 2.5, 2000};
  const auto decoded = DecodeWire<loan_message<loan_grant>>(EncodeWire(sent));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_TEST((ValueOf(decoded).to == sent.to));
  BOOST_TEST(ValueOf(decoded).message.tokens == 2.5);
}

BOOST_AUTO_TEST_CASE(TokenMessagesRoundTrip) {
  loan_message<token_grant> sent;
  sent.message = {workspace_id("w"), 9, true, 70, 4.5};
  const auto decoded = DecodeWire<loan_message<token_grant>>(EncodeWire(sent));
  BOOST_REQUIRE(IsOk(decoded));
  const token_grant& grant = ValueOf(decoded).message;
  BOOST_TEST(grant.granted);
  BOOST_TEST(grant.number == 9u);
  BOOST_TEST(grant.retry_ms == 70);
  BOOST_TEST(grant.burst == 4.5);
  const auto ask = DecodeWire<token_request>(
      EncodeWire(token_request{workspace_id("w"), 3}));
  BOOST_REQUIRE(IsOk(ask));
  BOOST_TEST(ValueOf(ask).number == 3u);
}

// A daemon of another version, or a fault on the way, sends bytes that are no
// message. They must give an error, never a crash or a half-filled message.
BOOST_AUTO_TEST_CASE(ChangedBytesGiveErrorsOrMessages) {
  const std::string good = EncodeWire(SampleView());
  std::mt19937 random(42);
  int errors = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bad = good.substr(0, random() % (good.size() + 1));
    if (!bad.empty()) {
      bad[random() % bad.size()] = static_cast<char>(random() & 0xff);
    }
    if (!IsOk(DecodeWire<fleet_view>(bad))) ++errors;
  }
  BOOST_TEST(errors > 10000);
}

// A few bytes that announce a container of four thousand million elements
// must not make a daemon reserve memory for them.
BOOST_AUTO_TEST_CASE(HugeAnnouncedContainerIsAnError) {
  const std::string bytes("\xdd\xff\xff\xff\xff", 5);
  BOOST_TEST(!IsOk(DecodeWire<fleet_view>(bytes)));
  BOOST_TEST(!IsOk(DecodeWire<std::vector<std::string>>(bytes)));
}

}  // namespace
}  // namespace citron
