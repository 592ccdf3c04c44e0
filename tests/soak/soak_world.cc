#include "soak/soak_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <random>
#include <utility>

namespace citron {

namespace {

using json = nlohmann::json;
using kind = disturbance_kind;

constexpr duration kTick = std::chrono::milliseconds(5);
constexpr duration kLookUpInterval = std::chrono::milliseconds(500);
constexpr duration kRegisterInterval = std::chrono::milliseconds(700);
constexpr double kEntryTtl = 3;
constexpr int kDeadlineMs = 2000;
constexpr duration kCallLimit = std::chrono::milliseconds(2300);
constexpr double kFloodFactor = 8;
// The limited workspace's part of the requests: below its rate.
constexpr double kLimitedPart = 0.2;
constexpr int kWorkspaces = 3;
constexpr int kKeysOfEach = 3;
constexpr int kFrontPort = 8206;
constexpr int kReadyPort = 8201;
constexpr int kLookUpPort = 8209;

std::string KeyName(int workspace, int number) {
  return fmt::format("key-{}-{}", workspace, number);
}

}  // namespace

soak_world::soak_world(const soak_plan& plan)
    : plan_(plan),
      random_(plan.seed, 1),
      ledger_(soak_ledger::bounds{}),
      callers_(Caller().Loop()),
      tick_(Caller().Loop(), [this] { OnTick(); }) {
  for (int zone = 0; zone < plan_.zones; ++zone) {
    for (int i = 0; i < plan_.upstreams_in_zone; ++i) {
      upstreams_.push_back(std::make_unique<soak_upstream>(
          Caller().Loop(), fmt::format("u{}", upstreams_.size()), Address(3),
          zone, plan_.seed + upstreams_.size(), ledger_));
    }
    for (int i = 0; i < plan_.vms_in_zone; ++i) {
      vm added;
      added.name = fmt::format("vm{}", vms_.size());
      added.zone = zone;
      added.address = Address(10 + static_cast<int>(vms_.size()));
      vms_.push_back(std::move(added));
    }
  }
}

soak_world::~soak_world() {
  // One that is paused would not see its end.
  for (const vm& v : vms_) {
    if (v.process != nullptr && v.is_paused) v.process->Signal(SIGCONT);
  }
}

void soak_world::StartNetwork() {
  platform_ = StartPlatform({{"kv", json::object()}});
  store_ = std::make_unique<soak_store>(Caller().Loop(), platform_);
  json routes = json::array();
  const auto add = [&](const std::string& name, const endpoint& target) {
    routes.push_back({{"name", name},
                      {"listen", Address(2) + ":0"},
                      {"target", target.Str()}});
  };
  for (const vm& v : vms_) add(v.name, platform_);
  for (const auto& u : upstreams_) add(u->Id(), u->Address());
  proxy_ = StartProxy(routes);
  const json listed = Caller().GetJson(proxy_, "/admin/routes");
  for (const json& route : listed.at("routes")) {
    routes_[route.at("name")] =
        *ParseEndpoint(route.at("listen").get<std::string>());
  }
  for (vm& v : vms_) v.store = routes_.at(v.name);
}

std::string soak_world::SettingsOf(const vm& which) const {
  std::string zones;
  for (int zone = 0; zone < plan_.zones; ++zone) {
    zones += fmt::format("{} = \"r{}\"\n", ZoneName(zone), zone % 2);
  }
  return fmt::format(
      "nodeName = \"{0}\"\nzone = \"{1}\"\nregion = \"r{2}\"\n"
      "internalPorts = [7600,7615]\n"
      "bounds = [\"gracePeriodS=4\",\"revokeS=3\"]\n"
      "[zones]\n{3}[listen]\nfront = \"{4}:{5}\"\nready = \"{4}:{6}\"\n"
      "directory = \"{4}:{7}\"\n"
      "[limits]\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n"
      "[provider]\naddress = \"{8}\"\n",
      which.name, ZoneName(which.zone), which.zone % 2, zones, which.address,
      kFrontPort, kReadyPort, kLookUpPort, which.store.Str());
}

void soak_world::StartVm(vm& which) {
  const std::string file = WriteFile(which.name + ".toml", SettingsOf(which));
  which.process =
      &harness::Start(which.name, "citron_node", {"--config", file});
  which.is_paused = false;
}

void soak_world::SetRoute(const std::string& route, json fault) {
  fault["route"] = route;
  callers_.Call(proxy_, {"POST", "/admin/fault", {}, fault.dump()},
                MonotonicNow() + kCallLimit,
                [](const http_response*, const call_failure&) {});
}

json soak_world::Routing() const {
  // The HTTP library names a server by its address.
  json routes = json::array();
  for (const vm& v : vms_) {
    const auto add = [&](const std::string& name, const char* repetition,
                         bool sticks) {
      routes.push_back({name + "-" + v.name, v.address, "/" + name + "/",
                        repetition, 2, 1, 2, "s", sticks});
    };
    add("look", "idempotent", true);
    add("book", "non_idempotent", false);
    if (route_is_added_) add("new", "idempotent", true);
  }
  json workspaces = json::array();
  const soak_ledger::bounds bounds;
  for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
    json keys = json::array();
    for (int i = 0; i < kKeysOfEach; ++i) {
      const std::string key = KeyName(workspace, i);
      if (!withdrawn_.contains(key)) keys.push_back(key);
    }
    const double rate = workspace == 0 ? bounds.rate_per_s : 0;
    const double burst = workspace == 0 ? bounds.burst : 0;
    workspaces.push_back(
        json::array({fmt::format("w{}", workspace), keys, rate, burst}));
  }
  return {{"version", version_},
          {"routes",
           {{"columns",
             {"name", "host", "pathPrefix", "routeType", "timeoutS",
              "targetLatencyS", "attempts", "service", "stickySessions"}},
            {"rows", routes}}},
          {"services",
           {{"columns", {"name", "coldStartS", "coldPerS"}},
            {"rows", json::array({{"s", 0.2, 20}})}}},
          {"tenants",
           {{"columns", {"name", "apiKeys", "ratePerS", "burst"}},
            {"rows", workspaces}}}};
}

