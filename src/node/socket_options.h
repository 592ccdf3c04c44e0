#ifndef NODE_SOCKET_OPTIONS_H_
#define NODE_SOCKET_OPTIONS_H_

namespace citron {

// Sends small writes at once, and makes a peer that has vanished without a word
// show itself within seconds.
void SetSocketOptions(int descriptor);

}  // namespace citron

#endif  // NODE_SOCKET_OPTIONS_H_
