#ifndef NODE_SOCKET_OPTIONS_H_
#define NODE_SOCKET_OPTIONS_H_

#include <cstddef>

namespace citron {

// Sends small writes at once, and makes a peer that has vanished without a word
// show itself within seconds: for connections to upstreams and VMs.
void SetSocketOptions(int descriptor);

// How long a peer may confirm nothing of what was sent to it. One that reads
// slowly may keep its window closed for some seconds.
enum class peer_reading { kAtOnce, kMayPause };
void SetUnconfirmedLimit(int descriptor, peer_reading reading);

// The same as SetSocketOptions for callers, but one that is there and reads
// nothing isn't taken for vanished. Bytes that a vanished one doesn't confirm
// are the owner's to limit.
void SetCallerSocketOptions(int descriptor);

// Lets the kernel hold that many bytes for the peer, as far as its limit goes;
// never fewer than before.
void GrowSendBuffer(int descriptor, std::size_t bytes);
// Returns the bytes that the kernel holds and the peer has not confirmed, 0 if
// they aren't known.
std::size_t UnconfirmedBytes(int descriptor);

}  // namespace citron

#endif  // NODE_SOCKET_OPTIONS_H_