json soak_world::EntryOf(const soak_upstream& upstream) const {
  const registration& entry = registrations_.at(upstream.Id());
  return {{"address", routes_.at(upstream.Id()).Str()},
          {"born", upstream.BornMs()},
          {"info",
           {{"service", "s"},
            {"version", "v1"},
            {"zone", ZoneName(upstream.Zone())},
            {"slots", 4}}},
          {"status",
           {{"state", entry.draining ? "draining" : "ready"},
            {"seq", entry.sequence},
            {"coldRemainingS", 0}}}};
}

// Its entry lapses when it is silent or the store is down, and is back soon
// after that.
void soak_world::Register(soak_upstream& upstream) {
  registration& entry = registrations_[upstream.Id()];
  if (!upstream.IsUp() || entry.under_way) return;
  entry.under_way = true;
  const auto done = [this, id = upstream.Id()](bool ok) {
    registration& own = registrations_[id];
    own.under_way = false;
    if (!ok) own.lease = 0;
  };
  if (entry.lease != 0) {
    ++entry.sequence;
    return store_->Keep(entry.lease, [this, &upstream, done](bool ok) {
      if (!ok) return done(false);
      store_->Put("servers/" + upstream.Id(), EntryOf(upstream), done,
                  registrations_[upstream.Id()].lease);
    });
  }
  store_->Grant(kEntryTtl, [this, &upstream, done](std::uint64_t lease) {
    if (lease == 0) return done(false);
    registrations_[upstream.Id()].lease = lease;
    store_->Put("servers/" + upstream.Id(), EntryOf(upstream), done, lease);
  });
}

void soak_world::OnTick() {
  const monotonic_time now = MonotonicNow();
  tick_.Arm(now + kTick);
  if (now >= register_at_) {
    register_at_ = now + kRegisterInterval;
    for (const auto& upstream : upstreams_) Register(*upstream);
  }
  if (!sending_) return;
  if (now >= look_up_at_) {
    look_up_at_ = now + kLookUpInterval;
    LookUp();
  }
  SendDue(now);
}

