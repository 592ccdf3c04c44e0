#ifndef NODE_PROCESS_END_H_
#define NODE_PROCESS_END_H_

#include <cstddef>

struct bufferevent;

namespace citron {

// For a stream whose process is about to end: the kernel goes on delivering
// what it holds of a connection that was closed in order.

// Writes what waits to be sent, beyond the usual size of the kernel's buffer.
// Returns the bytes that the kernel didn't take.
std::size_t WriteToKernel(bufferevent* stream);
// Adds to the stream's input what has come to the kernel, up to about `most`
// bytes.
void ReadFromKernel(bufferevent* stream, std::size_t most);
// Reads and drops what has come; unread bytes would make the close a reset,
// which takes along what is on its way to the peer.
void DropUnread(bufferevent* stream);

}  // namespace citron

#endif  // NODE_PROCESS_END_H_
