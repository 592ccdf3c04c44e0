#include "citron/policy/service_scheduler.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "policy/zone_simulation.h"

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// 16 slots, 40 ms each.
constexpr double kCapacity = 400;

scheduler_options Options() {
  scheduler_options options;
  options.expected_times["lookup"] = milliseconds(40);
  options.expected_times["report"] = seconds(4);
  return options;
}

std::unique_ptr<dispatch_policy> Scheduler(
    const std::vector<simulated_upstream>& upstreams,
    scheduler_options options = Options()) {
  return std::make_unique<scheduler_policy>(std::move(options),
                                            Capacities(upstreams), 7);
}

simulation_result Play(const std::vector<simulated_upstream>& upstreams,
                       const std::vector<simulated_load>& loads, duration time,
                       duration skip = {}) {
  std::vector<std::unique_ptr<dispatch_policy>> owners;
  owners.push_back(Scheduler(upstreams));
  zone_simulation simulation(std::move(owners), upstreams, 11);
  simulation.SetReports(milliseconds(500), milliseconds(700));
  for (const simulated_load& load : loads) simulation.AddLoad(load);
  return simulation.Run(time, skip);
}

void CheckNobodyIsOverrun(const simulation_result& result) {
  BOOST_TEST(result.most_over_slots <= 0);
  BOOST_TEST(result.refused_after_deadline == 0);
}

double WorstPartOfFair(const simulation_result& result,
                       const std::vector<simulated_load>& loads,
                       double capacity, double time_s) {
  std::map<workspace_id, std::pair<double, double>> wants;
  for (const auto& load : loads) {
    const auto& w = result.workspaces.at(load.workspace);
    wants[load.workspace] = {w.offered / time_s, load.weight};
  }
  double worst = 1e9;
  for (const auto& [id, fair] : FairParts(wants, capacity)) {
    worst = std::min(worst, result.workspaces.at(id).good / time_s / fair);
  }
  return worst;
}

// What a scheduler did, for tests that call it step by step.
struct by_hand {
  explicit by_hand(std::vector<upstream_capacity> upstreams,
                   scheduler_options options = Options())
      : scheduler(std::move(options), 3) {
    scheduler.SetUpstreams(upstreams, now);
  }

  scheduler_request Request(const std::string& id) const {
    return {.id = request_id(id),
            .workspace = workspace_id("w"),
            .fingerprint = std::hash<std::string>()(id),
            .request_class = "lookup",
            .idempotent = true,
            .arrived_at = now,
            .deadline = now + seconds(1)};
  }

  monotonic_time now = monotonic_time(seconds(100));
  service_scheduler scheduler;
};

template <class Action>
std::vector<Action> Only(const service_scheduler::actions& actions) {
  std::vector<Action> only;
  for (const auto& action : actions) {
    if (const auto* a = std::get_if<Action>(&action)) only.push_back(*a);
  }
  return only;
}

std::vector<upstream_capacity> Servers(int count, int slots) {
  std::vector<upstream_capacity> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back({upstream_id("u" + std::to_string(i)), slots});
  }
  return servers;
}

}  // namespace

// At dawn the yard clerks' look-ups are five times the usual for 20 s, twice
// of what the servers carry. A clerk whose look-up waits until it is of no use
// has a forklift stand still, and work done for it is lost to the others.
BOOST_AUTO_TEST_CASE(DawnBurst) {
  auto loads = LookupLoads(0.4 * kCapacity, milliseconds(600));
  for (auto& load : loads) {
    load.burst_factor = 5;
    load.burst_from = seconds(10);
    load.burst_to = seconds(30);
  }
  const auto result = Play(YardDesk(), loads, seconds(45));
  CheckNobodyIsOverrun(result);
  const double best = kCapacity * 20 + 0.4 * kCapacity * 25;
  BOOST_TEST(result.Good() > 0.95 * best);
  BOOST_TEST(result.sends < 1.02 * result.Good());
}

// The same burst with clerks who press the key again as soon as they are
// refused. What the servers are given must not grow with the asking.
BOOST_AUTO_TEST_CASE(DawnBurstWithCallersWhoAskAgain) {
  auto loads = LookupLoads(0.4 * kCapacity, milliseconds(2000));
  for (auto& load : loads) {
    load.burst_factor = 5;
    load.burst_from = seconds(10);
    load.burst_to = seconds(30);
    load.asks = 10;
    load.ask_again = milliseconds(100);
  }
  const auto result = Play(YardDesk(), loads, seconds(45));
  CheckNobodyIsOverrun(result);
  BOOST_TEST(result.asked > 1.5 * result.Offered());
  BOOST_TEST(result.sends < 1.1 * result.Good());
}