void soak_world::LookUp() {
  const vm& asked = vms_[random_(static_cast<std::uint32_t>(vms_.size()))];
  const std::string target =
      fmt::format("/-/resolve?name=soak&region=r{}&zone={}", asked.zone % 2,
                  ZoneName(asked.zone));
  callers_.Call({asked.address, kLookUpPort}, {"GET", target, {}, ""},
                MonotonicNow() + std::chrono::seconds(1),
                [this](const http_response* response, const call_failure&) {
                  if (response == nullptr) return;
                  const json body = json::parse(response->body, nullptr, false);
                  if (!body.is_object() || !body.contains("addresses")) return;
                  named_.clear();
                  for (std::size_t i = 0; i < vms_.size(); ++i) {
                    const endpoint front{vms_[i].address, kFrontPort};
                    for (const json& address : body.at("addresses")) {
                      if (address == front.Str()) {
                        named_.push_back(static_cast<int>(i));
                      }
                    }
                  }
                });
}

int soak_world::ChooseVm() {
  if (named_.empty()) {
    return static_cast<int>(random_(static_cast<std::uint32_t>(vms_.size())));
  }
  return named_[random_(static_cast<std::uint32_t>(named_.size()))];
}

void soak_world::SendDue(monotonic_time now) {
  const double limited =
      plan_.requests_per_s * kLimitedPart * (flood_ > 0 ? kFloodFactor : 1);
  const double others = plan_.requests_per_s * (1 - kLimitedPart);
  owed_ += (limited + others) * ToSeconds(now - owed_at_);
  owed_at_ = now;
  for (; owed_ >= 1; owed_ -= 1) {
    std::uniform_real_distribution<double> draw(0, limited + others);
    const bool is_limited = draw(random_) < limited;
    const int workspace =
        is_limited ? 0 : 1 + static_cast<int>(random_(kWorkspaces - 1));
    Send(true, workspace);
  }
}

void soak_world::Send(bool may_repeat, int workspace) {
  soak_attempt attempt;
  attempt.id = fmt::format("{}-{}", plan_.seed, ++last_id_);
  attempt.vm = ChooseVm();
  attempt.workspace = workspace;
  attempt.key = KeyName(workspace, static_cast<int>(random_(kKeysOfEach)));
  const auto drawn = random_(10);
  attempt.once = drawn < 4;
  attempt.route_is_new = route_is_added_ && drawn == 9;
  attempt.path = fmt::format(
      "/{}/{}", attempt.once ? "book" : (attempt.route_is_new ? "new" : "look"),
      attempt.id);
  attempt.sent = MonotonicNow();
  http_request request{attempt.once ? "POST" : "GET",
                       attempt.path,
                       {{"X-Request-Id", attempt.id},
                        {"X-Affinity-Key", std::to_string(random_(40))},
                        {"X-Deadline-Ms", std::to_string(kDeadlineMs)},
                        {"Authorization", "Bearer " + attempt.key}},
                       attempt.once ? "order " + attempt.id : ""};
  ledger_.OnSent(attempt);
  ++open_;
  const endpoint front{vms_[static_cast<std::size_t>(attempt.vm)].address,
                       kFrontPort};
  callers_.Call(front, request, attempt.sent + kCallLimit,
                [this, attempt, may_repeat](const http_response* response,
                                            const call_failure& failure) {
                  OnCallEnd(attempt, response, failure, may_repeat);
                });
}

void soak_world::OnCallEnd(soak_attempt attempt, const http_response* response,
                           const call_failure& failure, bool may_repeat) {
  --open_;
  attempt.ended = MonotonicNow();
  attempt.was_sent = response != nullptr || failure.bytes_sent;
  if (response != nullptr) {
    attempt.status = response->head.status;
    const auto header = [response](const char* name) {
      return std::string(FindHeader(response->head.headers, name).value_or(""));
    };
    attempt.is_own_answer =
        response->body == "answer to " + attempt.id &&
        header("X-Request-Id") == attempt.id &&
        header("X-Upstream-Signature").ends_with("." + attempt.id);
  }
  ledger_.OnEnded(attempt);
  const bool promised = attempt.status == 503 || attempt.status == 429;
  const bool failed = attempt.status == 0 || attempt.status >= 500;
  const bool repeats =
      attempt.once ? promised || !attempt.was_sent : promised || failed;
  if (may_repeat && repeats && sending_) Send(false, attempt.workspace);
}

