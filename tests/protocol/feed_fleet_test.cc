#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citron/protocol/feed_sources.h"
#include "citron/protocol/fleet_feed.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kBound = milliseconds(2500);
constexpr duration kTick = milliseconds(50);
constexpr duration kStep = milliseconds(5);
constexpr duration kAnswerLimit = milliseconds(1000);
constexpr duration kRelayLimit = milliseconds(450);

// VMs of three regions that follow the version of one declaration, through the
// store and each other as their feeds say. One VM in a region reads the store.
class feed_fleet {
 public:
  // `store_delay`: of a round trip to the store, from the second region on.
  feed_fleet(int vms, duration store_delay) : store_delay_(store_delay) {
    std::vector<feed_member> members;
    for (int i = 0; i < vms; ++i) {
      const int zone = i % 6;
      members.push_back({vm_id(fmt::format("vm{}", i)),
                         zone_id(fmt::format("z{}", zone)),
                         region_id(fmt::format("r{}", zone / 2)), 100});
      index_[members.back().vm] = static_cast<std::size_t>(i);
    }
    for (const feed_member& member : members) {
      vms_.emplace_back();
      vm_state& vm = vms_.back();
      vm.region = member.region;
      vm.sources.SetPlan(PlanFeedSources(member, members));
      const bool reads = vm.sources.ReadsStore();
      vm.feed.SetServesOthers(reads);
      vm.feed.SetFleetSize(reads ? 1 : vms);
    }
    Run(seconds(3));
  }

  // Watches that wait in the store are not answered any more.
  void StallWatches() { stalled_ = true; }
  // Calls of the VMs that read the store are not answered any more.
  void SilenceSources() {
    for (vm_state& vm : vms_) vm.is_cut = vm.sources.ReadsStore();
  }
  // The store refuses the calls of the VMs that read it for others.
  void RefuseSources() {
    for (vm_state& vm : vms_) vm.is_refused = vm.sources.ReadsStore();
  }
  // The store refuses all calls, or none again.
  void SetOutage(bool refused) {
    for (vm_state& vm : vms_) vm.is_refused = refused;
  }
  int CallsIn(duration time) {
    calls_ = 0;
    Run(time);
    return calls_;
  }
  // Reads beyond these are refused.
  void SetReadsPerS(int reads) { reads_per_s_ = reads; }

  // Returns how long it takes until a new version is in force at each VM that
  // isn't cut off.
  duration Declare() {
    ++version_;
    declared_at_ = now_;
    const auto is_behind = [this](const vm_state& vm) {
      return !vm.is_cut && !vm.is_refused && vm.version < version_;
    };
    while (now_ - declared_at_ < 3 * kBound &&
           std::any_of(vms_.begin(), vms_.end(), is_behind)) {
      Run(kStep);
    }
    return now_ - declared_at_;
  }
  void Run(duration time) {
    for (const monotonic_time end = now_ + time; now_ < end; now_ += kStep) {
      Deliver();
      for (std::size_t i = 0; i < vms_.size(); ++i) {
        const auto offset = kTick * static_cast<int>(i % 10) / 10;
        if ((now_.time_since_epoch() - offset) % kTick < kStep) Tick(i);
      }
    }
  }
  double CallsPerS(duration time) {
    calls_ = 0;
    Run(time);
    return calls_ / ToSeconds(time);
  }

 private:
  struct question {
    std::size_t asker = 0;
    std::uint64_t number = 0;
    int version = 0;
    monotonic_time asked_at;
    monotonic_time proven_at;
    duration wait;
  };
  struct vm_state {
    fleet_feed feed{feed_options{}};
    feed_sources sources;
    region_id region;
    int version = 0;
    std::uint64_t call = 0;  // Number of the call under way.
    std::vector<question> waiting;
    bool is_cut = false;
    bool is_refused = false;
  };

