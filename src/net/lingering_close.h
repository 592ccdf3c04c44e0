#ifndef CITRON_NET_LINGERING_CLOSE_H_
#define CITRON_NET_LINGERING_CLOSE_H_

#include <string>
#include <unordered_set>

#include "citron/net/event_loop.h"

struct bufferevent;

namespace citron {

// Ends connections on which a request may be on its way: says a closing
// response, which asks the far side to close, and drops what comes until it
// has.
//
// A connection that is simply closed while a request crosses the close is
// reset, and its caller has sent a request to which it gets no answer at all.
// One notices by callers that report lost connections during planned stops. The
// closing response is the answer to a request that crosses; to a caller without
// one it tells that the connection is of no more use. Not even the own side is
// closed first: a caller that is still writing takes the end of the stream for
// the loss of its request, though the closing response stands before it.
class lingering_close {
 public:
  explicit lingering_close(event_loop& loop) : loop_(loop) {}
  ~lingering_close();
  lingering_close(const lingering_close&) = delete;
  lingering_close& operator=(const lingering_close&) = delete;

  // `stream` may have another owner, which must not use it any more.
  void Take(bufferevent* stream, const std::string& closing_response);
  // An accepted socket that nobody has read from.
  void TakeSocket(int fd, const std::string& closing_response);

  bool IsEmpty() const { return streams_.empty(); }

 private:
  void Drop(bufferevent* stream);

  event_loop& loop_;
  std::unordered_set<bufferevent*> streams_;  // Each with a reference of ours.
};

}  // namespace citron

#endif  // CITRON_NET_LINGERING_CLOSE_H_
