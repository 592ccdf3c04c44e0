#include "citron/policy/placement.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id kDesk("yard-desk");
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
                    .service = kDesk,
                    .slots = 16,
                    .in_flight = in_flight,
                    .expected_wait = wait,
                    .mean_service_time = milliseconds(40),
                    .received_at = now});
  }
  // The own zone has had a queue for so long that all is to be moved.
  void PushOut() {
    for (int i = 0; i < 20; ++i) Report("s1", kSantiago, 16, seconds(5));
  }
  place_result Choose(std::uint64_t bytes = 4000) {
    return place.Choose({.service = kDesk,
                         .request_class = "lookup",
                         .deadline = now + seconds(1),
                         .expected_response_bytes = bytes},
                        now);
  }
  // The zone, or the name of the refusal.
  std::string Where(std::uint64_t bytes = 4000) {
    const place_result result = Choose(bytes);
    if (const auto* r = std::get_if<refusal>(&result)) {
      return std::string(RefusalName(r->reason));
    }
    return std::get<place_choice>(result).zone.Str();
  }
  std::string Send() {
    const std::string zone = Where();
    place.OnSent(kDesk, zone_id(zone), now);
    return zone;
  }

  monotonic_time now{seconds(1000)};
  placement place;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Placement, entry_fixture)

BOOST_AUTO_TEST_CASE(OwnZoneWhileItHasASlotFree) {
  Report("s1", kSantiago, 12);
  Report("s2", kSantiago, 0);
  BOOST_TEST(Where() == "s1");
}

// The own zone has a queue of a few milliseconds in one report. If each entry
// acted on it in full, the whole zone's traffic would go to the other one.
BOOST_AUTO_TEST_CASE(AMomentsQueueMovesNothing) {
  Report("s1", kSantiago, 16, milliseconds(5));
  Report("s2", kSantiago, 0);
  for (int i = 0; i < 100; ++i) BOOST_TEST(Send() == "s1");
}

// The own zone's queue stays. More and more of its traffic goes to the zone
// that has slots free, and comes back when the queue is gone.
BOOST_AUTO_TEST_CASE(ALastingQueueMovesAPartStepByStep) {
  int last_moved = 0;
  for (int second = 0; second < 20; ++second) {
    Report("s1", kSantiago, 16, milliseconds(300));
    Report("s2", kSantiago, 0);
    int moved = 0;
    for (int i = 0; i < 100; ++i) moved += Where() == "s2" ? 1 : 0;
    BOOST_TEST(moved >= last_moved);
    BOOST_TEST(moved <= last_moved + 11);
    last_moved = moved;
  }
  BOOST_TEST(last_moved == 100);
  for (int second = 0; second < 20; ++second) Report("s1", kSantiago, 3);
  BOOST_TEST(Where() == "s1");
}

// Everything is to be moved, and the other zone's report is a moment old. If
// what was sent since didn't count, it would get more than its slots hold.
BOOST_AUTO_TEST_CASE(CountsWhatItSentSinceTheReport) {
  PushOut();
  Report("s2", kSantiago, 8);
  std::map<std::string, int> sent;
  for (int i = 0; i < 20; ++i) ++sent[Send()];
  BOOST_TEST(sent["s2"] == 8);
  BOOST_TEST(sent["s1"] == 12);
}