  void At(monotonic_time when, std::function<void()> what) {
    events_.emplace(when, std::move(what));
  }
  void Deliver() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
  }
  duration DelayOf(const vm_state& vm) const {
    return vm.region.Str() == "r0" ? milliseconds(2) : store_delay_;
  }

  void Tick(std::size_t i) {
    vm_state& vm = vms_[i];
    if (vm.feed.StartRefresh(now_)) Refresh(i);
    const auto source = vm.sources.Next(now_);
    const auto order = vm.feed.NextCall(now_, source.has_value());
    if (order) {
      const std::uint64_t call = ++vm.call;
      if (order->relayed) {
        Ask(i, *source, call, order->wait);
      } else if (order->what == fleet_feed::call::kRange) {
        Read(i, call);
      } else {
        Watch(i, call, order->wait);
      }
    }
    AnswerQuestions(i);
  }

  bool IsRefused(const vm_state& vm) {
    ++calls_;
    if (vm.is_refused) return true;
    read_times_.push_back(now_);
    while (read_times_.front() <= now_ - seconds(1)) {
      read_times_.erase(read_times_.begin());
    }
    return static_cast<int>(read_times_.size()) > reads_per_s_;
  }

  void Refresh(std::size_t i) {
    const monotonic_time sent = now_;
    if (vms_[i].is_cut) {
      At(sent + kAnswerLimit,
         [this, i, sent] { vms_[i].feed.OnRefreshFailed(sent); });
      return;
    }
    const bool refused = IsRefused(vms_[i]);
    const int version = version_;
    At(sent + DelayOf(vms_[i]), [this, i, sent, refused, version] {
      if (refused) return vms_[i].feed.OnRefreshFailed(sent);
      vms_[i].version = std::max(vms_[i].version, version);
      vms_[i].feed.OnRefreshed(static_cast<std::uint64_t>(version), sent, now_);
    });
  }
  void Fail(std::size_t i, std::uint64_t call, monotonic_time when) {
    At(when, [this, i, call] {
      if (vms_[i].call == call) vms_[i].feed.OnFailed(now_);
    });
  }
  void Read(std::size_t i, std::uint64_t call) {
    if (vms_[i].is_cut) return Fail(i, call, now_ + 2 * kAnswerLimit);
    if (IsRefused(vms_[i])) return Fail(i, call, now_ + DelayOf(vms_[i]));
    const int version = version_;
    At(now_ + DelayOf(vms_[i]), [this, i, version] {
      vms_[i].version = std::max(vms_[i].version, version);
      vms_[i].feed.OnRange(static_cast<std::uint64_t>(version), now_);
    });
  }
  void Watch(std::size_t i, std::uint64_t call, duration wait) {
    if (vms_[i].is_cut) return Fail(i, call, now_ + wait + kAnswerLimit);
    if (IsRefused(vms_[i])) return Fail(i, call, now_ + DelayOf(vms_[i]));
    PollWatch(i, call, vms_[i].version, now_ + DelayOf(vms_[i]) / 2 + wait,
              now_ + wait + kAnswerLimit);
  }
  // Looks at a waiting watch from step to step.
  void PollWatch(std::size_t i, std::uint64_t call, int known,
                 monotonic_time until, monotonic_time deadline) {
    vm_state& vm = vms_[i];
    if (vm.is_cut || stalled_) return Fail(i, call, deadline);
    const bool has_news = version_ > known;
    if (!has_news && now_ < until) {
      At(now_ + kStep,
         [=, this] { PollWatch(i, call, known, until, deadline); });
      return;
    }
    const int version = version_;
    At(now_ + DelayOf(vm) / 2, [this, i, has_news, version] {
      vms_[i].version = std::max(vms_[i].version, version);
      vms_[i].feed.OnEvents(static_cast<std::uint64_t>(version), has_news,
                            now_);
    });
  }

  void Ask(std::size_t i, const vm_id& source, std::uint64_t call,
           duration wait) {
    const std::size_t s = index_.at(source);
    At(now_ + milliseconds(1), [this, i, s, call, wait] {
      vm_state& asked = vms_[s];
      if (!asked.feed.CanServeOthers(now_)) {
        return OnRelayFailed(i, s, call, true);
      }
      asked.waiting.push_back(
          {i, call, vms_[i].version, now_, *asked.feed.ProvenAt(), wait});
    });
    At(now_ + wait + kRelayLimit,
       [this, i, s, call] { OnRelayFailed(i, s, call, false); });
  }
  void OnRelayFailed(std::size_t i, std::size_t s, std::uint64_t call,
                     bool refused) {
    vm_state& vm = vms_[i];
    if (vm.call != call) return;
    ++vm.call;
    const vm_id source(fmt::format("vm{}", s));
    if (refused) {
      vm.sources.OnRefused(source, now_);
      return vm.feed.OnRelayRefused(now_);
    }
    vm.sources.OnFailed(source, now_);
    vm.feed.OnRelayFailed(now_);
  }
  void AnswerQuestions(std::size_t s) {
    vm_state& vm = vms_[s];
    const feed_options& options = vm.feed.Options();
    const bool current = vm.feed.CanServeOthers(now_);
    std::erase_if(vm.waiting, [&](const question& q) {
      const bool is_due =
          !current || now_ >= q.asked_at + q.wait ||
          *vm.feed.ProvenAt() - q.proven_at >= options.proof_step ||
          vm.version > q.version;
      if (!is_due) return false;
      const duration held = now_ - q.asked_at;
      const duration age = now_ - *vm.feed.ProvenAt();
      const int version = vm.version;
      At(now_ + milliseconds(1), [this, s, q, current, held, age, version] {
        if (!current) return OnRelayFailed(q.asker, s, q.number, true);
        vm_state& asker = vms_[q.asker];
        if (asker.call != q.number) return;
        ++asker.call;
        asker.sources.OnAnswered(vm_id(fmt::format("vm{}", s)));
        asker.version = std::max(asker.version, version);
        asker.feed.OnRelayed(static_cast<std::uint64_t>(version), held, age, {},
                             now_);
      });
      return true;
    });
  }

  duration store_delay_;
  monotonic_time now_{std::chrono::hours(1)};
  std::vector<vm_state> vms_;
  std::map<vm_id, std::size_t> index_;
  std::multimap<monotonic_time, std::function<void()>> events_;
  int version_ = 0;
  monotonic_time declared_at_;
  bool stalled_ = false;
  int reads_per_s_ = 2000;
  std::vector<monotonic_time> read_times_;
  int calls_ = 0;
};