bool* soak_world::FaultOf(kind which, soak_upstream& target) {
  upstream_behaviour& behaviour = target.Behaviour();
  switch (which) {
    case kind::kUpstreamFails:
      return &behaviour.fails;
    case kind::kUpstreamSheds:
      return &behaviour.sheds;
    case kind::kUpstreamAsksForPauses:
      return &behaviour.asks_for_pauses;
    case kind::kUpstreamSaysItLeaves:
      return &behaviour.says_it_leaves;
    case kind::kUpstreamLosesAnswers:
      return &behaviour.loses_answers;
    case kind::kUpstreamAnswersLate:
      return &behaviour.answers_late;
    case kind::kUpstreamCutsAnswers:
      return &behaviour.cuts_answers;
    default:
      return nullptr;
  }
}

void soak_world::BeginUpstream(const disturbance& what, soak_upstream& target) {
  const monotonic_time now = MonotonicNow();
  if (bool* fault = FaultOf(what.kind, target)) *fault = true;
  switch (what.kind) {
    case kind::kUpstreamCrashed:
      ledger_.OnDisturbed(soak_ledger::kWays, now);
      return target.Crash();
    case kind::kUpstreamLeaves:
      registrations_[target.Id()].draining = true;
      return store_->PutSurely("servers/" + target.Id(), EntryOf(target),
                               [this, &target](monotonic_time at) {
                                 if (registrations_[target.Id()].draining) {
                                   ledger_.OnLeaving(target.Id(), at);
                                 }
                               });
    case kind::kUpstreamWayDelayed:
      ledger_.OnDisturbed(soak_ledger::kWays, now);
      return SetRoute(target.Id(), {{"delay_ms", 120}});
    case kind::kUpstreamWayReset:
      ledger_.OnDisturbed(soak_ledger::kWays, now);
      return SetRoute(target.Id(), {{"reset", true}});
    default:
      return;
  }
}

void soak_world::EndUpstream(const disturbance& what, soak_upstream& target) {
  const monotonic_time now = MonotonicNow();
  if (bool* fault = FaultOf(what.kind, target)) *fault = false;
  switch (what.kind) {
    case kind::kUpstreamCrashed:
      ledger_.OnCalmAgain(soak_ledger::kWays, now);
      return target.Start();
    case kind::kUpstreamLeaves:
      registrations_[target.Id()].draining = false;
      return ledger_.OnBack(target.Id());
    case kind::kUpstreamSaysItLeaves:
      ledger_.OnDisturbed(soak_ledger::kWays, now);
      target.Restart();
      return ledger_.OnCalmAgain(soak_ledger::kWays, now);
    case kind::kUpstreamWayDelayed:
    case kind::kUpstreamWayReset:
      ledger_.OnCalmAgain(soak_ledger::kWays, now);
      return SetRoute(target.Id(), json::object());
    default:
      return;
  }
}

void soak_world::BeginVm(const disturbance& what, vm& target) {
  const monotonic_time now = MonotonicNow();
  const int number = static_cast<int>(&target - vms_.data());
  const bool interrupts = what.kind == kind::kVmKilled ||
                          what.kind == kind::kVmStopped ||
                          what.kind == kind::kVmPaused;
  if (interrupts) ledger_.OnVmInterrupted(number);
  const bool runs = target.down == 0;
  switch (what.kind) {
    case kind::kVmKilled:
      ledger_.OnDisturbed(number, now);
      if (target.down++ == 0) target.process->Kill();
      return;
    case kind::kVmStopped:
      ledger_.OnPlanned(number, now);
      if (target.down++ == 0) target.process->Signal(SIGTERM);
      return;
    case kind::kVmPaused:
      ledger_.OnDisturbed(number, now);
      if (!runs) return;
      target.process->Signal(SIGSTOP);
      target.is_paused = true;
      return;
    case kind::kVmReloaded:
      if (runs) target.process->Signal(SIGHUP);
      return;
    case kind::kStoreCutFromVm:
      ledger_.OnDisturbed(number, now);
      return SetRoute(target.name, {{"cut", true}});
    case kind::kStoreResetForVm:
      ledger_.OnDisturbed(number, now);
      return SetRoute(target.name, {{"reset", true}});
    default:
      return;
  }
}

