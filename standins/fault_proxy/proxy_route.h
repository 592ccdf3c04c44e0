#ifndef STANDINS_FAULT_PROXY_PROXY_ROUTE_H_
#define STANDINS_FAULT_PROXY_PROXY_ROUTE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/net/event_loop.h"
#include "standins/fault_proxy/proxied_connection.h"
#include "standins/fault_proxy/route_settings.h"

struct evconnlistener;

namespace citron {

// A listening address whose connections are passed on to one target.
class proxy_route {
 public:
  static result<std::unique_ptr<proxy_route>> Make(
      event_loop& loop, const route_settings& settings);
  ~proxy_route();
  proxy_route(const proxy_route&) = delete;
  proxy_route& operator=(const proxy_route&) = delete;

  // With the port that the kernel chose.
  const route_settings& Settings() const { return settings_; }
  std::size_t OpenConnections() const { return connections_.size(); }

  // Fails if the address can't be bound again after a cut that refused.
  status SetFaults(const route_faults& faults);
  void ResetConnections();

 private:
  proxy_route(event_loop& loop, const route_settings& settings);
  status Listen();
  void StopListening();
  // Fills the queue of new connections, so that the kernel drops further ones.
  status DropConnects();
  void TakeConnects();
  void OnAccept(int fd);

  event_loop& loop_;
  route_settings settings_;
  route_faults faults_;
  evconnlistener* listener_ = nullptr;
  int queue_filler_ = -1;  // Its descriptor, while connects are dropped.
  std::map<std::uint64_t, std::unique_ptr<proxied_connection>> connections_;
  std::uint64_t last_connection_ = 0;
};

}  // namespace citron

#endif  // STANDINS_FAULT_PROXY_PROXY_ROUTE_H_
