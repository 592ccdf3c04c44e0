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

void ReadFromKernel(bufferevent* stream, std::size_t most) {
  evbuffer* input = bufferevent_get_input(stream);
  // Between its own reads a bufferevent lets nobody add to its input.
  evbuffer_unfreeze(input, 0);
  while (evbuffer_get_length(input) < most &&
         evbuffer_read(input, bufferevent_getfd(stream), -1) > 0) {
  }
  evbuffer_freeze(input, 0);
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
