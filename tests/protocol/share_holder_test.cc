#include "citron/protocol/share_holder.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

namespace {

using citron::cas_conflict;
using citron::cas_ok;
using citron::cas_unknown;
using citron::duration;
using citron::FromSeconds;
using citron::IsOk;
using citron::monotonic_time;
using citron::share_actions;
using citron::share_entry;
using citron::share_holder;
using citron::share_settings;
using citron::share_table;
using citron::vm_id;

const monotonic_time kStart{std::chrono::seconds(1000)};
constexpr std::uint64_t kIncarnation = 5;

template <class Action>
const Action* Find(const share_actions& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

// Store and clock of one share_holder; each test supplies the answers of the
// store.
struct fixture {
  fixture() { Make({}); }

  void Make(const share_settings& settings) {
    holder = std::make_unique<share_holder>(vm_id("me"), citron::zone_id("z"),
                                            kIncarnation, settings, 1);
  }

  monotonic_time At(double seconds) const {
    return kStart + FromSeconds(seconds);
  }
  share_entry& Entry(const std::string& vm) {
    return table.FindOrAdd(vm_id(vm));
  }
  share_entry& LocalEntry(int floor, int leased) {
    share_entry& local = Entry("me");
    local.zone = citron::zone_id("z");
    local.incarnation = kIncarnation;
    local.floor_ppm = floor;
    local.leased_ppm = leased;
    return local;
  }
  // Starts a read at `requested` and delivers the table at `answered`.
  share_actions Read(double requested, double answered) {
    if (requested == 0) {
      holder->Start(At(0));
    } else {
      BOOST_REQUIRE(Find<citron::read_table>(holder->OnTimer(At(requested))));
    }
    return holder->OnTableRead(EncodeShareTable(table), ++revision,
                               At(answered));
  }
  // Applies the write in `actions`, if any, and reports success.
  share_actions ApplyWrite(const share_actions& actions, double answered) {
    const auto* write = Find<citron::write_table>(actions);
    if (write == nullptr) return {};
    const auto parsed = citron::ParseShareTable(write->json);
    BOOST_REQUIRE(IsOk(parsed));
    table = ValueOf(parsed);
    return holder->OnCasResult(write->id, cas_ok{++revision}, At(answered));
  }
  int Granted() const {
    return holder->Share().floor_ppm + holder->Share().leased_ppm;
  }

  share_table table;
  std::uint64_t revision = 0;
  std::unique_ptr<share_holder> holder;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(FirstVmJoinsAndTakesTheWhole, fixture) {
  ApplyWrite(Read(0, 0.1), 0.2);
  BOOST_TEST(Granted() == 0);
  ApplyWrite(Read(2, 2.1), 2.2);
  BOOST_TEST(Granted() == citron::kWholePpm);
  BOOST_TEST(table.FreePpm() == 0);
}

// The store's answer takes almost as long as the reply timeout. A VM that
// counted the lease from the answer would use its part after another VM has
// taken it.
BOOST_FIXTURE_TEST_CASE(LeaseCountsFromBeforeTheRead, fixture) {
  LocalEntry(500'000, 100'000);
  Entry("other") = {.vm = vm_id("other"), .floor_ppm = 400'000};
  Read(0, 0.9);
  BOOST_TEST((holder->Share().leased_until == At(0) + share_settings{}.lease));
  BOOST_TEST(
      (holder->Share().floor_until == At(0) + share_settings{}.floor_horizon));
}

// Another VM has marked this VM as suspect and waits for its lease to end. That
// VM could not see a renewal, so a read must not renew the lease.
BOOST_FIXTURE_TEST_CASE(ReadRenewsNothingWhileSuspect, fixture) {
  LocalEntry(500'000, 500'000);
  ApplyWrite(Read(0, 0.1), 0.2);
  const monotonic_time until = holder->Share().leased_until;
  LocalEntry(500'000, 500'000).is_suspect = true;
  const share_actions actions = Read(5, 5.1);
  BOOST_TEST((holder->Share().leased_until == until));
  const auto* write = Find<citron::write_table>(actions);
  BOOST_REQUIRE(write != nullptr);
  const auto cleared = citron::ParseShareTable(write->json);
  BOOST_TEST(!ValueOf(cleared).Find(vm_id("me"))->is_suspect);
  ApplyWrite(actions, 5.3);
  BOOST_TEST(
      (holder->Share().leased_until == At(5.1) + share_settings{}.lease));
}

// The other VMs serve a dead VM's callers and need its share. The VM may also
// be cut off and still serving, so its leased part is free only after it has
// expired there, and its floor is not free at all.
BOOST_FIXTURE_TEST_CASE(LeasedPartOfSilentVmIsTakenAfterLeaseAndMargin,
                        fixture) {
  LocalEntry(400'000, 100'000);
  Entry("dead") = {
      .vm = vm_id("dead"), .floor_ppm = 400'000, .leased_ppm = 100'000};
  holder->OnMembership({vm_id("me")});
  ApplyWrite(Read(0, 0.1), 0.2);
  BOOST_TEST(!table.Find(vm_id("dead"))->is_suspect);
  ApplyWrite(Read(9.5, 9.6), 9.7);
  BOOST_REQUIRE(table.Find(vm_id("dead"))->is_suspect);
  ApplyWrite(Read(19.5, 19.6), 19.7);
  BOOST_TEST(table.Find(vm_id("dead"))->leased_ppm == 100'000);
  ApplyWrite(Read(23.5, 23.6), 23.8);
  BOOST_TEST(table.Find(vm_id("dead"))->leased_ppm == 0);
  BOOST_TEST(table.Find(vm_id("dead"))->floor_ppm == 400'000);
  BOOST_TEST(Granted() == 600'000);
}

// A suspect clears its mark between the read and the write of the VM that wants
// its part.
BOOST_FIXTURE_TEST_CASE(ClearedMarkPreventsTakingThePart, fixture) {
  LocalEntry(400'000, 100'000);
  share_entry dead{.vm = vm_id("dead"),
                   .floor_ppm = 400'000,
                   .leased_ppm = 100'000,
                   .is_suspect = true};
  Entry("dead") = dead;
  holder->OnMembership({vm_id("me")});
  ApplyWrite(Read(0, 0.1), 0.2);
  const share_actions actions = Read(11, 11.1);
  const auto* write = Find<citron::write_table>(actions);
  BOOST_REQUIRE(write != nullptr);
  Entry("dead").is_suspect = false;
  Entry("dead").writes = 1;
  const share_actions after = holder->OnCasResult(
      write->id, cas_conflict{EncodeShareTable(table), ++revision}, At(11.2));
  BOOST_TEST((Find<citron::write_table>(after) == nullptr));
  BOOST_TEST(Granted() == 500'000);
}

// A VM joins. If the table gave it a part before the entries of this VM have
// stopped using that part, both VMs would use it.
BOOST_FIXTURE_TEST_CASE(TableIsLoweredAfterTheEntriesAndTheirLoans, fixture) {
  LocalEntry(950'000, 50'000);
  ApplyWrite(Read(0, 0.1), 0.2);
  BOOST_TEST(Granted() == 1'000'000);
  Entry("new") = {.vm = vm_id("new")};
  ApplyWrite(Read(4, 4.1), 4.2);
  BOOST_TEST(Granted() == 500'000);
  const std::uint64_t sequence = holder->Share().sequence;
  // Much later, but without an acknowledgement of the entries.
  ApplyWrite(Read(30, 30.1), 30.2);
  BOOST_TEST(table.Find(vm_id("me"))->floor_ppm == 950'000);
  holder->OnGrantApplied(sequence, At(31));
  ApplyWrite(Read(33.5, 33.55), 33.6);
  BOOST_TEST(table.FreePpm() == 500'000);
  BOOST_TEST(Granted() == 500'000);
}

// Without a floor to lower, no acknowledgement is needed: the leased part
// expires by itself.
BOOST_FIXTURE_TEST_CASE(LeasedPartIsLoweredAfterExpiry, fixture) {
  LocalEntry(0, 1'000'000);
  share_settings settings;
  settings.floor_ppm = 0;
  Make(settings);
  ApplyWrite(Read(0, 0.1), 0.2);
  Entry("new") = {.vm = vm_id("new")};
  ApplyWrite(Read(4, 4.1), 4.2);
  ApplyWrite(Read(8, 8.1), 8.2);
  BOOST_TEST(table.FreePpm() == 0);
  ApplyWrite(Read(12, 12.1), 12.2);
  ApplyWrite(Read(16, 16.1), 16.2);
  BOOST_TEST(table.FreePpm() == 500'000);
}

// The store's answer is lost after the write took effect. The written share
// counts once a read has seen it, and from the start of that read.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsResolvedByTheNextRead, fixture) {
  ApplyWrite(Read(0, 0.1), 0.2);
  const share_actions actions = Read(2, 2.1);
  const auto* write = Find<citron::write_table>(actions);
  BOOST_REQUIRE(write != nullptr);
  const std::uint64_t id = write->id;
  table = ValueOf(citron::ParseShareTable(write->json));
  holder->OnCasResult(id, cas_unknown{}, At(3));
  BOOST_TEST(Granted() == 0);
  Read(4, 4.1);
  BOOST_TEST(Granted() == citron::kWholePpm);
  BOOST_TEST((holder->Share().leased_until == At(4) + share_settings{}.lease));
  // The answer to the write arrives late.
  BOOST_TEST(holder->OnCasResult(id, cas_ok{2}, At(5)).empty());
}

// A control process is paused for long, and another process of the same VM
// replaces it. The old process must not grant or write any more.
BOOST_FIXTURE_TEST_CASE(ReplacedProcessStops, fixture) {
  LocalEntry(500'000, 500'000);
  ApplyWrite(Read(0, 0.1), 0.2);
  LocalEntry(500'000, 500'000).incarnation = kIncarnation + 1;
  const share_actions actions = Read(60, 60.1);
  BOOST_TEST((Find<citron::write_table>(actions) == nullptr));
  BOOST_TEST(Granted() == 0);
  BOOST_TEST(holder->OnTimer(At(70)).empty());
}

// An operator declares a VM dead. Its floor is released after the time that its
// loans may still be in use.
BOOST_FIXTURE_TEST_CASE(FloorOfDeadVmIsReleased, fixture) {
  LocalEntry(400'000, 100'000);
  Entry("dead") = {.vm = vm_id("dead"), .floor_ppm = 500'000};
  ApplyWrite(Read(0, 0.1), 0.2);
  holder->OnVmsDeclaredDead({vm_id("dead")}, At(3));
  ApplyWrite(Read(4, 4.1), 4.2);
  BOOST_TEST((table.Find(vm_id("dead")) != nullptr));
  ApplyWrite(Read(8, 8.1), 8.2);
  BOOST_TEST((table.Find(vm_id("dead")) == nullptr));
  BOOST_TEST(Granted() == citron::kWholePpm);
  holder->OnVmsDeclaredDead({vm_id("dead"), vm_id("me")}, At(9));
  BOOST_TEST(Granted() == 0);
}

BOOST_FIXTURE_TEST_CASE(ReleaseStopsTheEntriesBeforeTheTable, fixture) {
  LocalEntry(950'000, 50'000);
  ApplyWrite(Read(0, 0.1), 0.2);
  const share_actions actions = holder->OnRelease(At(1));
  BOOST_TEST((Find<citron::grant_changed>(actions) != nullptr));
  BOOST_TEST(Granted() == 0);
  ApplyWrite(Read(4, 4.1), 4.2);
  BOOST_TEST((table.Find(vm_id("me")) != nullptr));
  holder->OnGrantApplied(holder->Share().sequence, At(5));
  const share_actions done = ApplyWrite(Read(7.6, 7.7), 7.8);
  BOOST_TEST((table.Find(vm_id("me")) == nullptr));
  BOOST_TEST((Find<citron::release_done>(done) != nullptr));
  BOOST_TEST(holder->IsReleased());
}

// The table was overwritten with invalid data, or a stale replica answers.
BOOST_FIXTURE_TEST_CASE(UnusableTablesRenewNothing, fixture) {
  LocalEntry(950'000, 50'000);
  ApplyWrite(Read(0, 0.1), 0.2);
  const monotonic_time until = holder->Share().leased_until;
  BOOST_REQUIRE(Find<citron::read_table>(holder->OnTimer(At(4))));
  share_actions actions = holder->OnTableRead("{}", 9, At(4.1));
  BOOST_TEST((Find<citron::write_table>(actions) == nullptr));
  BOOST_REQUIRE(Find<citron::read_table>(holder->OnTimer(At(5))));
  actions = holder->OnTableRead(EncodeShareTable(table), 0, At(5.1));
  BOOST_TEST((Find<citron::write_table>(actions) == nullptr));
  BOOST_TEST((holder->Share().leased_until == until));
}
