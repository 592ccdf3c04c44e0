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

simulation_result Simulate(const std::vector<simulated_upstream>& upstreams,
                           const std::vector<simulated_load>& loads,
                           duration time, duration skip = {}) {
  std::vector<std::unique_ptr<dispatch_policy>> owners;
  owners.push_back(Scheduler(upstreams));
  zone_simulation simulation(std::move(owners), upstreams, 11);
  simulation.SetReports(milliseconds(500), milliseconds(700));
  for (const simulated_load& load : loads) simulation.AddLoad(load);
  return simulation.Run(time, skip);
}

void CheckSlotsAndDeadlines(const simulation_result& result) {
  BOOST_TEST(result.most_over_slots <= 0);
  BOOST_TEST(result.refused_after_deadline == 0);
}

double WorstFractionOfFairShare(const simulation_result& result,
                                const std::vector<simulated_load>& loads,
                                double capacity, double time_s) {
  std::map<workspace_id, std::pair<double, double>> demands;
  for (const auto& load : loads) {
    const auto& w = result.workspaces.at(load.workspace);
    demands[load.workspace] = {w.offered / time_s, load.weight};
  }
  double worst = 1e9;
  for (const auto& [id, fair] : FairShares(demands, capacity)) {
    worst = std::min(worst,
                     result.workspaces.at(id).answered_in_time / time_s / fair);
  }
  return worst;
}

// A scheduler and its clock, for tests that call the scheduler step by step.
struct scheduler_fixture {
  explicit scheduler_fixture(std::vector<upstream_capacity> upstreams,
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
std::vector<Action> ActionsOf(const service_scheduler::actions& actions) {
  std::vector<Action> matching;
  for (const auto& action : actions) {
    if (const auto* a = std::get_if<Action>(&action)) matching.push_back(*a);
  }
  return matching;
}

std::vector<upstream_capacity> Servers(int count, int slots) {
  std::vector<upstream_capacity> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back({upstream_id("u" + std::to_string(i)), slots});
  }
  return servers;
}

}  // namespace

// Load pattern: look-ups rise to five times the usual rate for 20 s, twice the
// capacity. A look-up answered after its deadline is useless to its caller, and
// its slot time is lost to the other callers.
BOOST_AUTO_TEST_CASE(TrafficBurst) {
  auto loads = LookupLoads(0.4 * kCapacity, milliseconds(600));
  for (auto& load : loads) {
    load.burst_factor = 5;
    load.burst_from = seconds(10);
    load.burst_to = seconds(30);
  }
  const auto result = Simulate(YardDeskUpstreams(), loads, seconds(45));
  CheckSlotsAndDeadlines(result);
  const double max_good = kCapacity * 20 + 0.4 * kCapacity * 25;
  BOOST_TEST(result.AnsweredInTime() > 0.95 * max_good);
  BOOST_TEST(result.sends < 1.02 * result.AnsweredInTime());
}

// The same burst with longer deadlines and callers that retry soon after a
// refusal. The requests sent to the upstreams must not grow with the retries.
BOOST_AUTO_TEST_CASE(TrafficBurstWithRetryingCallers) {
  auto loads = LookupLoads(0.4 * kCapacity, milliseconds(2000));
  for (auto& load : loads) {
    load.burst_factor = 5;
    load.burst_from = seconds(10);
    load.burst_to = seconds(30);
    load.max_attempts = 10;
    load.ask_again = milliseconds(100);
  }
  const auto result = Simulate(YardDeskUpstreams(), loads, seconds(45));
  CheckSlotsAndDeadlines(result);
  BOOST_TEST(result.requests_to_owners > 1.5 * result.Offered());
  BOOST_TEST(result.sends < 1.1 * result.AnsweredInTime());
}

