#include "citron/policy/recent_answers.h"

namespace citron {

recent_answers::recent_answers(std::size_t size) : answers_(size) {}

void recent_answers::Add(std::uint64_t fingerprint, monotonic_time now) {
  answers_[fingerprint % answers_.size()] = {fingerprint, now};
}

bool recent_answers::IsAnsweredSince(std::uint64_t fingerprint,
                                     monotonic_time since) const {
  const answer& last = answers_[fingerprint % answers_.size()];
  return last.fingerprint == fingerprint && last.at != monotonic_time{} &&
         last.at >= since;
}

}  // namespace citron
