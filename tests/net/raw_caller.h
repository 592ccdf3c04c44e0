#ifndef TESTS_NET_RAW_CALLER_H_
#define TESTS_NET_RAW_CALLER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <string>
#include <string_view>

#include "citron/base/endpoint.h"

namespace citron {

// A caller that writes bytes of its own choice and never waits.
class raw_caller {
 public:
  enum class buffers { kOrdinary, kSmall };

  // With small buffers, and segments as on a network, what the caller doesn't
  // read stays with the server.
  explicit raw_caller(const endpoint& server,
                      buffers size = buffers::kOrdinary) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    if (size == buffers::kSmall) {
      const int bytes = 4096;
      const int segment = 1400;
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
      setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    BOOST_REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0);
  }
  ~raw_caller() { close(fd_); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  void Send(std::string_view bytes) { BOOST_REQUIRE(TrySend(bytes)); }

  // False once the server has closed the connection.
  bool TrySend(std::string_view bytes) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(bytes.size());
  }

  // Returns how much the kernel took.
  std::size_t SendSome(std::string_view bytes) {
    const ssize_t sent =
        send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }

  // Its end is told at once, and not behind bytes that wait to be sent.
  void ResetAtEnd() {
    const linger reset{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }

  // All that has come so far.
  const std::string& Received() {
    char buffer[4096];
    const ssize_t got = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (got > 0) received_.append(buffer, static_cast<std::size_t>(got));
    closed_ = got == 0 || (got < 0 && errno == ECONNRESET);
    return received_;
  }

  // Reads at most so many bytes.
  void TakeSome(std::size_t bytes) {
    std::string buffer(bytes, '\0');
    const ssize_t got = recv(fd_, buffer.data(), bytes, MSG_DONTWAIT);
    if (got > 0) received_.append(buffer, 0, static_cast<std::size_t>(got));
  }

  // Whether the server has closed the connection, and all it sent was read.
  bool IsClosed() {
    Received();
    return closed_;
  }

 private:
  int fd_ = -1;
  bool closed_ = false;
  std::string received_;
};

}  // namespace citron

#endif  // TESTS_NET_RAW_CALLER_H_
