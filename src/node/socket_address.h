#ifndef NODE_SOCKET_ADDRESS_H_
#define NODE_SOCKET_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include "citron/base/endpoint.h"

namespace citron {

// The address as the kernel takes it.
inline sockaddr_in SocketAddress(const endpoint& of) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(of.port);
  inet_pton(AF_INET, of.address.c_str(), &address.sin_addr);
  return address;
}

}  // namespace citron

#endif  // NODE_SOCKET_ADDRESS_H_