void soak_world::EndVm(const disturbance& what, vm& target) {
  const monotonic_time now = MonotonicNow();
  const int number = static_cast<int>(&target - vms_.data());
  switch (what.kind) {
    case kind::kVmKilled:
    case kind::kVmStopped:
      if (--target.down == 0) {
        // A planned stop that lasts longer is ended, as its platform does.
        if (!target.process->Exit()) {
          Caller().WaitFor([&] {
            return target.process->Exit().has_value() ||
                   MonotonicNow() > now + std::chrono::seconds(4);
          });
          target.process->Kill();
        }
        StartVm(target);
      }
      if (what.kind == kind::kVmKilled) {
        return ledger_.OnCalmAgain(number, MonotonicNow());
      }
      return ledger_.OnPlannedEnd(number, MonotonicNow());
    case kind::kVmPaused:
      if (target.is_paused) target.process->Signal(SIGCONT);
      target.is_paused = false;
      return ledger_.OnCalmAgain(number, now);
    case kind::kStoreCutFromVm:
    case kind::kStoreResetForVm:
      SetRoute(target.name, json::object());
      return ledger_.OnCalmAgain(number, now);
    default:
      return;
  }
}

// One version after the other: a write that is tried again while a later one
// has been acknowledged would put the older version back.
void soak_world::WriteRouting() {
  ++version_;
  if (!routing_is_written_) return;
  routing_is_written_ = false;
  store_->PutSurely("op/config", Routing(),
                    [this, version = version_, withdrawn = withdrawn_,
                     added = route_is_added_](monotonic_time at) {
                      for (const std::string& key : withdrawn) {
                        ledger_.OnKeyWithdrawn(key, at);
                      }
                      if (added) ledger_.OnRouteAdded(at);
                      routing_is_written_ = true;
                      if (version < version_) WriteRouting();
                    });
}

void soak_world::SetStoreFault(const json& fault) {
  callers_.Call(platform_, {"POST", "/admin/fault", {}, fault.dump()},
                MonotonicNow() + kCallLimit,
                [](const http_response*, const call_failure&) {});
}

void soak_world::Begin(const disturbance& what) {
  const monotonic_time now = MonotonicNow();
  const auto number = static_cast<std::size_t>(what.target);
  const json no_fault = json::object();
  const auto store_fault = [this](const json& fault) { SetStoreFault(fault); };
  const int zone = what.target % plan_.zones;
  switch (what.kind) {
    case kind::kAllVmsKilled:
      for (std::size_t i = 0; i < vms_.size(); ++i) {
        BeginVm({kind::kVmKilled, 0, 0, 0}, vms_[i]);
      }
      return;
    case kind::kStoreDown:
      ledger_.OnDisturbed(soak_ledger::kStore, now);
      return store_fault({{"outage", true}});
    case kind::kStoreSlow:
      ledger_.OnDisturbed(soak_ledger::kStore, now);
      return store_fault({{"delay_ms", 250}});
    case kind::kStoreLosesAnswers:
      ledger_.OnDisturbed(soak_ledger::kStore, now);
      return store_fault({{"lose_answers", 4}});
    case kind::kStoreStallsWatches:
      // All promises hold meanwhile.
      return store_fault({{"stall_watches", true}});
    case kind::kStoreMutesWatches:
      ledger_.OnDisturbed(soak_ledger::kStore, now);
      return store_fault({{"mute_watches", true}});
    case kind::kZoneClosed:
      return store_->PutSurely(
          "op/evacuate/" + ZoneName(zone), true,
          [this, zone](monotonic_time at) { ledger_.OnZoneClosed(zone, at); });
    case kind::kRouteAdded:
      route_is_added_ = true;
      return WriteRouting();
    case kind::kKeyWithdrawn: {
      // The first key of each workspace stays.
      const std::string key = KeyName(what.target % kWorkspaces,
                                      1 + what.target / 7 % (kKeysOfEach - 1));
      ledger_.OnWithdrawing(key);
      withdrawn_.insert(key);
      return WriteRouting();
    }
    case kind::kFlood:
      ++flood_;
      return;
    default:
      BeginVm(what, vms_[number % vms_.size()]);
      return BeginUpstream(what, *upstreams_[number % upstreams_.size()]);
  }
}

