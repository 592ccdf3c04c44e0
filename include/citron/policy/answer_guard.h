#ifndef CITRON_POLICY_ANSWER_GUARD_H_
#define CITRON_POLICY_ANSWER_GUARD_H_

#include <cstddef>

namespace citron {

struct answer_guard_options {
  // Heads before the one that counts: interim answers.
  std::size_t max_interim_bytes = std::size_t{64} << 10;
  // Bytes that frame a body, beyond a fraction of the body itself: chunk sizes,
  // extensions and trailers.
  std::size_t max_framing_bytes = std::size_t{64} << 10;
  double max_framing_per_body_byte = 16;
  // Body of an answer that nobody gets: a failure, a refusal, or the late
  // answer to an earlier request.
  std::size_t max_unused_bytes = std::size_t{1} << 20;
};

// Tells when the bytes of an upstream are no answer any more. Load pattern: an
// upstream that sends without end, in a head or a body, until it is cut off.
class answer_guard {
 public:
  explicit answer_guard(const answer_guard_options& options = {});

  // Each returns whether the answer may go on.
  bool OnInterimBytes(std::size_t bytes);
  bool OnFramingBytes(std::size_t bytes);
  bool OnBodyBytes(std::size_t bytes, bool is_used);
  // The next answer begins.
  void Reset();

 private:
  answer_guard_options options_;
  std::size_t interim_ = 0;
  std::size_t framing_ = 0;
  std::size_t body_ = 0;
  std::size_t unused_ = 0;
};

}  // namespace citron

#endif  // CITRON_POLICY_ANSWER_GUARD_H_
