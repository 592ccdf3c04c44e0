#include "net/lingering_close.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace citron {

lingering_close::~lingering_close() {
  for (bufferevent* stream : streams_) {
    bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
    bufferevent_decref(stream);
  }
}

void lingering_close::TakeSocket(int fd, const std::string& closing_response) {
  bufferevent* stream =
      bufferevent_socket_new(loop_.Base(), fd, BEV_OPT_CLOSE_ON_FREE);
  Take(stream, closing_response);
  // Take's reference is the only one from here on.
  bufferevent_decref(stream);
}

void lingering_close::Take(bufferevent* stream,
                           const std::string& closing_response) {
  if (!streams_.insert(stream).second) return;
  bufferevent_incref(stream);
  bufferevent_setcb(
      stream,
      [](bufferevent* from, void*) {
        evbuffer* input = bufferevent_get_input(from);
        evbuffer_drain(input, evbuffer_get_length(input));
      },
      nullptr,
      [](bufferevent* ended, short, void* self) {  // NOLINT(google-runtime-int)
        static_cast<lingering_close*>(self)->Drop(ended);
      },
      this);
  bufferevent_set_timeouts(stream, nullptr, nullptr);
  bufferevent_setwatermark(stream, EV_READ | EV_WRITE, 0, 0);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
  bufferevent_write(stream, closing_response.data(), closing_response.size());
}

void lingering_close::Drop(bufferevent* stream) {
  if (streams_.erase(stream) == 0) return;
  bufferevent_disable(stream, EV_READ | EV_WRITE);
  bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_decref(stream);
}

}  // namespace citron
