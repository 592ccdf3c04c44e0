#ifndef CITRON_PLATFORM_HTTP_PLATFORM_STORE_H_
#define CITRON_PLATFORM_HTTP_PLATFORM_STORE_H_

#include <functional>
#include <string>

#include "citron/base/endpoint.h"
#include "citron/net/event_loop.h"
#include "citron/net/http_client.h"
#include "citron/platform/platform_store.h"

namespace citron {

// The platform by HTTP. Belongs to the loop's task; callbacks come there, and
// none comes after the store is destroyed.
class http_platform_store final : public platform_store {
 public:
  http_platform_store(event_loop& loop, const endpoint& platform);

  void Get(const std::string& key, monotonic_time deadline,
           on_lookup done) override;
  void Put(const store_write& write, monotonic_time deadline,
           on_write done) override;
  void Remove(const std::string& key, store_revision expected,
              monotonic_time deadline, on_write done) override;
  void Range(const std::string& prefix, monotonic_time deadline,
             on_range done) override;
  void Watch(const std::string& prefix, store_revision after,
             monotonic_time wait_until, monotonic_time deadline,
             on_events done) override;
  void GrantLease(duration ttl, monotonic_time deadline,
                  on_lease done) override;
  void RenewLease(const lease_id& lease, monotonic_time deadline,
                  on_status done) override;
  void RevokeLease(const lease_id& lease, monotonic_time deadline,
                   on_status done) override;
  void ListVms(monotonic_time deadline, on_vms done) override;

 private:
  using on_answer = std::function<void(result<http_response>)>;

  // Whether a call without an answer may have changed something.
  enum class call_effect { kNone, kMayChange };

  void Call(const std::string& method, const std::string& target,
            std::string body, monotonic_time deadline, call_effect effect,
            on_answer done);
  void CallForStatus(const std::string& method, const std::string& target,
                     monotonic_time deadline, on_status done);

  endpoint platform_;
  http_client client_;
};

}  // namespace citron

#endif  // CITRON_PLATFORM_HTTP_PLATFORM_STORE_H_