// A dispatch hands an upstream to its neighbour. The requests that it turns
// back at that moment were counted as in flight there, and the count was never
// taken back: the neighbour left slots alone that nobody filled, and its
// callers waited until their deadline beside an idle upstream.
BOOST_AUTO_TEST_CASE(EachEndOfARequestIsToldInTheCount) {
  by_hand hand(Servers(1, 2));
  const upstream_id upstream("u0");
  std::map<upstream_id, int> told;
  std::map<request_id, upstream_id> sent;
  const auto note = [&](const service_scheduler::actions& actions) {
    for (const scheduler_action& action : actions) {
      if (const auto* count = std::get_if<in_flight_action>(&action)) {
        told[count->upstream] = count->count;
      } else if (const auto* send = std::get_if<send_action>(&action)) {
        // Before the send, so that no hand-over in between misses it.
        BOOST_TEST(told[send->upstream] ==
                   hand.scheduler.InFlightAt(send->upstream));
        sent[send->id] = send->upstream;
      }
    }
  };
  for (const char* id : {"a", "b", "c"}) {
    note(hand.scheduler.OnRequest(hand.Request(id), hand.now));
  }
  BOOST_TEST(told[upstream] == 2);
  note(hand.scheduler.OnOutcome(request_id("a"), upstream_outcome::kAnswered,
                                hand.now));
  BOOST_TEST(told[upstream] == 2);
  BOOST_REQUIRE(sent.contains(request_id("c")));
  // Given away: what was about to be sent is turned back.
  note(hand.scheduler.OnOutcome(request_id("c"),
                                upstream_outcome::kLeavingNotRun, hand.now));
  BOOST_TEST(told[upstream] == 1);
  note(hand.scheduler.OnCancel(request_id("b"), hand.now));
  note(hand.scheduler.OnOutcome(request_id("b"), upstream_outcome::kCancelled,
                                hand.now));
  BOOST_TEST(told[upstream] == 0);
}

// Offered three times of what the servers carry. Without a refusal on arrival
// each request waits until it is too late, and hardly one is answered in time.
BOOST_AUTO_TEST_CASE(Saturation) {
  for (const double load_factor : {1.5, 3.0}) {
    const auto loads = LookupLoads(load_factor * kCapacity, milliseconds(500));
    const auto result = Play(YardDesk(), loads, seconds(40), seconds(5));
    CheckNobodyIsOverrun(result);
    BOOST_TEST(result.Good() > 0.95 * kCapacity * 35);
    BOOST_TEST(WorstPartOfFair(result, loads, kCapacity, 35) > 0.8);
  }
}

// One workspace sends ten times its part. The others must not notice.
BOOST_AUTO_TEST_CASE(OneWorkspaceTakesMostOfTheLoad) {
  auto loads = LookupLoads(0.9 * kCapacity, milliseconds(500));
  loads.back().rate_per_s *= 20;
  const auto result = Play(YardDesk(), loads, seconds(40), seconds(5));
  CheckNobodyIsOverrun(result);
  BOOST_TEST(WorstPartOfFair(result, loads, kCapacity, 35) > 0.8);
  for (std::size_t i = 0; i + 1 < loads.size(); ++i) {
    const auto& w = result.workspaces.at(loads[i].workspace);
    BOOST_TEST(w.good > 0.97 * w.offered);
  }
}

// Monthly reports of seconds come in among look-ups of milliseconds, more of
// them than there are slots. If they may take every slot, each look-up waits
// for the end of a report.
BOOST_AUTO_TEST_CASE(LongReportsAmongShortLookups) {
  const auto lookups = LookupLoads(0.35 * kCapacity, seconds(1));
  const auto alone = Play(YardDesk(), lookups, seconds(60), seconds(10));
  auto loads = lookups;
  simulated_load reports;
  reports.workspace = workspace_id("office");
  reports.weight = 4;
  reports.request_class = "report";
  reports.long_running = true;
  reports.service_time = seconds(4);
  reports.patience = seconds(30);
  reports.rate_per_s = 4;
  loads.push_back(reports);
  const auto mixed = Play(YardDesk(), loads, seconds(60), seconds(10));
  CheckNobodyIsOverrun(mixed);
  const double p99_alone = Percentile(alone.latency_ms.at("lookup"), 0.99);
  const double p99_mixed = Percentile(mixed.latency_ms.at("lookup"), 0.99);
  BOOST_TEST(p99_mixed < 2 * p99_alone);
  // The reports still get most of what the look-ups leave.
  const double left = 16 - 0.35 * 16;
  BOOST_TEST(mixed.workspaces.at(reports.workspace).good > 0.4 * left / 4 * 50);
}

