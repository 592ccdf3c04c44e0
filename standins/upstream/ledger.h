#ifndef STANDINS_UPSTREAM_LEDGER_H_
#define STANDINS_UPSTREAM_LEDGER_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "citron/base/time.h"
#include "citron/net/http_types.h"

namespace citron {

enum class work_outcome {
  kRunning,
  kAnswered,
  kCancelled,  // The connection closed while it ran.
  kHungUp,     // It ran; the connection closed before the answer was out.
  kCrashed,
  kDeadline,  // Cut at its deadline.
  kError,
  kShed,
  kLeaving,
  kExpired,  // Arrived after its deadline.
  kOverConnections,
};

std::string_view WorkOutcomeName(work_outcome outcome);

struct ledger_entry {
  std::uint64_t number = 0;
  http_request request;
  std::string body_digest;
  monotonic_time started{};
  monotonic_time ended{};
  // Whether it got a slot, so that its effect may have happened.
  bool ran = false;
  work_outcome outcome = work_outcome::kRunning;
};

nlohmann::json ToJson(const ledger_entry& entry, const std::string& upstream);

// What came to an upstream and what became of it, in order of ending; the
// oldest entries go when it is full.
class ledger {
 public:
  void Add(ledger_entry entry);
  nlohmann::json EntriesAfter(std::uint64_t number, std::size_t limit,
                              const std::string& upstream) const;

 private:
  std::deque<ledger_entry> entries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace citron

#endif  // STANDINS_UPSTREAM_LEDGER_H_
