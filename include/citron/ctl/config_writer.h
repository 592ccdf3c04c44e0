#ifndef CITRON_CTL_CONFIG_WRITER_H_
#define CITRON_CTL_CONFIG_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "citron/ctl/task_waiter.h"
#include "citron/platform/platform_store.h"

namespace citron {

enum class change_outcome {
  kWritten,     // In the store at `revision`.
  kUnchanged,   // The store already held this value.
  kInvalid,     // Refused before anything was sent.
  kLostRace,    // Another change stands there, told in `present`.
  kNotReached,  // No answer from the platform; nothing changed.
  kUnknown,     // No answer; the change may be in force.
};

std::string_view ChangeOutcomeName(change_outcome outcome);

// Processes' exit codes, as documented for scripts.
enum class exit_code {
  kOk = 0,
  kInvalid = 2,
  kLostRace = 3,
  kNotReached = 4,
  kUnknown = 5,
  kNotInForce = 6,
};

exit_code ExitCodeOf(change_outcome outcome);

struct change_report {
  change_outcome outcome = change_outcome::kInvalid;
  std::string key;
  store_revision revision = 0;
  std::string message;
  // kLostRace: what stands in the store now; revision 0 if nothing does.
  write_conflict present;
};

// One object to set, or to remove when `value` is absent.
struct config_change {
  std::string key;
  std::optional<std::string> value;
  // The revision that the operator saw; none takes the one at the time of
  // writing.
  std::optional<store_revision> expected;
  // Refuse to replace an object that exists.
  bool must_be_new = false;
};

// Changes one object of the configuration by compare-and-swap, and finds out
// what became of a write whose answer was lost.
class config_writer {
 public:
  struct limits {
    // For one call.
    duration call_limit = std::chrono::milliseconds(1500);
    // For the whole change with its repeats.
    duration change_limit = std::chrono::seconds(10);
  };

  config_writer(platform_store& store, task_waiter& waiter,
                std::uint64_t backoff_seed, const limits& bounds);

  // `write_id` must be new for each change.
  change_report Apply(const config_change& change, const std::string& write_id);

 private:
  struct pending_change;

  result<store_lookup> Read(const std::string& key);
  write_result WriteOnce(const pending_change& pending);
  change_report Write(const pending_change& pending);
  // What one answer settles; none if it was lost, or may be the answer to a
  // repeat of a write that took effect before.
  static std::optional<change_report> Settle(const pending_change& pending,
                                             const write_result& answer,
                                             bool may_be_in_force);
  // What the store says about a write whose answer was lost; none if the
  // write has not taken effect so far or the store does not answer.
  std::optional<change_report> ReadBack(const pending_change& pending);
  monotonic_time CallDeadline() const;

  platform_store& store_;
  task_waiter& waiter_;
  std::uint64_t backoff_seed_;
  limits limits_;
};

}  // namespace citron

#endif  // CITRON_CTL_CONFIG_WRITER_H_