// Guards against a stale in-flight count when a dispatch hands an upstream to
// another dispatch. If requests turned back at that moment stay counted as in
// flight, the new owner leaves free slots unused and its callers wait until
// their deadline beside an idle upstream.
BOOST_AUTO_TEST_CASE(EachRequestEndUpdatesTheInFlightCount) {
  scheduler_fixture fixture(Servers(1, 2));
  const upstream_id upstream("u0");
  std::map<upstream_id, int> reported;
  std::map<request_id, upstream_id> sent;
  const auto record = [&](const service_scheduler::actions& actions) {
    for (const scheduler_action& action : actions) {
      if (const auto* count = std::get_if<in_flight_action>(&action)) {
        reported[count->upstream] = count->count;
      } else if (const auto* send = std::get_if<send_action>(&action)) {
        // The count comes before the send, so that a handover in between
        // includes the request.
        BOOST_TEST(reported[send->upstream] ==
                   fixture.scheduler.InFlightAt(send->upstream));
        sent[send->id] = send->upstream;
      }
    }
  };
  for (const char* id : {"a", "b", "c"}) {
    record(fixture.scheduler.OnRequest(fixture.Request(id), fixture.now));
  }
  BOOST_TEST(reported[upstream] == 2);
  record(fixture.scheduler.OnOutcome(request_id("a"),
                                     upstream_outcome::kAnswered, fixture.now));
  BOOST_TEST(reported[upstream] == 2);
  BOOST_REQUIRE(sent.contains(request_id("c")));
  // The upstream is handed over: request "c", just sent, is turned back.
  record(fixture.scheduler.OnOutcome(
      request_id("c"), upstream_outcome::kLeavingNotRun, fixture.now));
  BOOST_TEST(reported[upstream] == 1);
  record(fixture.scheduler.OnCancel(request_id("b"), fixture.now));
  record(fixture.scheduler.OnOutcome(
      request_id("b"), upstream_outcome::kCancelled, fixture.now));
  BOOST_TEST(reported[upstream] == 0);
}

// Load pattern: up to three times the capacity is offered. Without rejection on
// arrival each request waits until it is too late, and hardly any is answered
// in time.
BOOST_AUTO_TEST_CASE(Saturation) {
  for (const double load_factor : {1.5, 3.0}) {
    const auto loads = LookupLoads(load_factor * kCapacity, milliseconds(500));
    const auto result =
        Simulate(YardDeskUpstreams(), loads, seconds(40), seconds(5));
    CheckSlotsAndDeadlines(result);
    BOOST_TEST(result.AnsweredInTime() > 0.95 * kCapacity * 35);
    BOOST_TEST(WorstFractionOfFairShare(result, loads, kCapacity, 35) > 0.8);
  }
}

// One workspace sends at 20 times its usual rate. The other workspaces must not
// be affected.
BOOST_AUTO_TEST_CASE(OneWorkspaceOffersMoreThanItsShare) {
  auto loads = LookupLoads(0.9 * kCapacity, milliseconds(500));
  loads.back().rate_per_s *= 20;
  const auto result =
      Simulate(YardDeskUpstreams(), loads, seconds(40), seconds(5));
  CheckSlotsAndDeadlines(result);
  BOOST_TEST(WorstFractionOfFairShare(result, loads, kCapacity, 35) > 0.8);
  for (std::size_t i = 0; i + 1 < loads.size(); ++i) {
    const auto& w = result.workspaces.at(loads[i].workspace);
    BOOST_TEST(w.answered_in_time > 0.97 * w.offered);
  }
}

// Load pattern: reports that take seconds among look-ups that take
// milliseconds; the reports alone need all slots. If reports may take every
// slot, each look-up waits for the end of a report.
BOOST_AUTO_TEST_CASE(LongReportsAmongShortLookups) {
  const auto lookups = LookupLoads(0.35 * kCapacity, seconds(1));
  const auto alone =
      Simulate(YardDeskUpstreams(), lookups, seconds(60), seconds(10));
  auto loads = lookups;
  simulated_load reports;
  reports.workspace = workspace_id("office");
  reports.weight = 4;
  reports.request_class = "report";
  reports.long_running = true;
  reports.service_time = seconds(4);
  reports.request_timeout = seconds(30);
  reports.rate_per_s = 4;
  loads.push_back(reports);
  const auto mixed =
      Simulate(YardDeskUpstreams(), loads, seconds(60), seconds(10));
  CheckSlotsAndDeadlines(mixed);
  const double p99_alone = Percentile(alone.latency_ms.at("lookup"), 0.99);
  const double p99_mixed = Percentile(mixed.latency_ms.at("lookup"), 0.99);
  BOOST_TEST(p99_mixed < 2 * p99_alone);
  // The reports still get more than 0.4 of the slot time left by the look-ups.
  const double slots_left = 16 - 0.35 * 16;
  BOOST_TEST(mixed.workspaces.at(reports.workspace).answered_in_time >
             0.4 * slots_left / 4 * 50);
}

