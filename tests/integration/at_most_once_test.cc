#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <utility>
#include <vector>

#include "integration/closed_load.h"
#include "integration/fleet.h"
#include "integration/harness.h"

namespace citron {
namespace {

constexpr char kKey[] = "key-of-depot";
constexpr std::uint64_t kSeed = 7;
constexpr int kBookings = 2000;
constexpr int kCallers = 24;
constexpr int kMostAttempts = 6;
constexpr int kUpstreams = 3;
constexpr std::size_t kShownBody = 100;
// The caller waits longer than the fleet may work on a request, so that an
// attempt whose answer it gave up on can't begin to run any more.
constexpr char kDeadlineMs[] = "1500";
constexpr duration kCallerLimit = std::chrono::milliseconds(2500);

const std::vector<std::string> kVms = {"z1vm1", "z1vm2", "z1vm3"};

// One booking of a caller: first an id, then the request with it as often as
// it needs.
struct booking {
  std::string id;
  std::string target;
  int attempts = 0;
  std::string answers;  // To each attempt, for a failed check's message.
};

enum class told { kRan, kNotRun, kUnknown };

fleet_plan Plan() {
  fleet_plan plan = SmallPlan(1, 3, kUpstreams);
  plan.upstreams_behind_proxy = true;
  return plan;
}

// One zone with three VMs; every way between processes can be broken.
class at_most_once_fixture : public harness {
 public:
  at_most_once_fixture()
      : fleet_(*this, Plan()),
        random_(kSeed),
        bookings_(kCallers),
        load_(
            Caller(), kCallers, [this](int caller) { return Next(caller); },
            [this](int caller, const planned_call& planned,
                   const caller_call& call) { OnEnd(caller, planned, call); }) {
    fleet_.Start();
  }

  fleet& Fleet() { return fleet_; }
  closed_load& Load() { return load_; }

  void RunUntilBooked(int part_of_thousand) {
    const auto wanted = std::size_t{kBookings} *
                        static_cast<std::size_t>(part_of_thousand) / 1000;
    BOOST_REQUIRE(Load().RunUntil([&] { return told_.size() >= wanted; }));
  }

  void RunUntilOwned(const std::string& vm, std::size_t upstreams) {
    BOOST_REQUIRE(Load().RunUntil(
        [&] { return Fleet().OwnedUpstreams(vm) >= upstreams; }));
  }

  // Requests that upstreams ran, by id.
  std::map<std::string, int> Runs() {
    std::map<std::string, int> runs;
    for (const auto& entry : Fleet().Ledger()) {
      if (entry.value("ran", true)) ++runs[entry.at("request_id")];
    }
    return runs;
  }

  const std::map<std::string, told>& Told() const { return told_; }
  const std::string& AnswersTo(const std::string& id) const {
    return answers_.at(id);
  }
  int Repeats() const { return repeats_; }
  long CountTold(told what) const {
    return std::count_if(told_.begin(), told_.end(),
                         [what](const auto& t) { return t.second == what; });
  }

 private:
  planned_call Next(int caller) {
    booking& b = bookings_[static_cast<std::size_t>(caller)];
    planned_call next;
    next.vm = kVms[random_(static_cast<std::uint32_t>(kVms.size()))];
    next.server = fleet_.Entry(next.vm);
    next.limit = kCallerLimit;
    next.request = {"POST",
                    "/v1/request-ids?count=1",
                    {{"Authorization", std::string("Bearer ") + kKey}},
                    ""};
    if (b.id.empty()) return next;
    ++b.attempts;
    if (b.attempts > 1) ++repeats_;
    next.request.target = b.target;
    next.request.headers.push_back({"Citron-Request-Id", b.id});
    next.request.headers.push_back({"Citron-Deadline-Ms", kDeadlineMs});
    next.request.body = "one seat";
    return next;
  }