void soak_world::End(const disturbance& what) {
  const monotonic_time now = MonotonicNow();
  const auto number = static_cast<std::size_t>(what.target);
  const int zone = what.target % plan_.zones;
  switch (what.kind) {
    case kind::kAllVmsKilled:
      for (std::size_t i = 0; i < vms_.size(); ++i) {
        EndVm({kind::kVmKilled, 0, 0, 0}, vms_[i]);
      }
      return;
    case kind::kStoreDown:
    case kind::kStoreSlow:
    case kind::kStoreLosesAnswers:
      SetStoreFault({{"outage", false}, {"delay_ms", 0}, {"lose_answers", 0}});
      return ledger_.OnCalmAgain(soak_ledger::kStore, now);
    case kind::kStoreStallsWatches:
      return SetStoreFault({{"stall_watches", false}});
    case kind::kStoreMutesWatches:
      SetStoreFault({{"mute_watches", false}});
      return ledger_.OnCalmAgain(soak_ledger::kStore, now);
    case kind::kZoneClosed:
      ledger_.OnZoneOpened(zone);
      return store_->RemoveSurely("op/evacuate/" + ZoneName(zone),
                                  [](monotonic_time) {});
    case kind::kFlood:
      --flood_;
      return;
    default:
      EndVm(what, vms_[number % vms_.size()]);
      return EndUpstream(what, *upstreams_[number % upstreams_.size()]);
  }
}

bool soak_world::IsDue(double at_s) const {
  return MonotonicNow() >= started_ + FromSeconds(at_s);
}

void soak_world::Play() {
  StartNetwork();
  bool written = false;
  store_->PutSurely("op/config", Routing(),
                    [&written](monotonic_time) { written = true; });
  BOOST_REQUIRE(Caller().WaitFor([&] { return written; }));
  for (vm& v : vms_) StartVm(v);
  tick_.Arm(MonotonicNow());
  BOOST_REQUIRE(Caller().WaitFor([this] {
    return std::all_of(vms_.begin(), vms_.end(), [this](const vm& v) {
      const caller_call ready =
          Caller().Call({v.address, kReadyPort}, {"GET", "/-/ready", {}, ""});
      return ready.answered && ready.response.head.status == 200;
    });
  }));
  started_ = MonotonicNow();
  owed_at_ = started_;
  sending_ = true;
  std::vector<disturbance> going;
  std::size_t next = 0;
  while (!IsDue(plan_.seconds)) {
    Caller().WaitFor([&, until = MonotonicNow() + kTick] {
      return MonotonicNow() >= until;
    });
    while (next < plan_.disturbances.size() &&
           IsDue(plan_.disturbances[next].at_s)) {
      Begin(plan_.disturbances[next]);
      going.push_back(plan_.disturbances[next++]);
    }
    for (std::size_t i = 0; i < going.size();) {
      if (!IsDue(going[i].EndsAt())) {
        ++i;
        continue;
      }
      const disturbance ended = going[i];
      going.erase(going.begin() + static_cast<std::ptrdiff_t>(i));
      End(ended);
    }
  }
  sending_ = false;
  BOOST_REQUIRE(Caller().WaitFor([this] { return open_ == 0; }));
  tick_.Disarm();
  // Half of the calm time is for what was lost to be found again.
  const double calm_s = plan_.seconds - plan_.calm_from_s;
  ledger_.CheckAll(started_ + FromSeconds(plan_.calm_from_s + calm_s / 2));
}

std::string soak_world::Report() const {
  std::string text =
      fmt::format("seed {}: {} VMs, {} upstreams, {} disturbances; {}\n",
                  plan_.seed, vms_.size(), upstreams_.size(),
                  plan_.disturbances.size(), ledger_.Summary());
  for (const disturbance& what : plan_.disturbances) {
    text += "  " + Describe(what) + "\n";
  }
  for (const std::string& broken : ledger_.Broken()) {
    text += "  BROKEN " + broken + "\n";
  }
  return text;
}

}  // namespace citron