// One server of four takes ten times as long as the others. Look-ups sent there
// are answered late, and its occupied slots delay the queue.
BOOST_AUTO_TEST_CASE(OneSlowUpstream) {
  auto upstreams = YardDeskUpstreams();
  upstreams[1].slowness = 10;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Simulate(upstreams, loads, seconds(40), seconds(5));
  CheckSlotsAndDeadlines(result);
  BOOST_TEST(result.AnsweredInTime() > 0.97 * result.Offered());
  BOOST_TEST(Percentile(result.latency_ms.at("lookup"), 0.95) < 200);
}

// One server answers every request with an error at once. Its slots are always
// free, so it would attract most requests, and most callers would get errors.
BOOST_AUTO_TEST_CASE(OneUpstreamAnswersErrorsFast) {
  auto upstreams = YardDeskUpstreams();
  upstreams[2].fails_fast = true;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Simulate(upstreams, loads, seconds(40));
  BOOST_TEST(result.AnsweredInTime() > 0.99 * result.Offered());
}

// One server reports itself as healthy and idle while it answers with errors. A
// scheduler that relies on the report sends it every request.
BOOST_AUTO_TEST_CASE(OneUpstreamReportsHealthyWhileItFails) {
  auto upstreams = YardDeskUpstreams();
  upstreams[2].fails_fast = true;
  upstreams[2].says_idle = true;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Simulate(upstreams, loads, seconds(40));
  BOOST_TEST(result.AnsweredInTime() > 0.99 * result.Offered());
}

// One server's slots are filled by other callers, and the server reports itself
// as idle. Requests sent there come back unrun and must not be lost.
BOOST_AUTO_TEST_CASE(OneUpstreamReportsIdleWhileItIsFull) {
  auto upstreams = YardDeskUpstreams();
  upstreams[0].foreign_work = 4;
  upstreams[0].says_idle = true;
  const auto loads = LookupLoads(0.6 * kCapacity, milliseconds(600));
  const auto result = Simulate(upstreams, loads, seconds(40));
  BOOST_TEST(result.AnsweredInTime() > 0.99 * result.Offered());
  BOOST_TEST(result.sheds < 0.02 * result.sends);
}

// A poison request crashes each server that runs it, and its caller keeps
// sending it. It may crash at most two servers, and no other caller's request
// may be refused as poison.
BOOST_AUTO_TEST_CASE(OneRequestCrashesEachUpstream) {
  for (const bool idempotent : {true, false}) {
    auto loads = LookupLoads(0.4 * kCapacity, seconds(2));
    simulated_load poison_request = loads.back();
    poison_request.workspace = workspace_id("killer");
    poison_request.crashes_upstream = true;
    poison_request.idempotent = idempotent;
    poison_request.rate_per_s = 0.5;
    loads.push_back(poison_request);
    const auto result = Simulate(YardDeskUpstreams(), loads, seconds(40));
    BOOST_TEST(result.crashes == 2);
    BOOST_TEST(
        result.workspaces.at(poison_request.workspace).answered_in_time == 0);
    const int poison_refusals =
        result.workspaces.at(poison_request.workspace).callers_rejected;
    const auto poison = result.refusals.find(refusal_reason::kPoison);
    BOOST_TEST_REQUIRE((poison != result.refusals.end()));
    BOOST_TEST(poison->second == poison_refusals);
  }
}

