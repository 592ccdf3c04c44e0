#include "citron/node/fleet_state.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "node/plain_codec.h"

namespace citron {
namespace {

constexpr int kZones = 9;

vm_listing Listing(int number) {
  vm_listing listing;
  listing.vm = vm_id(fmt::format("vm{}", number));
  listing.zone = zone_id(fmt::format("z{}", number % kZones));
  listing.region = region_id("r");
  listing.callers = listing.peer = {"10.0.0.1", 80};
  listing.secret = "secret";
  return listing;
}

// What the store holds: one cold upstream and `vms` VMs.
std::vector<key_change> ColdUpstreamAndVms(int vms) {
  std::vector<key_change> copy;
  const auto write = [&copy](std::string key, std::string value) {
    const store_revision revision = copy.size() + 1;
    copy.push_back({key_change::kind::kWritten,
                    {std::move(key), std::move(value), revision, ""}});
  };
  write("routing", "v1");
  write("upstreams/cold", "cold");
  for (int i = 0; i < vms; ++i) {
    const vm_listing listing = Listing(i);
    write("vms/" + listing.vm.Str(), EncodeVmListing(listing));
  }
  return copy;
}

// Counts the VMs that may send to the upstream.
int CountColdSenders(int vms) {
  plain_codec codec;
  const service_id service("s");
  codec.routings["v1"].services[service] = {service, "/health", 100,
                                            FromSeconds(3), 5};
  codec.upstreams["cold"] = {{}, service, zone_id("z0"), {"10.0.0.2", 80},
                             4,  false,   FromSeconds(3)};
  event_log log([](std::string_view) { return true; });
  const monotonic_time now{std::chrono::hours(1)};
  int senders = 0;
  for (int i = 0; i < vms; ++i) {
    node_settings settings;
    settings.vm = Listing(i).vm;
    settings.zone = Listing(i).zone;
    for (int zone = 0; zone < kZones; ++zone) {
      settings.zones[zone_id(fmt::format("z{}", zone))] = region_id("r");
    }
    fleet_state fleet(settings, codec, log);
    fleet.ApplyCopy(ColdUpstreamAndVms(vms), now, now);
    const upstream_tracker* cold = fleet.FindUpstream(upstream_id("cold"));
    BOOST_REQUIRE(cold != nullptr);
    if (cold->CanTakeColdRequest(now + FromSeconds(1))) ++senders;
  }
  return senders;
}

// Guards against a cold upstream that breaks since many VMs of a large fleet
// send to it, or that none of them sends to.
BOOST_AUTO_TEST_CASE(TwoVmsSendToAColdUpstream) {
  for (const int vms : {2, 10, 84, 295}) {
    BOOST_TEST_CONTEXT(vms << " VMs") {
      BOOST_TEST(CountColdSenders(vms) == 2);
    }
  }
}

// Guards against a late answer of an earlier start of an upstream that counts
// against the new one.
BOOST_AUTO_TEST_CASE(AnEarlierStartSaysNothingOfTheNewOne) {
  plain_codec codec;
  const service_id service("s");
  codec.upstreams["cold"] = {{}, service, zone_id("z0"), {"10.0.0.2", 80},
                             4,  false,   duration{},    7};
  event_log log([](std::string_view) { return true; });
  const monotonic_time now{std::chrono::hours(1)};
  const node_settings settings;
  fleet_state fleet(settings, codec, log);
  fleet.ApplyCopy(ColdUpstreamAndVms(1), now, now);
  const upstream_id id("cold");
  fleet.OnPauseRequested(service, {id, 6}, now + FromSeconds(9), now);
  BOOST_TEST(!fleet.OnSaidLeaving(service, {id, 6}));
  BOOST_TEST(!fleet.FindUpstream(id)->IsPaused(now));
  BOOST_TEST(!fleet.FindUpstream(id)->IsLeaving());
  fleet.OnPauseRequested(service, {id, 7}, now + FromSeconds(9), now);
  BOOST_TEST(fleet.OnSaidLeaving(service, {id, 7}));
  BOOST_TEST(!fleet.OnSaidLeaving(service, {id, 7}));
  BOOST_TEST(fleet.FindUpstream(id)->IsPaused(now));
  BOOST_TEST(fleet.FindUpstream(id)->IsLeaving());
  BOOST_TEST(fleet.PausedUpstreams(service, now) == 1);
  BOOST_TEST(fleet.LogEndedPauses(now + FromSeconds(9)) == 0);
}

}  // namespace
}  // namespace citron
