#include "citron/ctl/config_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "citron/config/fleet_config.h"
#include "citron/config/json_reader.h"
#include "citron/platform/retry_backoff.h"

namespace citron {

namespace {

bool IsSameJson(const std::string& a, const std::string& b) {
  const result<nlohmann::json> left = ParseJson(a);
  const result<nlohmann::json> right = ParseJson(b);
  return IsOk(left) && IsOk(right) && ValueOf(left) == ValueOf(right);
}

change_report Report(const std::string& key, change_outcome outcome,
                     std::string message) {
  change_report report;
  report.key = key;
  report.outcome = outcome;
  report.message = std::move(message);
  return report;
}

change_report Written(const std::string& key, store_revision revision,
                      std::string message) {
  change_report report =
      Report(key, change_outcome::kWritten, std::move(message));
  report.revision = revision;
  return report;
}

change_report LostTo(const std::string& key, const write_conflict& present) {
  std::string message = "someone else removed the object";
  if (present.revision != 0) {
    message =
        fmt::format("lost to revision {} (write {})", present.revision,
                    present.write_id.empty() ? "without id" : present.write_id);
  }
  change_report report =
      Report(key, change_outcome::kLostRace, std::move(message));
  report.present = present;
  report.revision = present.revision;
  return report;
}

write_conflict PresentOf(const std::optional<store_item>& item) {
  if (!item) return {};
  return {item->revision, item->value, item->write_id};
}

// The bound of a value in the platform's service.
constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20;

}  // namespace

std::string_view ChangeOutcomeName(change_outcome outcome) {
  switch (outcome) {
    case change_outcome::kWritten:
      return "written";
    case change_outcome::kUnchanged:
      return "unchanged";
    case change_outcome::kInvalid:
      return "invalid";
    case change_outcome::kLostRace:
      return "lost_race";
    case change_outcome::kNotReached:
      return "not_reached";
    case change_outcome::kUnknown:
      return "unknown";
  }
  return "";
}

exit_code ExitCodeOf(change_outcome outcome) {
  switch (outcome) {
    case change_outcome::kWritten:
    case change_outcome::kUnchanged:
      return exit_code::kOk;
    case change_outcome::kInvalid:
      return exit_code::kInvalid;
    case change_outcome::kLostRace:
      return exit_code::kLostRace;
    case change_outcome::kNotReached:
      return exit_code::kNotReached;
    case change_outcome::kUnknown:
      return exit_code::kUnknown;
  }
  return exit_code::kUnknown;
}

struct config_writer::pending_change {
  std::string key;
  std::optional<std::string> value;
  store_revision expected = 0;
  std::string write_id;
  monotonic_time deadline;
};

config_writer::config_writer(platform_store& store, task_waiter& waiter,
                             std::uint64_t backoff_seed, const limits& bounds)
    : store_(store),
      waiter_(waiter),
      backoff_seed_(backoff_seed),
      limits_(bounds) {}

change_report config_writer::Apply(const config_change& change,
                                   const std::string& write_id) {
  if (change.value) {
    const status checked = CheckConfigObject(change.key, *change.value);
    if (!IsOk(checked)) {
      return Report(change.key, change_outcome::kInvalid,
                    ErrorOf(checked).message);
    }
    if (change.value->size() > kMaxValueBytes) {
      return Report(change.key, change_outcome::kInvalid, "larger than 1 MB");
    }
  }
  const result<store_lookup> read = Read(change.key);
  if (!IsOk(read)) {
    return Report(change.key, change_outcome::kNotReached,
                  ErrorOf(read).message);
  }
  const std::optional<store_item>& present = ValueOf(read).item;
  const store_revision seen = present ? present->revision : 0;
  if (change.expected && *change.expected != seen) {
    return LostTo(change.key, PresentOf(present));
  }
  if (change.must_be_new && present) {
    return LostTo(change.key, PresentOf(present));
  }
  if (!change.value && !present) {
    return Report(change.key, change_outcome::kInvalid, "does not exist");
  }
  if (change.value && present && IsSameJson(*change.value, present->value)) {
    change_report report =
        Report(change.key, change_outcome::kUnchanged, "unchanged");
    report.revision = seen;
    return report;
  }
  return Write({change.key, change.value, seen, write_id,
                waiter_.Now() + limits_.change_limit});
}

// An answer that is lost leaves three possibilities: the write took effect,
// it never will, or it is still under way. The operator who is told the wrong
// one of these either repeats a change over somebody else's or walks away
// from one that is not in force. Reading back tells the first from another's
// change; when nothing has changed, sending the same compare-and-swap again
// settles the other two, since at most one of both copies can find the
// expected revision.
//
// That does not hold for a new object, whose expected revision is "absent":
// if the first copy took effect and someone removed the object at once, the
// second copy would bring it back, say a key that was just withdrawn. So a
// new object is written once, and after that only read.
change_report config_writer::Write(const pending_change& pending) {
  retry_backoff backoff({}, backoff_seed_);
  const bool may_repeat = pending.expected != 0;
  bool may_be_in_force = false;
  while (true) {
    if (!may_be_in_force || may_repeat) {
      const write_result answer = WriteOnce(pending);
      if (auto settled = Settle(pending, answer, may_be_in_force)) {
        return *settled;
      }
    }
    // From here on an answer has been lost.
    may_be_in_force = true;
    if (auto settled = ReadBack(pending)) return *settled;
    const monotonic_time next = backoff.NextAttempt(waiter_.Now());
    if (next >= pending.deadline) {
      return Report(pending.key, change_outcome::kUnknown,
                    "the platform's answer was lost, and it does not tell "
                    "whether the change is in force");
    }
    waiter_.PauseUntil(next);
  }
}

std::optional<change_report> config_writer::Settle(
    const pending_change& pending, const write_result& answer,
    bool may_be_in_force) {
  if (const auto* done = std::get_if<write_done>(&answer)) {
    return Written(pending.key, done->revision,
                   pending.value ? "written" : "removed");
  }
  if (const auto* conflict = std::get_if<write_conflict>(&answer)) {
    // The earlier copy may be what the conflict is with.
    if (may_be_in_force) return std::nullopt;
    return LostTo(pending.key, *conflict);
  }
  const error& problem = std::get<error>(answer);
  if (may_be_in_force || problem.code == error_code::kUnknown) {
    return std::nullopt;
  }
  if (problem.code == error_code::kInvalid) {
    return Report(pending.key, change_outcome::kInvalid, problem.message);
  }
  if (problem.code == error_code::kNotFound) return LostTo(pending.key, {});
  return Report(pending.key, change_outcome::kNotReached, problem.message);
}

std::optional<change_report> config_writer::ReadBack(
    const pending_change& pending) {
  // By range, since only that gives both the write id and, for an absent
  // key, the store's revision.
  const auto read =
      Await<result<store_range>>(waiter_, [&](platform_store::on_range done) {
        store_.Range(pending.key, CallDeadline(), std::move(done));
      });
  if (!IsOk(read)) return std::nullopt;
  const store_range& range = ValueOf(read);
  const auto found =
      std::find_if(range.items.begin(), range.items.end(),
                   [&](const store_item& i) { return i.key == pending.key; });
  if (found == range.items.end()) {
    if (!pending.value) {
      return Written(pending.key, range.revision,
                     "removed (the first answer was lost)");
    }
    if (pending.expected == 0) return std::nullopt;
    return LostTo(pending.key, {});
  }
  if (pending.value && found->write_id == pending.write_id) {
    return Written(pending.key, found->revision,
                   "written (the first answer was lost)");
  }
  if (found->revision == pending.expected) return std::nullopt;
  return LostTo(pending.key, PresentOf(*found));
}

result<store_lookup> config_writer::Read(const std::string& key) {
  return Await<result<store_lookup>>(
      waiter_, [&](platform_store::on_lookup done) {
        store_.Get(key, CallDeadline(), std::move(done));
      });
}

write_result config_writer::WriteOnce(const pending_change& pending) {
  return Await<write_result>(waiter_, [&](platform_store::on_write done) {
    if (!pending.value) {
      store_.Remove(pending.key, pending.expected, CallDeadline(),
                    std::move(done));
      return;
    }
    store_.Put({pending.key, *pending.value, pending.expected, pending.write_id,
                lease_id()},
               CallDeadline(), std::move(done));
  });
}

monotonic_time config_writer::CallDeadline() const {
  return waiter_.Now() + limits_.call_limit;
}

}  // namespace citron