// One server of four takes ten times as long as the others. Callers whose
// look-ups land there get them late, and its slots hold back the queue.
BOOST_AUTO_TEST_CASE(OneSlowUpstream) {
  auto upstreams = YardDesk();
  upstreams[1].slowness = 10;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Play(upstreams, loads, seconds(40), seconds(5));
  CheckNobodyIsOverrun(result);
  BOOST_TEST(result.Good() > 0.97 * result.Offered());
  BOOST_TEST(Percentile(result.latency_ms.at("lookup"), 0.95) < 200);
}

// One server answers an error to everything at once. It always has slots free,
// so it would draw most of the requests, and most callers would get errors.
BOOST_AUTO_TEST_CASE(OneUpstreamAnswersErrorsFast) {
  auto upstreams = YardDesk();
  upstreams[2].fails_fast = true;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Play(upstreams, loads, seconds(40));
  BOOST_TEST(result.Good() > 0.99 * result.Offered());
}

// One server says that it is well and idle while it answers errors. Whoever
// believes it sends it everything.
BOOST_AUTO_TEST_CASE(OneUpstreamSaysItIsWellWhileItFails) {
  auto upstreams = YardDesk();
  upstreams[2].fails_fast = true;
  upstreams[2].says_idle = true;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Play(upstreams, loads, seconds(40));
  BOOST_TEST(result.Good() > 0.99 * result.Offered());
}

// One server's slots are filled by work from elsewhere, and it says that it is
// idle. Requests sent there come back unrun and must not be lost for it.
BOOST_AUTO_TEST_CASE(OneUpstreamSaysItIsIdleWhileItIsFull) {
  auto upstreams = YardDesk();
  upstreams[0].foreign_work = 4;
  upstreams[0].says_idle = true;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Play(upstreams, loads, seconds(40));
  BOOST_TEST(result.Good() > 0.99 * result.Offered());
  BOOST_TEST(result.sheds < 0.02 * result.sends);
}

// One request crashes each server that runs it, and its caller sends it again
// and again. At most two servers may die of it, and nobody else's request may
// be refused for it.
BOOST_AUTO_TEST_CASE(OneRequestCrashesEachUpstream) {
  for (const bool idempotent : {true, false}) {
    auto loads = LookupLoads(0.4 * kCapacity, seconds(2));
    simulated_load killer = loads.back();
    killer.workspace = workspace_id("killer");
    killer.crashes = true;
    killer.idempotent = idempotent;
    killer.rate_per_s = 0.5;
    loads.push_back(killer);
    const auto result = Play(YardDesk(), loads, seconds(40));
    BOOST_TEST(result.crashes == 2);
    BOOST_TEST(result.workspaces.at(killer.workspace).good == 0);
    const int killers = result.workspaces.at(killer.workspace).refused;
    const auto poison = result.refusals.find(refusal_reason::kPoison);
    BOOST_TEST_REQUIRE((poison != result.refusals.end()));
    BOOST_TEST(poison->second == killers);
  }
}

// A request that kills and one that many callers send were in flight at a crash
// elsewhere; a copy of the second was sent here before that was known. The
// killer comes here and crashes the upstream under that copy. If both were
// convicted, all who send the innocent one would be refused for a minute.
BOOST_AUTO_TEST_CASE(CopySentBeforeTheSuspicionIsNotConvicted) {
  for (const bool killer_first : {true, false}) {
    by_hand h(Servers(1, 4));
    const scheduler_request common = h.Request("common");
    const auto sent = Only<send_action>(h.scheduler.OnRequest(common, h.now));
    BOOST_TEST_REQUIRE(sent.size() == 1u);
    scheduler_request killer = h.Request("killer");
    killer.idempotent = false;
    const upstream_crash elsewhere{upstream_id("elsewhere"), h.now};
    for (const auto& suspect : {common, killer}) {
      h.scheduler.OnSuspect(suspect.fingerprint, elsewhere, h.now);
    }
    h.now += milliseconds(1);
    BOOST_TEST(Only<send_action>(h.scheduler.OnRequest(killer, h.now)).size() ==
               1u);
    h.now += milliseconds(1);
    std::vector<request_id> lost = {killer.id, common.id};
    if (!killer_first) std::swap(lost[0], lost[1]);
    std::vector<poison_action> convicted;
    for (const request_id& id : lost) {
      const auto actions =
          h.scheduler.OnOutcome(id, upstream_outcome::kConnectionLost, h.now);
      // Other owners would take it for a second crash of the innocent one.
      BOOST_TEST(Only<suspect_action>(actions).empty());
      for (const auto& c : Only<poison_action>(actions)) convicted.push_back(c);
    }
    BOOST_TEST_REQUIRE(convicted.size() == 1u);
    BOOST_TEST(convicted[0].fingerprint == killer.fingerprint);
  }
}

