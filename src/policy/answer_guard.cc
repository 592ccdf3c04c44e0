#include "citron/policy/answer_guard.h"

namespace citron {

answer_guard::answer_guard(const answer_guard_options& options)
    : options_(options) {}

bool answer_guard::OnInterimBytes(std::size_t bytes) {
  interim_ += bytes;
  return interim_ <= options_.max_interim_bytes;
}

bool answer_guard::OnFramingBytes(std::size_t bytes) {
  framing_ += bytes;
  const double most =
      static_cast<double>(options_.max_framing_bytes) +
      options_.max_framing_per_body_byte * static_cast<double>(body_);
  return static_cast<double>(framing_) <= most;
}

bool answer_guard::OnBodyBytes(std::size_t bytes, bool is_used) {
  body_ += bytes;
  if (!is_used) unused_ += bytes;
  return unused_ <= options_.max_unused_bytes;
}

void answer_guard::Reset() { *this = answer_guard(options_); }

}  // namespace citron