// A poison request and a request common to many callers were in flight at a
// crash elsewhere. A duplicate of the common request was sent here before that
// was known; then the poison request crashes the upstream that runs it. If both
// were convicted, all callers of the common request would be refused for a
// minute.
BOOST_AUTO_TEST_CASE(DuplicateSentBeforeTheSuspicionIsNotConvicted) {
  for (const bool poison_first : {true, false}) {
    scheduler_fixture fixture(Servers(1, 4));
    const scheduler_request common = fixture.Request("common");
    const auto sent = ActionsOf<send_action>(
        fixture.scheduler.OnRequest(common, fixture.now));
    BOOST_TEST_REQUIRE(sent.size() == 1u);
    scheduler_request poison_request = fixture.Request("killer");
    poison_request.idempotent = false;
    const upstream_crash elsewhere{upstream_id("elsewhere"), fixture.now};
    for (const auto& suspect : {common, poison_request}) {
      fixture.scheduler.OnSuspect(suspect.fingerprint, elsewhere, fixture.now);
    }
    fixture.now += milliseconds(1);
    BOOST_TEST(ActionsOf<send_action>(
                   fixture.scheduler.OnRequest(poison_request, fixture.now))
                   .size() == 1u);
    fixture.now += milliseconds(1);
    std::vector<request_id> lost = {poison_request.id, common.id};
    if (!poison_first) std::swap(lost[0], lost[1]);
    std::vector<poison_action> convicted;
    for (const request_id& id : lost) {
      const auto actions = fixture.scheduler.OnOutcome(
          id, upstream_outcome::kConnectionLost, fixture.now);
      // Other owners would count this as a second crash of the common request.
      BOOST_TEST(ActionsOf<suspect_action>(actions).empty());
      for (const auto& c : ActionsOf<poison_action>(actions))
        convicted.push_back(c);
    }
    BOOST_TEST_REQUIRE(convicted.size() == 1u);
    BOOST_TEST(convicted[0].fingerprint == poison_request.fingerprint);
  }
}

// Two duplicates of a poison request are in flight in two zones when the first
// one crashes its upstream. The report of that crash arrives before the second
// crash. If the second crash didn't count, the next duplicate would crash a
// third upstream.
BOOST_AUTO_TEST_CASE(DuplicateInFlightIsConvictedWhereItIsTheOnlySuspect) {
  scheduler_fixture fixture(Servers(1, 4));
  const scheduler_request poison_request = fixture.Request("killer");
  const scheduler_request other = fixture.Request("other");
  fixture.scheduler.OnRequest(poison_request, fixture.now);
  fixture.scheduler.OnRequest(other, fixture.now);
  fixture.scheduler.OnSuspect(poison_request.fingerprint,
                              {upstream_id("elsewhere"), fixture.now},
                              fixture.now);
  fixture.now += milliseconds(1);
  std::vector<poison_action> convicted;
  for (const request_id& id : {other.id, poison_request.id}) {
    for (const auto& c : ActionsOf<poison_action>(fixture.scheduler.OnOutcome(
             id, upstream_outcome::kConnectionLost, fixture.now))) {
      convicted.push_back(c);
    }
  }
  BOOST_TEST_REQUIRE(convicted.size() == 1u);
  BOOST_TEST(convicted[0].fingerprint == poison_request.fingerprint);
}

// Guards against a request that waits until its deadline at an owner that is
// leaving and has given its upstreams to others.
BOOST_AUTO_TEST_CASE(LeavingOwnerRefusesItsQueueAtOnce) {
  scheduler_fixture fixture(Servers(1, 1));
  const scheduler_request running = fixture.Request("running");
  const scheduler_request waiting = fixture.Request("waiting");
  fixture.scheduler.OnRequest(running, fixture.now);
  fixture.scheduler.OnRequest(waiting, fixture.now);
  fixture.scheduler.SetUpstreams({}, fixture.now);
  const auto refused =
      ActionsOf<refuse_action>(fixture.scheduler.Close(fixture.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].id == waiting.id));
  BOOST_TEST((refused[0].reason == refusal_reason::kDraining));
  // A request that its upstream turned back has no other upstream here either.
  const auto turned_back = ActionsOf<refuse_action>(fixture.scheduler.OnOutcome(
      running.id, upstream_outcome::kLeavingNotRun, fixture.now));
  BOOST_TEST_REQUIRE(turned_back.size() == 1u);
  BOOST_TEST((turned_back[0].id == running.id));
}