// Two copies of the killer are on their way to two zones when the first one
// crashes its upstream. The word of it comes before the second crash. Were that
// one not counted, a third upstream would die of the next copy.
BOOST_AUTO_TEST_CASE(SecondCopyOnItsWayCountsWhereItIsTheOnlySuspect) {
  by_hand h(Servers(1, 4));
  const scheduler_request killer = h.Request("killer");
  const scheduler_request other = h.Request("other");
  h.scheduler.OnRequest(killer, h.now);
  h.scheduler.OnRequest(other, h.now);
  h.scheduler.OnSuspect(killer.fingerprint, {upstream_id("elsewhere"), h.now},
                        h.now);
  h.now += milliseconds(1);
  std::vector<poison_action> convicted;
  for (const request_id& id : {other.id, killer.id}) {
    for (const auto& c : Only<poison_action>(h.scheduler.OnOutcome(
             id, upstream_outcome::kConnectionLost, h.now))) {
      convicted.push_back(c);
    }
  }
  BOOST_TEST_REQUIRE(convicted.size() == 1u);
  BOOST_TEST(convicted[0].fingerprint == killer.fingerprint);
}

// Guards against a request that waits until its deadline at an owner that is
// leaving and has given its upstreams to others.
BOOST_AUTO_TEST_CASE(QueueOfALeavingOwnerIsRefusedAtOnce) {
  by_hand h(Servers(1, 1));
  const scheduler_request running = h.Request("running");
  const scheduler_request waiting = h.Request("waiting");
  h.scheduler.OnRequest(running, h.now);
  h.scheduler.OnRequest(waiting, h.now);
  h.scheduler.SetUpstreams({}, h.now);
  const auto refused = Only<refuse_action>(h.scheduler.Close(h.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].id == waiting.id));
  BOOST_TEST((refused[0].reason == refusal_reason::kDraining));
  // One that its upstream turned back has no other place here either.
  const auto turned_back = Only<refuse_action>(h.scheduler.OnOutcome(
      running.id, upstream_outcome::kLeavingNotRun, h.now));
  BOOST_TEST_REQUIRE(turned_back.size() == 1u);
  BOOST_TEST((turned_back[0].id == running.id));
}

// Guards against a request of many callers that is refused as poison: it is a
// suspect of a crash elsewhere, and the killer, of which nothing is known here,
// crashes the upstream beside it.
BOOST_AUTO_TEST_CASE(SuspectThatWasAnsweredIsNotConvictedBesideTheKiller) {
  by_hand h(Servers(1, 4));
  scheduler_request common = h.Request("common");
  h.scheduler.OnRequest(common, h.now);
  h.scheduler.OnOutcome(common.id, upstream_outcome::kAnswered, h.now);
  h.scheduler.OnSuspect(common.fingerprint, {upstream_id("elsewhere"), h.now},
                        h.now);
  common.id = request_id("common again");
  const scheduler_request killer = h.Request("killer");
  h.scheduler.OnRequest(common, h.now);
  h.scheduler.OnRequest(killer, h.now);
  h.now += milliseconds(1);
  for (const request_id& id : {common.id, killer.id}) {
    const auto actions =
        h.scheduler.OnOutcome(id, upstream_outcome::kConnectionLost, h.now);
    BOOST_TEST(Only<poison_action>(actions).empty());
  }
}

// Guards against a third crash: a copy crashed an upstream here before the word
// of a crash elsewhere came.
BOOST_AUTO_TEST_CASE(WordOfAnEarlierCrashConvictsAfterACrashHere) {
  by_hand h(Servers(2, 4));
  scheduler_request killer = h.Request("killer");
  killer.idempotent = false;
  h.scheduler.OnRequest(killer, h.now);
  h.scheduler.OnOutcome(killer.id, upstream_outcome::kConnectionLost, h.now);
  h.scheduler.OnSuspect(killer.fingerprint, {upstream_id("elsewhere"), h.now},
                        h.now);
  killer.id = request_id("killer again");
  const auto refused =
      Only<refuse_action>(h.scheduler.OnRequest(killer, h.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kPoison));
}

