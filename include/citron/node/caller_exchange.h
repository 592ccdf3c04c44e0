#ifndef CITRON_NODE_CALLER_EXCHANGE_H_
#define CITRON_NODE_CALLER_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "citron/net/http1_reader.h"
#include "citron/net/http_types.h"

namespace citron {

// The way to answer one request. After Reply, FinishBody or Abort the handler
// is told nothing more and is destroyed once the present callback has returned.
class caller_exchange {
 public:
  virtual ~caller_exchange() = default;
  // The whole answer.
  virtual void Reply(int status, const http_headers& headers,
                     std::string_view body) = 0;
  // A streamed answer; without a length it goes in chunks.
  virtual void StartReply(int status, const http_headers& headers,
                          std::optional<std::uint64_t> length) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  virtual void FinishBody() = 0;
  // Resets the connection, so that the caller sees a broken answer and never a
  // short one that looks whole.
  virtual void Abort() = 0;
  // Bytes that the caller has not taken yet; OnDrained tells when there are
  // none.
  virtual std::size_t PendingBytes() const = 0;
  // Stops and resumes reading of the request's body.
  virtual void PauseBody() = 0;
  virtual void ResumeBody() = 0;
};

// Why a caller's connection ended with work left on it.
enum class connection_cut {
  kClosedByCaller,
  kTimedOut,    // The kernel heard nothing of the caller for too long.
  kCloseLimit,  // The caller didn't take the last answer in time.
  kProcessEnd,
};

std::string_view ToString(connection_cut cause);

// What becomes of one request.
class request_handler {
 public:
  virtual ~request_handler() = default;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnBodyEnd() = 0;
  // The caller hung up or is refused; the last call.
  virtual void OnCallerGone() = 0;
  virtual void OnDrained() = 0;
};

// Owner of callers' connections.
class request_handler_factory {
 public:
  virtual ~request_handler_factory() = default;
  // Makes the handler of a request; null if it has its answer already.
  virtual std::unique_ptr<request_handler> Make(http1_head head,
                                                caller_exchange& exchange) = 0;
  virtual void OnBytesWritten(std::size_t bytes) = 0;
  // The connection ended under an answer of which `unsent` bytes were left, or
  // under a request.
  virtual void OnCut(connection_cut cause, std::size_t unsent) = 0;
};

}  // namespace citron

#endif  // CITRON_NODE_CALLER_EXCHANGE_H_
