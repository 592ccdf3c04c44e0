#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "integration/closed_load.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr int kCallers = 8;
// The time from the first sign until nothing new may arrive.
constexpr double kNoticeMs = 3000;
// How much longer the callers go on, so that there is something to arrive.
constexpr double kWatchedMs = 2000;
constexpr char kLeaving[] = "z1u1";

// One zone with two VMs and three upstreams under load, also of requests that
// can't be sent twice.
class leaving_upstream_fixture : public harness {
 public:
  leaving_upstream_fixture()
      : fleet_(*this, SmallPlan(1, 2, 3)),
        load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int, const planned_call&, const caller_call& call) {
              if (call.response.head.status == 200) return;
              ++lost_;
              first_lost_ = call.response.body;
            }) {
    fleet_.Start();
    BOOST_REQUIRE(load_.RunUntil([&] { return CountSince(kLeaving, 0) > 50; }));
  }

  fleet& Fleet() { return fleet_; }
  int Lost() const { return lost_; }
  const std::string& FirstLost() const { return first_lost_; }
  static double NowMs() {
    return ToMilliseconds(MonotonicNow() - monotonic_time());
  }

  // Requests that reached the upstream from that time on, whatever it did.
  int CountSince(const std::string& upstream, double from_ms) {
    const nlohmann::json ledger =
        Caller().GetJson(fleet_.Upstream(upstream), "/admin/ledger?after=0");
    int count = 0;
    for (const char* part : {"entries", "running"}) {
      for (const auto& entry : ledger.at(part)) {
        count += entry.at("started_ms").get<double>() >= from_ms ? 1 : 0;
      }
    }
    return count;
  }

  // Whether the dispatches said that nothing of theirs runs there any more.
  bool IsSaidToBeDrained() {
    const std::string words = std::string(kLeaving) + " drained after ";
    return fleet_.Daemon("z1vm1", "dispatch").HasWritten(words) ||
           fleet_.Daemon("z1vm2", "dispatch").HasWritten(words);
  }

  void RunPastNotice(double first_sign_ms) {
    const double watched = first_sign_ms + kNoticeMs + kWatchedMs;
    BOOST_REQUIRE(
        load_.RunUntil([&] { return CountSince("z1u2", watched) > 0; }));
    BOOST_REQUIRE(load_.Stop());
    const int others = CountSince("z1u2", first_sign_ms + kNoticeMs) +
                       CountSince("z1u3", first_sign_ms + kNoticeMs);
    fmt::print(
        "{} calls, {} not served; after the notice {} at the leaving "
        "upstream, {} at the others; {} in all since the first sign\n",
        load_.Ended(), Lost(), CountSince(kLeaving, first_sign_ms + kNoticeMs),
        others, CountSince(kLeaving, first_sign_ms));
  }

 private:
  planned_call Next(int caller) {
    planned_call next;
    next.vm = caller % 2 == 0 ? "z1vm1" : "z1vm2";
    next.server = fleet_.Entry(next.vm);
    next.request = {caller % 4 < 2 ? "POST" : "GET",
                    "/desk/lots?work_ms=15",
                    {{"Authorization", "Bearer key-of-depot"}},
                    ""};
    return next;
  }

  fleet fleet_;
  int lost_ = 0;
  std::string first_lost_;
  closed_load load_;
};

BOOST_FIXTURE_TEST_SUITE(leaving_upstream, leaving_upstream_fixture)

// An upstream begins to drain by itself. What is sent on to it is turned away
// and holds up its end; the callers of the others notice nothing.
BOOST_AUTO_TEST_CASE(DrainingUpstreamGetsNothingNew) {
  const double sign = NowMs();
  BOOST_REQUIRE(Caller().PostJson(Fleet().Upstream(kLeaving), "/admin/fault",
                                  {{"drain", true}}));
  RunPastNotice(sign);
  BOOST_TEST(CountSince(kLeaving, sign + kNoticeMs) == 0);
  BOOST_TEST(Lost() == 0, FirstLost());
  BOOST_TEST(IsSaidToBeDrained());
}

// An operator drains an upstream that itself knows nothing of it, and takes it
// away some seconds later. What is sent to it after that is lost. Without a
// word of when its last request ended the operator can only guess when.
BOOST_AUTO_TEST_CASE(OperatorsDrainIsObeyed) {
  const double sign = NowMs();
  const caller_call put = Caller().Call(
      Fleet().Platform(),
      {"PUT",
       std::string("/v1/kv?key=config/drain/upstream/") + kLeaving,
       {},
       "{}"});
  BOOST_REQUIRE(put.response.head.status == 200);
  RunPastNotice(sign);
  BOOST_TEST(CountSince(kLeaving, sign + kNoticeMs) == 0);
  BOOST_TEST(Lost() == 0, FirstLost());
  BOOST_TEST(IsSaidToBeDrained());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
