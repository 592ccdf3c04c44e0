#ifndef CITRON_POLICY_RECENT_ANSWERS_H_
#define CITRON_POLICY_RECENT_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "citron/base/time.h"

namespace citron {

// Records which requests were answered recently, by fingerprint. The size is
// fixed: an answer to one request may overwrite the record of another.
class recent_answers {
 public:
  explicit recent_answers(std::size_t size);

  void Add(std::uint64_t fingerprint, monotonic_time now);
  // Returns whether an answer at or after `since` is recorded.
  bool IsAnsweredSince(std::uint64_t fingerprint, monotonic_time since) const;

 private:
  struct answer {
    std::uint64_t fingerprint = 0;
    monotonic_time at{};
  };

  std::vector<answer> answers_;  // Indexed by the fingerprint modulo the size.
};

}  // namespace citron

#endif  // CITRON_POLICY_RECENT_ANSWERS_H_
