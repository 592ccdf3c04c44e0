#ifndef NODE_SIGNAL_INTAKE_H_
#define NODE_SIGNAL_INTAKE_H_

#include <string>

#include "citron/base/time.h"
#include "citron/node/answer_signals.h"
#include "citron/node/node_context.h"

namespace citron {

// Which upstream answered what, and over which way.
struct answer_origin {
  service_id service;
  upstream_start start;
  vm_id relay;  // Empty: over a connection of this VM.
  std::string request;
};

// Takes what upstreams say of themselves with their answers to where it counts.
class signal_intake {
 public:
  explicit signal_intake(node_context& context) : context_(context) {}

  // `is_own_word`: the upstream itself has made the answer; of others only the
  // load is taken. Returns whether it asks for a pause.
  bool Take(const http1_head& head, const answer_origin& origin,
            bool is_own_word);

 private:
  void TakeLoad(const load_report& load, const answer_origin& origin);
  void TakeRateLimit(const header_signal<double>& limit, bool is_signed,
                     const answer_origin& origin);
  bool TakePause(const header_signal<duration>& pause,
                 const answer_origin& origin);
  void TakeLeaving(const header_signal<bool>& leaving,
                   const answer_origin& origin);
  // Returns whether the header can be used; logs one that can't be read.
  template <typename T>
  bool IsReadable(const header_signal<T>& found, const std::string& header,
                  const answer_origin& origin);
  // Tells the VMs whose requests reach the upstream from the same one.
  void TellRelayed(const answer_origin& origin, monotonic_time paused_until,
                   bool is_leaving);

  node_context& context_;
};

}  // namespace citron

#endif  // NODE_SIGNAL_INTAKE_H_
