#include "citron/policy/placement.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id kService("yard-desk");
const region_id kSantiago("santiago");
const region_id kConcepcion("concepcion");
const region_id kAntofagasta("antofagasta");

struct entry_fixture {
  entry_fixture() : place(Options(), 4) {
    place.SetLinkShare(0.5, now - seconds(10));
  }

  static placement_options Options() {
    placement_options options;
    options.zone = zone_id("s1");
    options.region = kSantiago;
    return options;
  }
  void Report(const std::string& zone, const region_id& region, int in_flight,
              duration wait = {}) {
    place.OnReport({.zone = zone_id(zone),
                    .region = region,
                    .service = kService,
                    .slots = 16,
                    .in_flight = in_flight,
                    .expected_wait = wait,
                    .mean_service_time = milliseconds(40),
                    .received_at = now});
  }
  // Reports a queue in the local zone for so long that all traffic moves away.
  void OverloadLocalZone() {
    for (int i = 0; i < 20; ++i) Report("s1", kSantiago, 16, seconds(5));
  }
  placement_result Choose(std::uint64_t bytes = 4000) {
    return place.Choose({.service = kService,
                         .request_class = "lookup",
                         .deadline = now + seconds(1),
                         .expected_response_bytes = bytes},
                        now);
  }
  // Returns the chosen zone or the name of the refusal.
  std::string ChosenZone(std::uint64_t bytes = 4000) {
    const placement_result result = Choose(bytes);
    if (const auto* r = std::get_if<refusal>(&result)) {
      return std::string(RefusalName(r->reason));
    }
    return std::get<placement_decision>(result).zone.Str();
  }
  std::string Send() {
    const std::string zone = ChosenZone();
    place.OnSent(kService, zone_id(zone), now);
    return zone;
  }

  monotonic_time now{seconds(1000)};
  placement place;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Placement, entry_fixture)

BOOST_AUTO_TEST_CASE(PrefersLocalZoneWithFreeSlot) {
  Report("s1", kSantiago, 12);
  Report("s2", kSantiago, 0);
  BOOST_TEST(ChosenZone() == "s1");
}

// The local zone reports a queue of a few milliseconds once. If each entry
// acted on it in full, the zone's whole traffic would move to the other zone.
BOOST_AUTO_TEST_CASE(BriefQueueMovesNothing) {
  Report("s1", kSantiago, 16, milliseconds(5));
  Report("s2", kSantiago, 0);
  for (int i = 0; i < 100; ++i) BOOST_TEST(Send() == "s1");
}

// The queue of the local zone persists. A growing fraction of the traffic moves
// to the zone with free slots, and returns when the queue is gone.
BOOST_AUTO_TEST_CASE(LastingQueueMovesTrafficGradually) {
  int last_moved = 0;
  for (int second = 0; second < 20; ++second) {
    Report("s1", kSantiago, 16, milliseconds(300));
    Report("s2", kSantiago, 0);
    int moved = 0;
    for (int i = 0; i < 100; ++i) moved += ChosenZone() == "s2" ? 1 : 0;
    BOOST_TEST(moved >= last_moved);
    BOOST_TEST(moved <= last_moved + 11);
    last_moved = moved;
  }
  BOOST_TEST(last_moved == 100);
  for (int second = 0; second < 20; ++second) Report("s1", kSantiago, 3);
  BOOST_TEST(ChosenZone() == "s1");
}

// All traffic moves, and the other zone sends no newer report. Without counting
// the requests sent since the report, that zone would receive more than its
// slots hold.
BOOST_AUTO_TEST_CASE(CountsRequestsSentSinceReport) {
  OverloadLocalZone();
  Report("s2", kSantiago, 8);
  std::map<std::string, int> sent;
  for (int i = 0; i < 20; ++i) ++sent[Send()];
  BOOST_TEST(sent["s2"] == 8);
  BOOST_TEST(sent["s1"] == 12);
}

// The other zone's report is passed in repeatedly until its next one, which may
// be seconds away. If each repeat counted as new, the requests sent since would
// be forgotten and the zone would receive many times what its slots hold.
BOOST_AUTO_TEST_CASE(RepeatedReportKeepsSentCount) {
  OverloadLocalZone();
  std::map<std::string, int> sent;
  for (int i = 0; i < 20; ++i) {
    Report("s2", kSantiago, 8);
    ++sent[Send()];
  }
  BOOST_TEST(sent["s2"] == 8);
  now += milliseconds(600);
  Report("s2", kSantiago, 8);
  BOOST_TEST(Send() == "s2");
}

// Views of a large fleet are rare, and their reports carry a longer lifetime. A
// zone whose next report is not due yet must not count as expired, or its free
// slots would stay idle.
BOOST_AUTO_TEST_CASE(ReportIsValidForItsLifetime) {
  OverloadLocalZone();
  zone_report long_lived{.zone = zone_id("s2"),
                         .region = kSantiago,
                         .service = kService,
                         .slots = 16,
                         .mean_service_time = milliseconds(40),
                         .received_at = now,
                         .lifetime = seconds(12)};
  place.OnReport(long_lived);
  now += seconds(11);
  BOOST_TEST(ChosenZone() == "s2");
  now += seconds(2);
  BOOST_TEST(ChosenZone() == "s1");
}