  void OnEnd(int caller, const planned_call& planned, const caller_call& call) {
    booking& b = bookings_[static_cast<std::size_t>(caller)];
    if (planned.request.target.starts_with("/v1/")) {
      return TakeId(b, call);
    }
    const auto verdict =
        FindHeader(call.response.head.headers, "Citron-Verdict");
    b.answers += fmt::format(
        " {} {} {}", planned.vm, call.response.head.status,
        call.answered ? call.response.body.substr(0, kShownBody) : "lost");
    if (call.answered && verdict == "ran") return End(b, told::kRan);
    if (b.attempts < kMostAttempts) return;
    // The last word counts; an attempt that got no answer at all leaves the
    // caller without one.
    const bool is_not_run = call.answered && verdict == "not_run";
    End(b, is_not_run ? told::kNotRun : told::kUnknown);
  }

  void TakeId(booking& b, const caller_call& call) {
    if (!call.answered || call.response.head.status != 200) return;
    b = {};
    b.id = nlohmann::json::parse(call.response.body).at("ids").at(0);
    b.target = fmt::format("/desk/bookings/{}?work_ms=5", ++last_booking_);
  }

  void End(booking& b, told what) {
    told_[b.id] = what;
    answers_[b.id] = b.answers;
    b = {};
  }

  fleet fleet_;
  pcg32 random_;
  std::vector<booking> bookings_;
  std::map<std::string, told> told_;
  std::map<std::string, std::string> answers_;
  int last_booking_ = 0;
  int repeats_ = 0;
  closed_load load_;
};

BOOST_FIXTURE_TEST_SUITE(at_most_once, at_most_once_fixture)

// Callers book seats, and ask again with the same id at another VM whenever an
// answer is lost or says that it is not known. Meanwhile daemons are killed,
// stand still and wake again, and connections lose answers after their effect.
// A seat that is booked twice is paid twice; a booking that is told as not run
// but did is never looked for.
BOOST_AUTO_TEST_CASE(NoBookingRunsTwice) {
  RunUntilBooked(100);
  Fleet().Daemon("z1vm1", "dispatch").Kill();
  RunUntilBooked(200);
  Fleet().StartDaemon("z1vm1", "dispatch");
  RunUntilBooked(300);
  // A standing entry holds requests and ids that it issued.
  Fleet().Daemon("z1vm2", "entry").Signal(SIGSTOP);
  RunUntilBooked(400);
  Fleet().Daemon("z1vm2", "entry").Signal(SIGCONT);
  // A standing dispatch loses its upstreams to the others.
  Fleet().Daemon("z1vm3", "dispatch").Signal(SIGSTOP);
  RunUntilBooked(500);
  Fleet().Daemon("z1vm3", "dispatch").Signal(SIGCONT);
  RunUntilBooked(550);
  Fleet().Daemon("z1vm1", "entry").Kill();
  RunUntilBooked(600);
  Fleet().StartDaemon("z1vm1", "entry");
  RunUntilBooked(650);
  // The answer is lost between upstream and dispatch, after the effect.
  Fleet().SetRouteFault("z1", "z1u1", {{"lose_answer", true}});
  RunUntilBooked(750);
  Fleet().SetRouteFault("z1", "z1u1", nlohmann::json::object());
  // And between entry and dispatch, or entry and the issuer of the id.
  Fleet().SetRouteFault("z1vm2", "z1vm3", {{"lose_answer", true}});
  RunUntilBooked(850);
  Fleet().SetRouteFault("z1vm2", "z1vm3", nlohmann::json::object());
  RunUntilBooked(1000);
  BOOST_REQUIRE(Load().Stop());

  const std::map<std::string, int> runs = Runs();
  for (const auto& [id, count] : runs) {
    BOOST_TEST(count == 1, id << " ran " << count << " times");
  }
  for (const auto& [id, what] : Told()) {
    if (what == told::kRan)
      BOOST_TEST(runs.contains(id), id << " told ran:" << AnswersTo(id));
    if (what == told::kNotRun) {
      BOOST_TEST(!runs.contains(id), id << " told not run:" << AnswersTo(id));
    }
  }
  fmt::print(
      "{} bookings, {} repeats: {} told ran, {} not run, {} unknown; {} in the "
      "ledgers\n",
      Told().size(), Repeats(), CountTold(told::kRan), CountTold(told::kNotRun),
      CountTold(told::kUnknown), runs.size());
  // The faults bit, and most bookings went through all the same.
  BOOST_TEST(Repeats() > 0);
  BOOST_TEST(CountTold(told::kRan) * 10 > kBookings * 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