// Guards against refusing a request common to many callers as poison: the
// request is a suspect of a crash elsewhere, and a poison request that is
// unknown here crashes the upstream that runs both. The common request was
// answered here before the report.
BOOST_AUTO_TEST_CASE(AnsweredSuspectIsNotConvictedBesideAPoisonRequest) {
  scheduler_fixture fixture(Servers(1, 4));
  scheduler_request common = fixture.Request("common");
  fixture.scheduler.OnRequest(common, fixture.now);
  fixture.scheduler.OnOutcome(common.id, upstream_outcome::kAnswered,
                              fixture.now);
  fixture.scheduler.OnSuspect(
      common.fingerprint, {upstream_id("elsewhere"), fixture.now}, fixture.now);
  common.id = request_id("common again");
  const scheduler_request poison_request = fixture.Request("killer");
  fixture.scheduler.OnRequest(common, fixture.now);
  fixture.scheduler.OnRequest(poison_request, fixture.now);
  fixture.now += milliseconds(1);
  for (const request_id& id : {common.id, poison_request.id}) {
    const auto actions = fixture.scheduler.OnOutcome(
        id, upstream_outcome::kConnectionLost, fixture.now);
    BOOST_TEST(ActionsOf<poison_action>(actions).empty());
  }
}

// Guards against a third crash: a poison request crashed an upstream here
// before the report of a crash elsewhere arrived.
BOOST_AUTO_TEST_CASE(ReportOfAnEarlierCrashConvictsAfterALocalCrash) {
  scheduler_fixture fixture(Servers(2, 4));
  scheduler_request poison_request = fixture.Request("killer");
  poison_request.idempotent = false;
  fixture.scheduler.OnRequest(poison_request, fixture.now);
  fixture.scheduler.OnOutcome(poison_request.id,
                              upstream_outcome::kConnectionLost, fixture.now);
  fixture.scheduler.OnSuspect(poison_request.fingerprint,
                              {upstream_id("elsewhere"), fixture.now},
                              fixture.now);
  poison_request.id = request_id("killer again");
  const auto refused = ActionsOf<refuse_action>(
      fixture.scheduler.OnRequest(poison_request, fixture.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kPoison));
}

// Guards against a crash in each zone that the caller's next copy reaches
// before the report of the crash does: neither a booking nor a look-up ends,
// and a look-up isn't sent again, before the other owners know of it.
BOOST_AUTO_TEST_CASE(LostSuspectEndsOnlyAfterItsCheck) {
  scheduler_options options = Options();
  options.check_suspects = true;
  for (const bool is_lookup : {false, true}) {
    for (const std::uint64_t crashes : {1, 2}) {
      scheduler_fixture fixture(Servers(2, 4), options);
      scheduler_request request = fixture.Request("request");
      request.idempotent = is_lookup;
      if (crashes == 2) {
        const upstream_crash elsewhere{upstream_id("elsewhere"),
                                       fixture.now - seconds(1)};
        fixture.scheduler.OnSuspect(request.fingerprint, elsewhere,
                                    fixture.now);
      }
      BOOST_TEST(ActionsOf<send_action>(
                     fixture.scheduler.OnRequest(request, fixture.now))
                     .size() == 1u);
      const auto lost = fixture.scheduler.OnOutcome(
          request.id, upstream_outcome::kConnectionLost, fixture.now);
      BOOST_TEST(ActionsOf<suspect_action>(lost).size() == 2 - crashes);
      BOOST_TEST(ActionsOf<poison_action>(lost).size() == crashes - 1);
      BOOST_TEST(ActionsOf<send_action>(lost).empty());
      BOOST_TEST(ActionsOf<fail_action>(lost).empty());
      BOOST_TEST(ActionsOf<refuse_action>(lost).empty());
      const auto checks = ActionsOf<check_suspect_action>(lost);
      BOOST_TEST_REQUIRE(checks.size() == 1u);
      BOOST_TEST((checks[0].id == request.id));
      // The report leaves before the query.
      BOOST_TEST(std::holds_alternative<check_suspect_action>(lost.back()));
      // Past its latest start it can't be sent again, and still waits.
      if (!is_lookup) fixture.now = request.deadline;
      BOOST_TEST(fixture.scheduler.OnTimer(fixture.now).empty());
      const auto checked =
          fixture.scheduler.OnSuspectChecked(request.id, fixture.now);
      const bool is_sent_again = is_lookup && crashes == 1;
      BOOST_TEST(ActionsOf<send_action>(checked).size() ==
                 (is_sent_again ? 1 : 0));
      BOOST_TEST(ActionsOf<fail_action>(checked).size() ==
                 (is_sent_again ? 0 : 1));
      BOOST_TEST(ActionsOf<fail_action>(fixture.scheduler.OnSuspectChecked(
                                            request.id, fixture.now))
                     .empty());
    }
  }
}

