#include "citron/ctl/fleet_status.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace citron {
namespace {

class scripted_waiter final : public task_waiter {
 public:
  monotonic_time Now() const override { return now_; }
  void Wait() override { BOOST_FAIL("nothing left to wait for"); }
  void Wake() override {}
  void PauseUntil(monotonic_time time) override { now_ = time; }

 private:
  monotonic_time now_{};
};

// Controls by port; a control without a page does not answer.
class scripted_source final : public status_source {
 public:
  void Fetch(const endpoint& control, monotonic_time, on_status done) override {
    ++fetches;
    const auto found = pages.find(control.port);
    if (found == pages.end()) {
      done(MakeError(error_code::kUnavailable, "timed out"));
    } else {
      done(ParseVmStatus(found->second));
    }
    if (on_fetch) on_fetch();
  }

  std::map<int, std::string> pages;
  int fetches = 0;
  std::function<void()> on_fetch;
};

control_address At(std::uint16_t port, const char* zone) {
  return {vm_id("vm"), zone_id(zone), {"127.0.0.1", port}};
}

const monotonic_time kDeadline = monotonic_time{} + std::chrono::seconds(6);

// A zone is cut off. The operator must see that the change is not in force
// there, and must not wait for it until the end of time.
BOOST_AUTO_TEST_CASE(CutOffZoneIsNamed) {
  scripted_waiter waiter;
  scripted_source source;
  source.pages[1] = R"({"vm":"a","zone":"z1","region":"r","revision":7})";
  fleet_reader reader(source, waiter, {At(1, "z1"), At(2, "z2")});
  const spread_report report = reader.WaitFor(7, kDeadline);
  BOOST_TEST((report.zones.at(zone_id("z1")) == zone_progress::kInForce));
  BOOST_TEST((report.zones.at(zone_id("z2")) == zone_progress::kNotReached));
  BOOST_TEST(!report.IsInForceEverywhere());
}

BOOST_AUTO_TEST_CASE(WaitsForTheSlowerVmOfAZone) {
  scripted_waiter waiter;
  scripted_source source;
  source.pages[1] = R"({"vm":"a","zone":"z","region":"r","revision":7})";
  source.pages[2] = R"({"vm":"b","zone":"z","region":"r","revision":6})";
  source.on_fetch = [&] {
    if (source.fetches == 6) {
      source.pages[2] = R"({"vm":"b","zone":"z","region":"r","revision":9})";
    }
  };
  fleet_reader reader(source, waiter, {At(1, "z"), At(2, "z")});
  BOOST_TEST(reader.WaitFor(7, kDeadline).IsInForceEverywhere());
  BOOST_TEST(source.fetches == 8);
}

BOOST_AUTO_TEST_CASE(VmThatStaysBehindEndsTheWaitAtItsDeadline) {
  scripted_waiter waiter;
  scripted_source source;
  source.pages[1] = R"({"vm":"a","zone":"z","region":"r","revision":6})";
  fleet_reader reader(source, waiter, {At(1, "z")});
  const spread_report report = reader.WaitFor(7, kDeadline);
  BOOST_TEST((report.zones.at(zone_id("z")) == zone_progress::kBehind));
  BOOST_TEST((waiter.Now() <= kDeadline));
}

BOOST_AUTO_TEST_CASE(AsksControlsThatOthersTellOf) {
  scripted_waiter waiter;
  scripted_source source;
  source.pages[1] =
      R"({"vm":"a","zone":"z1","region":"r","revision":7,"members":)"
      R"([{"vm":"b","zone":"z2","status":"127.0.0.1:2"},{"vm":"c"}]})";
  source.pages[2] = R"({"vm":"b","zone":"z2","region":"r","revision":7})";
  fleet_reader reader(source, waiter, {At(1, "")});
  BOOST_TEST(reader.WaitFor(7, kDeadline).zones.size() == 2u);
}

}  // namespace
}  // namespace citron