// The other zone's report is shown again and again until its next one, which
// may be seconds away. If each showing counted as news, what was sent since
// would be forgotten and the zone would get many times what its slots hold.
BOOST_AUTO_TEST_CASE(AReportShownAgainForgetsNothingThatWasSent) {
  PushOut();
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

// A large fleet's views are rare, and say so. A zone whose next report isn't
// due yet must not be taken for unknown: its free slots would lie idle.
BOOST_AUTO_TEST_CASE(AReportLastsAsLongAsItSays) {
  PushOut();
  zone_report rare{.zone = zone_id("s2"),
                   .region = kSantiago,
                   .service = kDesk,
                   .slots = 16,
                   .mean_service_time = milliseconds(40),
                   .received_at = now,
                   .lifetime = seconds(12)};
  place.OnReport(rare);
  now += seconds(11);
  BOOST_TEST(Where() == "s2");
  now += seconds(2);
  BOOST_TEST(Where() == "s1");
}

BOOST_AUTO_TEST_CASE(GoesElsewhereAtOnceWhenTheOwnZoneDoesntServe) {
  Report("s1", kSantiago, 0);
  Report("s2", kSantiago, 3);
  place.OnReport({.zone = zone_id("s1"),
                  .region = kSantiago,
                  .service = kDesk,
                  .slots = 0,
                  .received_at = now});
  BOOST_TEST(Where() == "s2");
  Report("s2", kSantiago, 16, milliseconds(100));
  Report("s2", kSantiago, 16, milliseconds(100));
  BOOST_TEST(Where() == "s2");
  place.Forget(zone_id("s1"), kDesk);
  BOOST_TEST(Where() == "s2");
}

// Reports stop and the zone is cut off from all others. Its entry must go on
// sending to its own servers; to the others it can't know.
BOOST_AUTO_TEST_CASE(ALoneZoneServesItself) {
  Report("s1", kSantiago, 16, milliseconds(900));
  Report("s2", kSantiago, 0);
  now += seconds(30);
  BOOST_TEST(Where() == "s1");
  place.OnRefused(kDesk, zone_id("s1"), now);
  BOOST_TEST(Where() == "s1");
}

// A zone refused one workspace that is over its part. Other workspaces'
// requests must still get to it when there is nowhere else.
BOOST_AUTO_TEST_CASE(ARefusalDoesntShutTheZone) {
  Report("s1", kSantiago, 16, milliseconds(10));
  place.OnRefused(kDesk, zone_id("s1"), now);
  BOOST_TEST(Where() == "s1");
}

BOOST_AUTO_TEST_CASE(UnknownServiceAndTriedZonesAreRefused) {
  BOOST_TEST(Where() == "unknown_service");
  Report("s1", kSantiago, 0);
  const place_result result = place.Choose({.service = kDesk,
                                            .deadline = now + seconds(1),
                                            .excluded = {zone_id("s1")}},
                                           now);
  BOOST_TEST_REQUIRE(std::holds_alternative<refusal>(result));
  BOOST_TEST((std::get<refusal>(result).retry_at > now));
}

// The whole region has more work than it can end in time. Other regions take it
// only as far as they granted permits, and never behind their own queues.
BOOST_AUTO_TEST_CASE(CrossesOnlyWithPermitsAndToFreeSlots) {
  PushOut();
  Report("s2", kSantiago, 16, seconds(5));
  Report("c1", kConcepcion, 2);
  Report("a1", kAntofagasta, 16, milliseconds(5));
  BOOST_TEST(Where() == "s1");
  const auto wants = place.TakeWants();
  BOOST_TEST_REQUIRE(wants.size() == 1u);
  BOOST_TEST((wants[0].region == kConcepcion));
  place.OnPermits(kDesk, kConcepcion, 3, now + milliseconds(250));
  place.OnPermits(kDesk, kAntofagasta, 3, now + milliseconds(250));
  std::map<std::string, int> where;
  for (int i = 0; i < 10; ++i) ++where[Where()];
  BOOST_TEST(where["c1"] == 3);
  BOOST_TEST(where["a1"] == 0);
  place.OnPermits(kDesk, kConcepcion, 3, now + milliseconds(250));
  now += milliseconds(250);
  BOOST_TEST(Where() == "s1");
}

BOOST_AUTO_TEST_CASE(CrossesOnlyAsFarAsTheLinkGoes) {
  PushOut();
  Report("c1", kConcepcion, 2);
  double crossed = 0;
  for (int i = 0; i < 5000; ++i) {
    now += milliseconds(2);
    Report("c1", kConcepcion, 2);
    place.OnPermits(kDesk, kConcepcion, 100, now + milliseconds(250));
    if (Where(300'000) == "c1") crossed += 300'000;
  }
  const double most = 0.5 * 300e6 / 8 * (10 + 0.2) + 300'000;
  BOOST_TEST(crossed <= most);
  BOOST_TEST(crossed > 0.9 * most);
}

BOOST_AUTO_TEST_CASE(PlannedShiftMovesItsFraction) {
  Report("s1", kSantiago, 0);
  Report("c1", kConcepcion, 0);
  Report("a1", kAntofagasta, 0);
  place.SetShift(kDesk, shift{kSantiago, kConcepcion, 0.25});
  place.OnPermits(kDesk, kConcepcion, 1000, now + seconds(1));
  std::map<std::string, int> where;
  for (int i = 0; i < 100; ++i) ++where[Where()];
  BOOST_TEST(where["c1"] == 25);
  BOOST_TEST(where["s1"] == 75);
}

// A region is drained before the others have granted enough. What can't move
// yet is served at home, as long as home still serves.
BOOST_AUTO_TEST_CASE(DrainMovesWhatIsPermittedAndRefusesNothing) {
  Report("s1", kSantiago, 0);
  Report("c1", kConcepcion, 0);
  place.SetRegionDrained(kSantiago, true);
  place.OnPermits(kDesk, kConcepcion, 5, now + seconds(1));
  std::map<std::string, int> where;
  for (int i = 0; i < 20; ++i) ++where[Where()];
  BOOST_TEST(where["c1"] == 5);
  BOOST_TEST(where["s1"] == 15);
  place.SetRegionDrained(kSantiago, false);
  place.SetRegionDrained(kConcepcion, true);
  place.OnPermits(kDesk, kConcepcion, 5, now + seconds(1));
  PushOut();
  BOOST_TEST(Where() == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace citron
