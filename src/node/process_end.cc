#include "node/process_end.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <array>

#include "node/socket_options.h"

namespace citron {

namespace {

// A peer that sends faster than it is read is not waited for.
constexpr int kMostReads = 1024;
constexpr std::size_t kReadBytes = std::size_t{16} << 10;

}  // namespace

std::size_t WriteToKernel(bufferevent* stream) {
  evbuffer* output = bufferevent_get_output(stream);
  const int descriptor = bufferevent_getfd(stream);
  GrowSendBuffer(descriptor,
                 evbuffer_get_length(output) + UnconfirmedBytes(descriptor));
  // Between its own writes a bufferevent lets nobody take from its output.
  evbuffer_unfreeze(output, 1);
  while (evbuffer_get_length(output) > 0 &&
         evbuffer_write(output, descriptor) > 0) {
  }
  evbuffer_freeze(output, 1);
  return evbuffer_get_length(output);
}

void DropUnread(bufferevent* stream) {
  std::array<char, kReadBytes> dropped;
  for (int i = 0; i < kMostReads; ++i) {
    if (recv(bufferevent_getfd(stream), dropped.data(), dropped.size(),
             MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

}  // namespace citron
