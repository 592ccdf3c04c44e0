#ifndef CITRON_NET_ANSWER_CHECK_H_
#define CITRON_NET_ANSWER_CHECK_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "citron/net/http1_reader.h"
#include "citron/policy/answer_guard.h"

struct evbuffer;

namespace citron {

// Checks the bytes of an answer for a parser that accepts malformed or endless
// ones.
class answer_check : private http1_listener {
 public:
  explicit answer_check(std::size_t max_head_bytes);

  // Another answer begins. That to a HEAD request has no body.
  void Begin(bool expects_body);

  // Takes the bytes of `input` from `start` on, which stay there. Returns
  // whether what has come can still be an answer; if not, the answer is over.
  bool Take(evbuffer* input, std::size_t start);

 private:
  void OnHead(http1_head head) override;
  void OnBody(std::string_view bytes) override;
  void OnInterimHead(std::size_t bytes) override;
  void OnFraming(std::size_t bytes) override;

  http1_reader reader_;
  answer_guard guard_;
  bool is_within_bounds_ = true;
  std::unique_ptr<evbuffer, void (*)(evbuffer*)> unread_;
};

}  // namespace citron

#endif  // CITRON_NET_ANSWER_CHECK_H_
