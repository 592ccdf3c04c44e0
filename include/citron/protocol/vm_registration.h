#ifndef CITRON_PROTOCOL_VM_REGISTRATION_H_
#define CITRON_PROTOCOL_VM_REGISTRATION_H_

#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/platform/platform_store.h"

namespace citron {

struct registration_options {
  // A dead VM stays listed for as long. Callers who are sent to it lose a
  // second each; a shorter one lapses whenever the store is slow.
  duration lease_ttl = FromMilliseconds(2500);
  duration renew_interval = FromMilliseconds(800);
  duration retry_interval = FromMilliseconds(300);
};

// Keeps this VM listed in the store by a lease: says which call comes next.
class vm_registration {
 public:
  enum class call { kGrant, kWrite, kRenew };

  explicit vm_registration(const registration_options& options);

  // The call to make now, if any; it counts as sent.
  std::optional<call> Next(monotonic_time now);
  monotonic_time NextAt() const { return next_at_; }

  void OnGranted(const lease_id& lease, monotonic_time now);
  void OnWritten(monotonic_time now);
  void OnRenewed(monotonic_time now);
  // The lease has ended, and the record with it.
  void OnLapsed(monotonic_time now);
  // No answer, or none that says what happened.
  void OnFailed(monotonic_time now);

  const std::optional<lease_id>& Lease() const { return lease_; }

 private:
  void WaitUntil(monotonic_time at);

  registration_options options_;
  std::optional<lease_id> lease_;
  bool written_ = false;
  bool under_way_ = false;
  monotonic_time next_at_{};
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_VM_REGISTRATION_H_
