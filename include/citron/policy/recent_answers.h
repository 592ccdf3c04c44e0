#ifndef CITRON_POLICY_RECENT_ANSWERS_H_
#define CITRON_POLICY_RECENT_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "citron/base/time.h"

namespace citron {

// Which requests were answered lately, by fingerprint. Of bounded size: an
// answer to one request may overwrite that to another.
class recent_answers {
 public:
  explicit recent_answers(std::size_t size);

  void Add(std::uint64_t fingerprint, monotonic_time now);
  bool IsAnsweredSince(std::uint64_t fingerprint, monotonic_time since) const;

 private:
  struct answer {
    std::uint64_t fingerprint = 0;
    monotonic_time at{};
  };

  std::vector<answer> answers_;  // By fingerprint, modulo the size.
};

}  // namespace citron

#endif  // CITRON_POLICY_RECENT_ANSWERS_H_
