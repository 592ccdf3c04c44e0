#ifndef CITRON_NET_HTTP1_READER_H_
#define CITRON_NET_HTTP1_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "citron/net/chunk_framing.h"
#include "citron/net/http_types.h"

struct evbuffer;

namespace citron {

enum class http1_fault {
  kNone,
  kHeadTooLarge,
  kMalformed,  // Not HTTP/1.1, or framed in a way that two readers could
               // understand differently.
};

// The head of a request or an answer. `status` is 0 for a request, `method`
// empty for an answer.
struct http1_head {
  std::string method;
  std::string target;
  int status = 0;
  http_headers headers;
  bool keep_alive = true;
  // Bytes of the body, if the head says so.
  std::optional<std::uint64_t> body_length;
  bool chunked = false;
};

// What a reader reports; none of these may destroy the reader.
class http1_listener {
 public:
  virtual ~http1_listener() = default;
  virtual void OnHead(http1_head head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  // An interim answer of that size, or that many bytes around the body: chunk
  // sizes, extensions and trailers.
  virtual void OnInterimHead(std::size_t /*bytes*/) {}
  virtual void OnFraming(std::size_t /*bytes*/) {}
};

// Reads HTTP/1.1 messages, one at a time, from a connection's input. Bodies are
// handed on in pieces and never gathered. It stops at the end of a message, so
// that what follows stays in the input.
class http1_reader {
 public:
  enum class direction { kRequests, kAnswers };
  enum class progress { kNeedsMore, kMessageComplete, kFault };

  // `max_head_bytes` bounds a head, and the list of headers of an answer.
  http1_reader(direction what, std::size_t max_head_bytes,
               http1_listener& listener);
  http1_reader(const http1_reader&) = delete;
  http1_reader& operator=(const http1_reader&) = delete;

  // Takes what it can from the input.
  progress Read(evbuffer* input);
  // The peer closed its side. Whether that completes an answer whose body has
  // no length.
  bool CompletesAtEnd() const;

  // To be called before the answer to a HEAD request is read.
  void ExpectNoBody() { no_body_ = true; }
  // Ready for the next message.
  void Reset();

  http1_fault Fault() const { return fault_; }
  // The whole message was read.
  bool IsComplete() const { return state_ == state::kComplete; }

 private:
  enum class state { kHead, kBody, kComplete };
  struct callbacks;

  progress ReadHead(evbuffer* input);
  progress ReadOneHead(evbuffer* input);
  progress ReadBody(evbuffer* input);
  progress Fail(http1_fault fault);
  bool Feed(const char* bytes, std::size_t count, std::size_t* taken);

  direction what_;
  std::size_t max_head_bytes_;
  http1_listener& listener_;
  http_parser parser_;
  state state_ = state::kHead;
  http1_fault fault_ = http1_fault::kNone;
  http1_head head_;
  std::optional<chunk_framing> chunks_;  // Of a body in chunks.
  bool value_began_ = false;
  bool no_body_ = false;
  std::size_t body_bytes_ = 0;  // Of the piece that is read now.
  bool is_framed_ = false;      // The answer's end is told by its head.
};

}  // namespace citron

#endif  // CITRON_NET_HTTP1_READER_H_
