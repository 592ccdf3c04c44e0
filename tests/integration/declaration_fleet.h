#ifndef TESTS_INTEGRATION_DECLARATION_FLEET_H_
#define TESTS_INTEGRATION_DECLARATION_FLEET_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "integration/node_fleet.h"

namespace citron {

// VMs whose declaration holds one key at a time, so that a request with the
// newest key tells whether the newest declaration is in force.
class declaration_fleet : public node_fleet {
 public:
  // The time that the platform allows from the acknowledgement to force.
  static constexpr duration kApplyBound = std::chrono::milliseconds(2500);

  declaration_fleet() {
    PutDeclaration(version_, {Key()});
    AddUpstream(
        "u1", [](const std::string& request) { return Answer(request, "u1"); });
  }

  std::string Key() const { return fmt::format("key{}", version_); }
  void Declare() {
    ++version_;
    PutDeclaration(version_, {Key()});
    acknowledged_at_ = MonotonicNow();
  }
  int StatusAt(int vm, const std::string& key) {
    return StatusOf(Callers(vm), Request(key, "GET", "/look/1"));
  }

  // Returns how long after its acknowledgement the newest declaration was in
  // force at each VM; a VM is missing if it wasn't within `limit`.
  std::map<int, duration> TimesToForce(int vms, duration limit) {
    std::map<int, duration> times;
    const monotonic_time until = acknowledged_at_ + limit;
    while (static_cast<int>(times.size()) < vms && MonotonicNow() < until) {
      for (int vm = 1; vm <= vms; ++vm) {
        if (times.contains(vm) || StatusAt(vm, Key()) != 200) continue;
        times[vm] = MonotonicNow() - acknowledged_at_;
      }
      Sleep(std::chrono::milliseconds(20));
    }
    return times;
  }
  // Checks that the newest declaration is in force in time at each VM.
  void CheckInForceInTime(int vms, const std::string& when) {
    const auto times = TimesToForce(vms, 2 * kApplyBound);
    for (int vm = 1; vm <= vms; ++vm) {
      const auto found = times.find(vm);
      const double ms =
          found == times.end() ? -1 : ToMilliseconds(found->second);
      BOOST_TEST_MESSAGE(
          fmt::format("{}: VM {} after {:.0f} ms", when, vm, ms));
      BOOST_TEST((found != times.end() && found->second <= kApplyBound),
                 when << ": VM " << vm << " after " << ms << " ms");
    }
  }

  void Sleep(duration time) {
    const monotonic_time until = MonotonicNow() + time;
    Caller().WaitFor([&] { return MonotonicNow() >= until; });
  }

 private:
  int version_ = 1;
  monotonic_time acknowledged_at_{};
};

}  // namespace citron

#endif  // TESTS_INTEGRATION_DECLARATION_FLEET_H_
