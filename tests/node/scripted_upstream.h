#ifndef TESTS_NODE_SCRIPTED_UPSTREAM_H_
#define TESTS_NODE_SCRIPTED_UPSTREAM_H_

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/time.h"
#include "citron/net/event_loop.h"

namespace citron {

// The value of a header in the text of a head, "" if there is none.
inline std::string HeaderIn(const std::string& text, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = text.find(start);
  if (at == std::string::npos) return "";
  const std::size_t begin = at + start.size();
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

// What an upstream does with one request: writes bytes, then may close; or it
// crashes, and is back after a while.
struct scripted_answer {
  std::string bytes;
  bool close = false;
  duration after{};      // The work before the answer or the crash.
  duration down_time{};  // Zero: it doesn't crash.
  std::string endless;   // Sent behind `bytes` again and again.
  bool reset = false;    // Closes with a reset.
};

// A server that answers each request with bytes of the test's choice and keeps
// the text of all that came.
class scripted_upstream {
 public:
  using script = std::function<scripted_answer(const std::string& request)>;

  scripted_upstream(event_loop& loop, script answer)
      : loop_(loop), answer_(std::move(answer)) {
    Listen();
  }
  ~scripted_upstream() { Crash(); }
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  const endpoint& Address() const { return address_; }
  const std::vector<std::string>& Requests() const { return requests_; }
  int OpenConnections() const { return static_cast<int>(connections_.size()); }
  int Accepted() const { return accepted_; }
  // On connections from now on.
  void StopReading() { reads_ = false; }
  void ReadOnlyAfter(duration pause) {
    reads_ = false;
    pause_ = pause;
  }

 private:
  struct connection {
    scripted_upstream* owner;
    bufferevent* bytes;
    int number;
    std::string endless;
  };

  void Listen() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(address_.port);
    listener_ = evconnlistener_new_bind(
        loop_.Base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<scripted_upstream*>(self)->OnAccept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        64, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    BOOST_REQUIRE(listener_ != nullptr);
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&address), &size);
    address_ = {"127.0.0.1", ntohs(address.sin_port)};
  }

  void Crash() {
    for (const auto& c : connections_) bufferevent_free(c->bytes);
    connections_.clear();
    if (listener_ != nullptr) evconnlistener_free(listener_);
    listener_ = nullptr;
  }

  void At(monotonic_time when, std::function<void()> step) {
    timers_.push_back(std::make_unique<loop_timer>(loop_, std::move(step)));
    timers_.back()->Arm(when);
  }

  void EndWork(int number, const scripted_answer& answer) {
    if (answer.down_time > duration::zero()) {
      if (listener_ == nullptr) return;
      Crash();
      return At(MonotonicNow() + answer.down_time, [this] { Listen(); });
    }
    connection* found = Find(number);
    if (found == nullptr) return;
    bufferevent_write(found->bytes, answer.bytes.data(), answer.bytes.size());
  }

  void OnAccept(evutil_socket_t fd) {
    ++accepted_;
    auto made = std::make_unique<connection>();
    made->owner = this;
    made->number = accepted_;
    made->bytes =
        bufferevent_socket_new(loop_.Base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        made->bytes,
        [](bufferevent*, void* c) {
          auto* that = static_cast<connection*>(c);
          that->owner->OnReadable(*that);
        },
        [](bufferevent*, void* c) { SendOn(*static_cast<connection*>(c)); },
        [](bufferevent*, short what, void* c) {  // NOLINT
          auto* that = static_cast<connection*>(c);
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            that->owner->Close(*that);
          }
        },
        made.get());
    bufferevent_enable(made->bytes, reads_ ? EV_READ | EV_WRITE : EV_WRITE);
    if (!reads_) bufferevent_disable(made->bytes, EV_READ);
    connections_.push_back(std::move(made));
    if (reads_ || pause_ == duration::zero()) return;
    At(MonotonicNow() + pause_, [this, number = accepted_] {
      connection* paused = Find(number);
      if (paused != nullptr) bufferevent_enable(paused->bytes, EV_READ);
    });
  }

  connection* Find(int number) {
    const auto found = std::find_if(
        connections_.begin(), connections_.end(),
        [number](const auto& held) { return held->number == number; });
    return found == connections_.end() ? nullptr : found->get();
  }

  static void SendOn(connection& c) {
    constexpr std::size_t kPiece = std::size_t{64} << 10;
    for (std::size_t sent = 0; !c.endless.empty() && sent < kPiece;
         sent += c.endless.size()) {
      bufferevent_write(c.bytes, c.endless.data(), c.endless.size());
    }
  }

  void OnReadable(connection& c) {
    evbuffer* input = bufferevent_get_input(c.bytes);
    while (true) {
      const std::size_t size = evbuffer_get_length(input);
      const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
      if (end.pos < 0) return;
      // A long body is copied only once it is whole.
      std::size_t whole = static_cast<std::size_t>(end.pos) + 4;
      std::string head(whole, '\0');
      evbuffer_copyout(input, head.data(), whole);
      const std::string length = HeaderIn(head, "Content-Length");
      if (!length.empty()) whole += std::stoul(length);
      if (!HeaderIn(head, "Transfer-Encoding").empty()) {
        const evbuffer_ptr last =
            evbuffer_search(input, "\r\n0\r\n\r\n", 7, nullptr);
        if (last.pos < 0) return;
        whole = static_cast<std::size_t>(last.pos) + 7;
      }
      if (size < whole) return;
      std::string text(whole, '\0');
      evbuffer_remove(input, text.data(), whole);
      requests_.push_back(std::move(text));
      const scripted_answer answer = answer_(requests_.back());
      if (answer.after > duration::zero()) {
        At(MonotonicNow() + answer.after,
           [this, number = c.number, answer] { EndWork(number, answer); });
        continue;
      }
      bufferevent_write(c.bytes, answer.bytes.data(), answer.bytes.size());
      c.endless = answer.endless;
      SendOn(c);
      if (answer.reset) {
        const linger at_once{1, 0};
        setsockopt(bufferevent_getfd(c.bytes), SOL_SOCKET, SO_LINGER, &at_once,
                   sizeof(at_once));
      }
      if (!answer.close) continue;
      bufferevent_flush(c.bytes, EV_WRITE, BEV_FLUSH);
      // The bytes go out before the end does.
      bufferevent_setcb(
          c.bytes, nullptr,
          [](bufferevent*, void* self) {
            auto* that = static_cast<connection*>(self);
            that->owner->Close(*that);
          },
          nullptr, &c);
      if (answer.bytes.empty()) Close(c);
      return;
    }
  }

  void Close(connection& c) {
    bufferevent_free(c.bytes);
    std::erase_if(connections_,
                  [&c](const auto& held) { return held.get() == &c; });
  }

  event_loop& loop_;
  script answer_;
  evconnlistener* listener_ = nullptr;
  endpoint address_;
  std::vector<std::unique_ptr<connection>> connections_;
  std::vector<std::string> requests_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
  int accepted_ = 0;
  bool reads_ = true;
  duration pause_{};
};

// A whole good answer to the request.
inline std::string GoodAnswer(const std::string& request,
                              const std::string& body,
                              const std::string& more_headers = "") {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Signature: s\r\n{}Content-Length: "
      "{}\r\n\r\n{}",
      HeaderIn(request, "X-Id"), more_headers, body.size(), body);
}

}  // namespace citron

#endif  // TESTS_NODE_SCRIPTED_UPSTREAM_H_
