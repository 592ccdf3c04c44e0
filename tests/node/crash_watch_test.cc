#include "citron/node/crash_watch.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using standing = crash_watch::standing;

const upstream_id kA("a");
const upstream_id kB("b");
constexpr std::uint64_t kKiller = 7;

struct watch_fixture {
  crash_report Told(const upstream_id& upstream) const {
    return {vm_id("vm2"), {{kKiller, upstream, 30}}};
  }

  event_log log{[](std::string_view) { return true; }};
  crash_watch watch{log};
  monotonic_time now{seconds(100)};
};

BOOST_FIXTURE_TEST_SUITE(crashes, watch_fixture)

// Guards against a third crash: one crash was seen here, one by another VM.
BOOST_AUTO_TEST_CASE(ACrashHereAndOneElsewhereConvict) {
  watch.OnLost(kKiller, kA, false, now, now);
  BOOST_TEST((watch.Of(kKiller, now) == standing::kSuspect));
  watch.OnTold(Told(kB), now);
  BOOST_TEST((watch.Of(kKiller, now) == standing::kPoison));
  BOOST_TEST((watch.Until(kKiller) == now + seconds(60)));
}

// Guards against a request that is refused since copies of it, sent before it
// was a suspect, were beside the killer at both crashes.
BOOST_AUTO_TEST_CASE(WhatWasBesideTheKillerAtBothCrashesIsNotConvicted) {
  constexpr std::uint64_t kOther = 8;
  for (const upstream_id& upstream : {kA, kB}) {
    for (const std::uint64_t each : {kKiller, kOther}) {
      watch.OnLost(each, upstream, false, now, now);
    }
  }
  BOOST_TEST((watch.Of(kOther, now) == standing::kSuspect));
  watch.OnAnswered(kOther, upstream_id("c"), now, now);
  BOOST_TEST((watch.Of(kKiller, now) == standing::kPoison));
}

// Guards against one crash that counts twice as its word is repeated.
BOOST_AUTO_TEST_CASE(ARepeatedWordIsOneCrash) {
  watch.OnTold(Told(kA), now);
  watch.OnTold(Told(kA), now + milliseconds(50));
  BOOST_TEST((watch.Of(kKiller, now) == standing::kSuspect));
}

// Guards against a request that is refused because two upstreams lost its
// answers and went on.
BOOST_AUTO_TEST_CASE(AnUpstreamThatAnswersSoonHasNotCrashed) {
  watch.OnLost(kKiller, kA, false, now, now);
  watch.OnLost(kKiller, kB, true, now, now);
  BOOST_TEST((watch.Of(kKiller, now) == standing::kPoison));
  now += milliseconds(200);
  watch.OnAnswered(1, kB, now - milliseconds(100), now);
  BOOST_TEST((watch.Of(kKiller, now) == standing::kSuspect));
  now += seconds(3);
  watch.OnAnswered(1, kA, now - milliseconds(100), now);
  BOOST_TEST((watch.Of(kKiller, now) == standing::kSuspect));
}

// Guards against a crash that other VMs don't hear of as a datagram was lost.
BOOST_AUTO_TEST_CASE(EachCrashIsToldThreeTimes) {
  int calls = 0;
  watch.OnNews([&calls] { ++calls; });
  watch.OnLost(kKiller, kA, false, now, now);
  BOOST_TEST(calls == 1);
  for (const std::uint32_t age_ms : {0, 50, 100}) {
    const auto told = watch.TakeNews(now + milliseconds(age_ms));
    BOOST_REQUIRE(told.size() == 1u);
    BOOST_TEST(told[0].fingerprint == kKiller);
    BOOST_TEST(told[0].upstream.Str() == kA.Str());
    BOOST_TEST(told[0].age_ms == age_ms);
  }
  BOOST_TEST(watch.TakeNews(now).empty());
}

// Guards against datagrams that grow with the crashes of a whole zone.
BOOST_AUTO_TEST_CASE(AReportHasAFewLinesAtMost) {
  for (std::uint64_t i = 1; i <= 1000; ++i)
    watch.OnLost(i, kA, false, now, now);
  std::size_t told = 0;
  while (true) {
    const auto lines = watch.TakeNews(now);
    if (lines.empty()) break;
    BOOST_TEST(lines.size() <= 16u);
    told += lines.size();
  }
  BOOST_TEST(told == 3u * 256u);
}

// Guards against a crash whose word waits behind those of a flood of lost
// answers, and comes after the caller's next copy.
BOOST_AUTO_TEST_CASE(TheNewestCrashIsToldFirst) {
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    watch.OnLost(100 + i, kA, false, now, now);
  }
  watch.TakeNews(now);
  watch.OnLost(kKiller, kB, false, now, now);
  BOOST_TEST(watch.TakeNews(now).at(0).fingerprint == kKiller);
}

BOOST_AUTO_TEST_CASE(ARequestWithoutAFingerprintIsNeverBlamed) {
  watch.OnLost(0, kA, false, now, now);
  crash_report report = Told(kB);
  report.crashes[0].fingerprint = 0;
  watch.OnTold(report, now);
  BOOST_TEST((watch.Of(0, now) == standing::kClear));
  BOOST_TEST(watch.TakeNews(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