BOOST_AUTO_TEST_CASE(RefusesOnArrivalWhatCantEndInTime) {
  by_hand h(Servers(1, 1));
  scheduler_request first = h.Request("first");
  BOOST_TEST(Only<send_action>(h.scheduler.OnRequest(first, h.now)).size() ==
             1u);
  scheduler_request hasty = h.Request("hasty");
  hasty.deadline = h.now + milliseconds(50);
  const auto refused = Only<refuse_action>(h.scheduler.OnRequest(hasty, h.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kWouldMissDeadline));
  BOOST_TEST((refused[0].retry_at > h.now));
}

// A request waits behind one that takes far longer than expected. Its caller
// must hear at once when it can't be done in time any more.
BOOST_AUTO_TEST_CASE(GivesUpAtOnceByTimer) {
  by_hand h(Servers(1, 1));
  h.scheduler.OnRequest(h.Request("first"), h.now);
  const scheduler_request second = h.Request("second");
  BOOST_TEST(h.scheduler.OnRequest(second, h.now).empty());
  const auto timer = h.scheduler.NextTimer();
  BOOST_TEST_REQUIRE(timer.has_value());
  BOOST_TEST((*timer < second.deadline));
  const auto refused = Only<refuse_action>(h.scheduler.OnTimer(*timer));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kExpiredInQueue));
  BOOST_TEST(!h.scheduler.NextTimer().has_value());
}

BOOST_AUTO_TEST_CASE(SendsAgainElsewhereAfterShedding) {
  by_hand h(Servers(2, 1));
  scheduler_request booking = h.Request("booking");
  booking.idempotent = false;
  const auto first = Only<send_action>(h.scheduler.OnRequest(booking, h.now));
  const auto second = Only<send_action>(
      h.scheduler.OnOutcome(booking.id, upstream_outcome::kShedNotRun, h.now));
  BOOST_TEST_REQUIRE(second.size() == 1u);
  BOOST_TEST((second[0].upstream != first[0].upstream));
  const auto third =
      h.scheduler.OnOutcome(booking.id, upstream_outcome::kShedNotRun, h.now);
  BOOST_TEST(Only<refuse_action>(third).size() == 1u);
}

// A connection breaks after a booking was sent. It may have been booked, so
// sending it again could send two trucks out.
BOOST_AUTO_TEST_CASE(NeverSendsABookingAgainThatMayHaveRun) {
  by_hand h(Servers(2, 1));
  scheduler_request booking = h.Request("booking");
  booking.idempotent = false;
  h.scheduler.OnRequest(booking, h.now);
  const auto actions = h.scheduler.OnOutcome(
      booking.id, upstream_outcome::kConnectionLost, h.now);
  BOOST_TEST(Only<send_action>(actions).empty());
  BOOST_TEST(Only<refuse_action>(actions).empty());
  scheduler_request look_up = h.Request("look-up");
  h.scheduler.OnRequest(look_up, h.now);
  const auto again = h.scheduler.OnOutcome(
      look_up.id, upstream_outcome::kConnectionLost, h.now);
  BOOST_TEST(Only<send_action>(again).size() == 1u);
}

// Nothing is left after a caller has gone: neither a place in the queue, nor,
// once its outcome is in, a slot.
BOOST_AUTO_TEST_CASE(CancelFreesPlaceAndSlot) {
  by_hand h(Servers(1, 1));
  h.scheduler.OnRequest(h.Request("a"), h.now);
  h.scheduler.OnRequest(h.Request("b"), h.now);
  h.scheduler.OnRequest(h.Request("c"), h.now);
  h.scheduler.OnCancel(request_id("b"), h.now);
  h.scheduler.OnCancel(request_id("a"), h.now);
  BOOST_TEST(h.scheduler.Load(h.now).in_flight == 1);
  const auto next = Only<send_action>(h.scheduler.OnOutcome(
      request_id("a"), upstream_outcome::kCancelled, h.now));
  BOOST_TEST_REQUIRE(next.size() == 1u);
  BOOST_TEST(next[0].id.Str() == "c");
}

// An upstream goes to another owner while work is in flight there.
BOOST_AUTO_TEST_CASE(LostUpstreamGetsNothingNewAndStaysCounted) {
  by_hand h(Servers(1, 2));
  h.scheduler.OnRequest(h.Request("a"), h.now);
  h.scheduler.SetUpstreams({}, h.now);
  BOOST_TEST(h.scheduler.InFlightAt(upstream_id("u0")) == 1);
  const auto refused =
      Only<refuse_action>(h.scheduler.OnRequest(h.Request("b"), h.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kNoUpstream));
  h.scheduler.OnOutcome(request_id("a"), upstream_outcome::kAnswered, h.now);
  BOOST_TEST(h.scheduler.Load(h.now).in_flight == 0);
}

}  // namespace citron