// Guards against a look-up that is sent again although another owner convicted
// it while it waited for its check.
BOOST_AUTO_TEST_CASE(LostSuspectConvictedElsewhereFailsAfterItsCheck) {
  scheduler_options options = Options();
  options.check_suspects = true;
  scheduler_fixture fixture(Servers(2, 4), options);
  const scheduler_request lookup = fixture.Request("look-up");
  fixture.scheduler.OnRequest(lookup, fixture.now);
  fixture.scheduler.OnOutcome(lookup.id, upstream_outcome::kConnectionLost,
                              fixture.now);
  const auto convicted = fixture.scheduler.OnPoison(
      lookup.fingerprint, fixture.now + seconds(60), fixture.now);
  BOOST_TEST(ActionsOf<refuse_action>(convicted).empty());
  const auto checked =
      fixture.scheduler.OnSuspectChecked(lookup.id, fixture.now);
  BOOST_TEST(ActionsOf<send_action>(checked).empty());
  BOOST_TEST(ActionsOf<fail_action>(checked).size() == 1u);
}

// Guards against a wait of requests that aren't suspects: what was answered
// shortly before a crash fails at once.
BOOST_AUTO_TEST_CASE(LostRequestWithARecentAnswerFailsAtOnce) {
  scheduler_options options = Options();
  options.check_suspects = true;
  scheduler_fixture fixture(Servers(2, 4), options);
  scheduler_request booking = fixture.Request("answered");
  booking.idempotent = false;
  fixture.scheduler.OnRequest(booking, fixture.now);
  fixture.scheduler.OnOutcome(booking.id, upstream_outcome::kAnswered,
                              fixture.now);
  booking.id = request_id("lost");
  fixture.scheduler.OnRequest(booking, fixture.now);
  const auto lost = fixture.scheduler.OnOutcome(
      booking.id, upstream_outcome::kConnectionLost, fixture.now);
  BOOST_TEST(ActionsOf<suspect_action>(lost).empty());
  BOOST_TEST(ActionsOf<check_suspect_action>(lost).empty());
}

// Guards against a request that was lost in a crash and waits until its
// deadline: after its check it is sent again, or fails if there is no other
// upstream.
BOOST_AUTO_TEST_CASE(LostRequestIsSentAgainOrFailsAfterItsCheck) {
  scheduler_options options = Options();
  options.check_suspects = true;
  for (const int servers : {1, 2}) {
    scheduler_fixture fixture(Servers(servers, 4), options);
    const scheduler_request lookup = fixture.Request("look-up");
    const auto first = ActionsOf<send_action>(
        fixture.scheduler.OnRequest(lookup, fixture.now));
    const auto lost = fixture.scheduler.OnOutcome(
        lookup.id, upstream_outcome::kConnectionLost, fixture.now);
    BOOST_TEST(ActionsOf<send_action>(lost).empty());
    const auto checks = ActionsOf<check_suspect_action>(lost);
    BOOST_TEST_REQUIRE(!checks.empty());
    BOOST_TEST((checks[0].id == lookup.id));
    const auto checked =
        fixture.scheduler.OnSuspectChecked(lookup.id, fixture.now);
    const auto again = ActionsOf<send_action>(checked);
    const auto failed = ActionsOf<fail_action>(checked);
    BOOST_TEST(again.size() + failed.size() == 1u);
    if (servers == 1) {
      BOOST_TEST_REQUIRE(failed.size() == 1u);
      BOOST_TEST((failed[0].id == lookup.id));
      BOOST_TEST(!fixture.scheduler.NextTimer().has_value());
    } else {
      BOOST_TEST_REQUIRE(again.size() == 1u);
      BOOST_TEST((again[0].upstream != first[0].upstream));
    }
  }
}