BOOST_AUTO_TEST_CASE(LeavesLocalZoneThatDoesNotServe) {
  Report("s1", kSantiago, 0);
  Report("s2", kSantiago, 3);
  place.OnReport({.zone = zone_id("s1"),
                  .region = kSantiago,
                  .service = kService,
                  .slots = 0,
                  .received_at = now});
  BOOST_TEST(ChosenZone() == "s2");
  Report("s2", kSantiago, 16, milliseconds(100));
  Report("s2", kSantiago, 16, milliseconds(100));
  BOOST_TEST(ChosenZone() == "s2");
  place.RemoveZone(zone_id("s1"), kService);
  BOOST_TEST(ChosenZone() == "s2");
}

// Reports stop because the zone is cut off from all others. Its entry must keep
// sending to the servers of the zone, as the state of other zones is unknown.
BOOST_AUTO_TEST_CASE(IsolatedZoneServesItself) {
  Report("s1", kSantiago, 16, milliseconds(900));
  Report("s2", kSantiago, 0);
  now += seconds(30);
  BOOST_TEST(ChosenZone() == "s1");
  place.OnRefused(kService, zone_id("s1"), now);
  BOOST_TEST(ChosenZone() == "s1");
}

// The local zone refused a request, perhaps of a workspace over its share.
// Later requests, which may be of other workspaces, must still reach the zone
// when there is no alternative.
BOOST_AUTO_TEST_CASE(RefusalDoesNotExcludeTheZone) {
  Report("s1", kSantiago, 16, milliseconds(10));
  place.OnRefused(kService, zone_id("s1"), now);
  BOOST_TEST(ChosenZone() == "s1");
}

BOOST_AUTO_TEST_CASE(RefusesUnknownServiceAndTriedZones) {
  BOOST_TEST(ChosenZone() == "unknown_service");
  Report("s1", kSantiago, 0);
  const placement_result result = place.Choose({.service = kService,
                                                .deadline = now + seconds(1),
                                                .excluded = {zone_id("s1")}},
                                               now);
  BOOST_TEST_REQUIRE(std::holds_alternative<refusal>(result));
  BOOST_TEST((std::get<refusal>(result).retry_at > now));
}

// The whole region has more work than it can finish in time. Remote regions
// accept requests only within granted permits and free slots, never behind
// their own queues.
BOOST_AUTO_TEST_CASE(CrossRegionNeedsPermitsAndFreeSlots) {
  OverloadLocalZone();
  Report("s2", kSantiago, 16, seconds(5));
  Report("c1", kConcepcion, 2);
  Report("a1", kAntofagasta, 16, milliseconds(5));
  BOOST_TEST(ChosenZone() == "s1");
  const auto wants = place.TakePermitDemand();
  BOOST_TEST_REQUIRE(wants.size() == 1u);
  BOOST_TEST((wants[0].region == kConcepcion));
  place.OnPermits(kService, kConcepcion, 3, now + milliseconds(250));
  place.OnPermits(kService, kAntofagasta, 3, now + milliseconds(250));
  std::map<std::string, int> chosen_counts;
  for (int i = 0; i < 10; ++i) ++chosen_counts[ChosenZone()];
  BOOST_TEST(chosen_counts["c1"] == 3);
  BOOST_TEST(chosen_counts["a1"] == 0);
  place.OnPermits(kService, kConcepcion, 3, now + milliseconds(250));
  now += milliseconds(250);
  BOOST_TEST(ChosenZone() == "s1");
}

BOOST_AUTO_TEST_CASE(CrossRegionStaysWithinLinkBudget) {
  OverloadLocalZone();
  Report("c1", kConcepcion, 2);
  double sent_bytes = 0;
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(2);
    Report("c1", kConcepcion, 2);
    place.OnPermits(kService, kConcepcion, 100, now + milliseconds(250));
    if (ChosenZone(300'000) == "c1") sent_bytes += 300'000;
  }
  const double max_bytes = 0.5 * 300e6 / 8 * (10 + 0.2) + 300'000;
  BOOST_TEST(sent_bytes <= max_bytes);
  BOOST_TEST(sent_bytes > 0.9 * max_bytes);
}

BOOST_AUTO_TEST_CASE(PlannedShiftMovesItsFraction) {
  Report("s1", kSantiago, 0);
  Report("c1", kConcepcion, 0);
  Report("a1", kAntofagasta, 0);
  place.SetShift(kService, shift{kSantiago, kConcepcion, 0.25});
  place.OnPermits(kService, kConcepcion, 1000, now + seconds(1));
  std::map<std::string, int> chosen_counts;
  for (int i = 0; i < 100; ++i) ++chosen_counts[ChosenZone()];
  BOOST_TEST(chosen_counts["c1"] == 25);
  BOOST_TEST(chosen_counts["s1"] == 75);
}

// A region is drained before the others have granted enough permits. Requests
// that cannot move yet are served in the drained region while it still serves.
BOOST_AUTO_TEST_CASE(DrainMovesWhatIsPermittedAndRefusesNothing) {
  Report("s1", kSantiago, 0);
  Report("c1", kConcepcion, 0);
  place.SetRegionDrained(kSantiago, true);
  place.OnPermits(kService, kConcepcion, 5, now + seconds(1));
  std::map<std::string, int> chosen_counts;
  for (int i = 0; i < 20; ++i) ++chosen_counts[ChosenZone()];
  BOOST_TEST(chosen_counts["c1"] == 5);
  BOOST_TEST(chosen_counts["s1"] == 15);
  place.SetRegionDrained(kSantiago, false);
  place.SetRegionDrained(kConcepcion, true);
  place.OnPermits(kService, kConcepcion, 5, now + seconds(1));
  OverloadLocalZone();
  BOOST_TEST(ChosenZone() == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace citron
