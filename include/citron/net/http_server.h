#ifndef CITRON_NET_HTTP_SERVER_H_
#define CITRON_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_types.h"

struct bufferevent;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace citron {

class lingering_close;

struct http_server_limits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  // From accept, or from the end of the last answer, to a whole request.
  duration request_deadline_after = std::chrono::seconds(15);
  // How long a write may make no progress.
  duration write_stall_limit = std::chrono::seconds(30);
  int max_connections = 10000;
};

// One request that a server received, and the way to answer it. The object
// ends itself after the answer is complete or the caller is gone; OnGone is
// the last call before that in the second case, and no call of OnGone follows
// an answer.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  virtual const http_request& Request() const = 0;
  // The same, for who needs it longer than the exchange lasts.
  virtual std::shared_ptr<const http_request> ShareRequest() const = 0;
  virtual std::string PeerAddress() const = 0;

  // Sends the whole answer; the exchange must not be used afterwards.
  virtual void Reply(const http_response& response) = 0;

  // A streamed answer: head, any number of chunks, then FinishBody. With a
  // Content-Length header the body is sent as it is, else in HTTP chunks.
  virtual void StartReply(const http_response_head& head) = 0;
  virtual void StartPassedReply(const passed_head& head) = 0;
  virtual void SendBody(std::string_view bytes) = 0;
  virtual void FinishBody() = 0;

  // Ends the connection without completing the answer, so that the caller
  // sees a broken answer and never a short one that looks whole.
  virtual void Abort() = 0;

  // Bytes that the caller has not taken yet.
  virtual std::size_t PendingBytes() const = 0;

  // Called when PendingBytes has come down to zero.
  virtual void OnDrained(std::function<void()> callback) = 0;
  // Called when the caller hung up before the answer was complete.
  virtual void OnGone(std::function<void()> callback) = 0;
};

using http_handler = std::function<void(http_exchange&)>;

class http_server {
 public:
  // Fails if the address can't be bound. `reuse_port` lets several loops of
  // one process listen on the same port.
  static result<std::unique_ptr<http_server>> Make(
      event_loop& loop, const endpoint& listen,
      const http_server_limits& limits, http_handler handler,
      bool reuse_port = false);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // With the port that the kernel chose, if it was asked to.
  const endpoint& Address() const { return address_; }

  // Accepts no connection any more; open ones get "Connection: close" with
  // their next answer. Those that were on their way in get the closing
  // response.
  void StopAccepting(const http_response& closing_response);
  // Ends the connections that wait for a request; a request that crosses the
  // end gets the closing response as its answer. To be called again until
  // HasEnded.
  void EndIdle(const http_response& closing_response);
  // No connection waits for a request or for the caller to close it, and after
  // StopAccepting none is on its way in.
  bool HasEnded() const;
  // Exchanges that were not answered yet.
  int OpenExchanges() const { return open_exchanges_; }
  int OpenConnections() const { return static_cast<int>(waiting_.size()); }

 private:
  class exchange;

  http_server(event_loop& loop, const http_server_limits& limits,
              http_handler handler);
  void OnRequest(evhttp_request* request);
  bufferevent* OnConnection();
  void CloseSlowConnections();
  void EndAcceptQueue();
  void CloseSocket();
  void WatchConnection(evhttp_connection* connection);
  void StopWaiting(bufferevent* connection);

  event_loop& loop_;
  http_server_limits limits_;
  http_handler handler_;
  endpoint address_;
  evhttp* http_ = nullptr;
  evhttp_bound_socket* socket_ = nullptr;
  int open_exchanges_ = 0;
  bool stopping_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<lingering_close> ending_;
  // Deadlines for the next whole request; busy connections have none.
  std::unordered_map<bufferevent*, monotonic_time> waiting_;
  loop_timer sweep_;
  std::string closing_text_;
  loop_timer close_socket_;
};

}  // namespace citron

#endif  // CITRON_NET_HTTP_SERVER_H_