// Guards against two copies of a lost request, the second of which waits until
// its deadline: only one may be in flight as a suspect.
BOOST_AUTO_TEST_CASE(SecondCopyOfALostRequestFails) {
  scheduler_options options = Options();
  options.check_suspects = true;
  scheduler_fixture fixture(Servers(1, 4), options);
  const scheduler_request first = fixture.Request("copy");
  scheduler_request second = first;
  second.id = request_id("second copy");
  const auto sent =
      ActionsOf<send_action>(fixture.scheduler.OnRequest(first, fixture.now));
  BOOST_TEST_REQUIRE(sent.size() == 1u);
  fixture.scheduler.OnRequest(second, fixture.now);
  fixture.scheduler.SetUpstreams(Servers(2, 4), fixture.now);
  for (const request_id& id : {first.id, second.id}) {
    const auto lost = fixture.scheduler.OnOutcome(
        id, upstream_outcome::kConnectionLost, fixture.now);
    BOOST_TEST(ActionsOf<check_suspect_action>(lost).size() == 1u);
  }
  const auto first_checked =
      fixture.scheduler.OnSuspectChecked(first.id, fixture.now);
  BOOST_TEST(ActionsOf<send_action>(first_checked).size() == 1u);
  BOOST_TEST(ActionsOf<fail_action>(first_checked).empty());
  const auto second_checked =
      fixture.scheduler.OnSuspectChecked(second.id, fixture.now);
  BOOST_TEST(ActionsOf<send_action>(second_checked).empty());
  BOOST_TEST(ActionsOf<fail_action>(second_checked).size() == 1u);
}

// Guards against a request that is answered after its caller has hung up while
// it waited for its check.
BOOST_AUTO_TEST_CASE(CancelledLostRequestIsForgotten) {
  scheduler_options options = Options();
  options.check_suspects = true;
  scheduler_fixture fixture(Servers(2, 4), options);
  const scheduler_request lookup = fixture.Request("look-up");
  fixture.scheduler.OnRequest(lookup, fixture.now);
  fixture.scheduler.OnOutcome(lookup.id, upstream_outcome::kConnectionLost,
                              fixture.now);
  BOOST_TEST(fixture.scheduler.OnCancel(lookup.id, fixture.now).empty());
  BOOST_TEST(
      fixture.scheduler.OnSuspectChecked(lookup.id, fixture.now).empty());
}

BOOST_AUTO_TEST_CASE(RefusesOnArrivalIfItCannotEndInTime) {
  scheduler_fixture fixture(Servers(1, 1));
  scheduler_request first = fixture.Request("first");
  BOOST_TEST(
      ActionsOf<send_action>(fixture.scheduler.OnRequest(first, fixture.now))
          .size() == 1u);
  scheduler_request urgent = fixture.Request("hasty");
  urgent.deadline = fixture.now + milliseconds(50);
  const auto refused = ActionsOf<refuse_action>(
      fixture.scheduler.OnRequest(urgent, fixture.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kWouldMissDeadline));
  BOOST_TEST((refused[0].retry_at > fixture.now));
}

// A request waits behind another that takes far longer than expected. The
// waiting request must be refused as soon as it is unlikely to end in time.
BOOST_AUTO_TEST_CASE(TimerRefusesARequestThatCannotEndInTime) {
  scheduler_fixture fixture(Servers(1, 1));
  fixture.scheduler.OnRequest(fixture.Request("first"), fixture.now);
  const scheduler_request second = fixture.Request("second");
  BOOST_TEST(fixture.scheduler.OnRequest(second, fixture.now).empty());
  const auto timer = fixture.scheduler.NextTimer();
  BOOST_TEST_REQUIRE(timer.has_value());
  BOOST_TEST((*timer < second.deadline));
  const auto refused =
      ActionsOf<refuse_action>(fixture.scheduler.OnTimer(*timer));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kExpiredInQueue));
  BOOST_TEST(!fixture.scheduler.NextTimer().has_value());
}