constexpr int kFleets[] = {1, 10, 84};
constexpr duration kStoreDelays[] = {milliseconds(2), milliseconds(110)};

void CheckInTime(duration time, const std::string& what) {
  BOOST_TEST_MESSAGE(fmt::format("{}: {:.0f} ms", what, ToMilliseconds(time)));
  BOOST_TEST((time <= kBound), what << ": " << ToMilliseconds(time) << " ms");
}

BOOST_AUTO_TEST_SUITE(fleet)

// Guards against VMs that each wait for a silent call of their own, one after
// the other.
BOOST_AUTO_TEST_CASE(VersionIsInForceInTimeWhileWatchesStall) {
  for (const int vms : kFleets) {
    for (const duration delay : kStoreDelays) {
      duration worst{};
      for (int ms = 0; ms < 2500; ms += 100) {
        feed_fleet fleet(vms, delay);
        fleet.Run(milliseconds(37 * ms / 100));
        fleet.StallWatches();
        fleet.Run(milliseconds(ms));
        worst = std::max(worst, fleet.Declare());
      }
      CheckInTime(worst, fmt::format("{} VMs, {} ms to the store", vms,
                                     ToMilliseconds(delay)));
    }
  }
}

// The VMs that read the store lose it at the same moment, and all others come
// to it, where reads beyond a limit are refused.
BOOST_AUTO_TEST_CASE(VersionIsInForceInTimeBehindSilentSources) {
  for (const int vms : {10, 84}) {
    duration worst{};
    for (int ms = 0; ms < 2500; ms += 100) {
      feed_fleet fleet(vms, milliseconds(110));
      fleet.Run(milliseconds(37 * ms / 100));
      fleet.SetReadsPerS(vms == 10 ? 40 : 200);
      fleet.SilenceSources();
      fleet.Run(milliseconds(ms));
      worst = std::max(worst, fleet.Declare());
    }
    CheckInTime(worst, fmt::format("{} VMs, sources cut off", vms));
  }
}

// While nothing happens only the VMs that read the store call it.
BOOST_AUTO_TEST_CASE(CallsGrowWithRegionsAlone) {
  for (const int vms : {10, 84}) {
    for (const duration delay : kStoreDelays) {
      feed_fleet fleet(vms, delay);
      const double calls = fleet.CallsPerS(seconds(60));
      BOOST_TEST_MESSAGE(
          fmt::format("{} VMs: {:.2f} calls a second", vms, calls));
      BOOST_TEST(calls < 3 * 1.5);
    }
  }
}

// Returns the calls that the VMs of three regions that read the store for
// others make in such a time if each fails.
int CallsOfSources(duration time) {
  return 3 * static_cast<int>(time / feed_options{}.retry_interval);
}

// Guards against VMs that all read the store at the same moment, since the VMs
// from which they read were refused by it and said so only when all copies were
// old.
BOOST_AUTO_TEST_CASE(VmsBehindRefusedSourcesReadFromOthers) {
  constexpr duration kRefused = seconds(9);
  for (const int vms : {84, 295}) {
    feed_fleet fleet(vms, milliseconds(110));
    fleet.RefuseSources();
    const int calls = fleet.CallsIn(kRefused);
    BOOST_TEST_MESSAGE(fmt::format("{} VMs: {} calls", vms, calls));
    BOOST_TEST(calls < CallsOfSources(kRefused) + vms);
  }
}

// Guards against VMs that take the word of others for an outage of the store
// and come late to a version that they could read.
BOOST_AUTO_TEST_CASE(VersionIsInForceInTimeBehindRefusedSources) {
  for (const int vms : {10, 84}) {
    duration worst{};
    for (int ms = 0; ms < 5000; ms += 100) {
      feed_fleet fleet(vms, milliseconds(110));
      fleet.Run(milliseconds(37 * ms / 100));
      fleet.RefuseSources();
      fleet.Run(milliseconds(ms));
      worst = std::max(worst, fleet.Declare());
    }
    CheckInTime(worst, fmt::format("{} VMs, sources refused", vms));
  }
}

// Guards against an outage of the store in which all VMs call it again and
// again, and a return to which all come at once.
BOOST_AUTO_TEST_CASE(FewCallsAreMadeInAnOutage) {
  constexpr duration kOutage = milliseconds(4500);
  constexpr duration kReturn = seconds(4);
  for (const int vms : {84, 295}) {
    feed_fleet fleet(vms, milliseconds(110));
    fleet.SetOutage(true);
    const int during = fleet.CallsIn(kOutage);
    fleet.SetOutage(false);
    const int after = fleet.CallsIn(kReturn);
    BOOST_TEST_MESSAGE(
        fmt::format("{} VMs: {} calls, {} after", vms, during, after));
    BOOST_TEST(during + after < CallsOfSources(kOutage + kReturn) + 4 * vms);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
