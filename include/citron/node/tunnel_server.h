#ifndef CITRON_NODE_TUNNEL_SERVER_H_
#define CITRON_NODE_TUNNEL_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "citron/base/result.h"
#include "citron/node/node_context.h"

struct evconnlistener;

namespace citron {

class tunnel;

// Opens tunnels to upstreams for other VMs of the fleet that reach none
// themselves.
class tunnel_server {
 public:
  // `secret`: what this VM lists for the others.
  static result<std::unique_ptr<tunnel_server>> Make(node_context& context,
                                                     std::string secret);
  ~tunnel_server();
  tunnel_server(const tunnel_server&) = delete;
  tunnel_server& operator=(const tunnel_server&) = delete;

  // Opens no more tunnels; those that are open go on.
  void Stop() { stopping_ = true; }
  std::size_t Open() const { return tunnels_.size(); }
  // Leaves to the kernel what has come through the tunnels; the end of the
  // process must follow. Returns the tunnels that lose bytes by it.
  std::size_t EndWithProcess();

 private:
  class host;

  tunnel_server(node_context& context, std::string secret);
  status Listen();
  void OnAccept(int descriptor);

  node_context& context_;
  std::string secret_;
  std::unique_ptr<host> host_;
  std::vector<std::unique_ptr<tunnel>> tunnels_;
  evconnlistener* listener_ = nullptr;
  bool stopping_ = false;
};

}  // namespace citron

#endif  // CITRON_NODE_TUNNEL_SERVER_H_
