#include "citron/net/answer_check.h"

#include <event2/buffer.h>

#include <vector>

namespace citron {

namespace {

// Copies the bytes from `start` on.
void AppendRest(evbuffer* from, std::size_t start, evbuffer* to) {
  evbuffer_ptr position;
  if (evbuffer_ptr_set(from, &position, start, EVBUFFER_PTR_SET) != 0) return;
  const int count = evbuffer_peek(from, -1, &position, nullptr, 0);
  std::vector<evbuffer_iovec> pieces(static_cast<std::size_t>(count));
  evbuffer_peek(from, -1, &position, pieces.data(), count);
  for (const evbuffer_iovec& piece : pieces) {
    evbuffer_add(to, piece.iov_base, piece.iov_len);
  }
}

}  // namespace

answer_check::answer_check(std::size_t max_head_bytes)
    : reader_(http1_reader::direction::kAnswers, max_head_bytes, *this),
      unread_(evbuffer_new(), &evbuffer_free) {}

void answer_check::Begin(bool expects_body) {
  reader_.Reset();
  if (!expects_body) reader_.ExpectNoBody();
  guard_.Reset();
  is_within_bounds_ = true;
  evbuffer_drain(unread_.get(), evbuffer_get_length(unread_.get()));
}

bool answer_check::Take(evbuffer* input, std::size_t start) {
  if (reader_.IsComplete()) return true;
  AppendRest(input, start, unread_.get());
  const http1_reader::progress made = reader_.Read(unread_.get());
  return is_within_bounds_ && made != http1_reader::progress::kFault;
}

void answer_check::OnHead(http1_head /*head*/) {}

// The size of the body is the caller's to bound.
void answer_check::OnBody(std::string_view bytes) {
  guard_.OnBodyBytes(bytes.size(), true);
}

void answer_check::OnInterimHead(std::size_t bytes) {
  if (!guard_.OnInterimBytes(bytes)) is_within_bounds_ = false;
}

void answer_check::OnFraming(std::size_t bytes) {
  if (!guard_.OnFramingBytes(bytes)) is_within_bounds_ = false;
}

}  // namespace citron