BOOST_AUTO_TEST_CASE(ResendsToAnotherUpstreamAfterShedding) {
  scheduler_fixture fixture(Servers(2, 1));
  scheduler_request booking = fixture.Request("booking");
  booking.idempotent = false;
  const auto first =
      ActionsOf<send_action>(fixture.scheduler.OnRequest(booking, fixture.now));
  const auto second = ActionsOf<send_action>(fixture.scheduler.OnOutcome(
      booking.id, upstream_outcome::kShedNotRun, fixture.now));
  BOOST_TEST_REQUIRE(second.size() == 1u);
  BOOST_TEST((second[0].upstream != first[0].upstream));
  const auto third = fixture.scheduler.OnOutcome(
      booking.id, upstream_outcome::kShedNotRun, fixture.now);
  BOOST_TEST(ActionsOf<refuse_action>(third).size() == 1u);
}

// A connection breaks after a booking was sent. The booking may have run, so
// sending it again could book twice.
BOOST_AUTO_TEST_CASE(NeverResendsABookingThatMayHaveRun) {
  scheduler_fixture fixture(Servers(2, 1));
  scheduler_request booking = fixture.Request("booking");
  booking.idempotent = false;
  fixture.scheduler.OnRequest(booking, fixture.now);
  const auto actions = fixture.scheduler.OnOutcome(
      booking.id, upstream_outcome::kConnectionLost, fixture.now);
  BOOST_TEST(ActionsOf<send_action>(actions).empty());
  BOOST_TEST(ActionsOf<refuse_action>(actions).empty());
  scheduler_request lookup = fixture.Request("look-up");
  fixture.scheduler.OnRequest(lookup, fixture.now);
  const auto again = fixture.scheduler.OnOutcome(
      lookup.id, upstream_outcome::kConnectionLost, fixture.now);
  BOOST_TEST(ActionsOf<send_action>(again).size() == 1u);
}

// A cancelled request leaves nothing behind: no place in the queue and, after
// its outcome, no slot.
BOOST_AUTO_TEST_CASE(CancelFreesPlaceAndSlot) {
  scheduler_fixture fixture(Servers(1, 1));
  fixture.scheduler.OnRequest(fixture.Request("a"), fixture.now);
  fixture.scheduler.OnRequest(fixture.Request("b"), fixture.now);
  fixture.scheduler.OnRequest(fixture.Request("c"), fixture.now);
  fixture.scheduler.OnCancel(request_id("b"), fixture.now);
  fixture.scheduler.OnCancel(request_id("a"), fixture.now);
  BOOST_TEST(fixture.scheduler.Load(fixture.now).in_flight == 1);
  const auto next = ActionsOf<send_action>(fixture.scheduler.OnOutcome(
      request_id("a"), upstream_outcome::kCancelled, fixture.now));
  BOOST_TEST_REQUIRE(next.size() == 1u);
  BOOST_TEST(next[0].id.Str() == "c");
}

// An upstream moves to another owner while a request is in flight there.
BOOST_AUTO_TEST_CASE(LostUpstreamGetsNothingNewAndStaysCounted) {
  scheduler_fixture fixture(Servers(1, 2));
  fixture.scheduler.OnRequest(fixture.Request("a"), fixture.now);
  fixture.scheduler.SetUpstreams({}, fixture.now);
  BOOST_TEST(fixture.scheduler.InFlightAt(upstream_id("u0")) == 1);
  const auto refused = ActionsOf<refuse_action>(
      fixture.scheduler.OnRequest(fixture.Request("b"), fixture.now));
  BOOST_TEST_REQUIRE(refused.size() == 1u);
  BOOST_TEST((refused[0].reason == refusal_reason::kNoUpstream));
  fixture.scheduler.OnOutcome(request_id("a"), upstream_outcome::kAnswered,
                              fixture.now);
  BOOST_TEST(fixture.scheduler.Load(fixture.now).in_flight == 0);
}

}  // namespace citron
