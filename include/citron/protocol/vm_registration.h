#ifndef CITRON_PROTOCOL_VM_REGISTRATION_H_
#define CITRON_PROTOCOL_VM_REGISTRATION_H_

#include <optional>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/platform/platform_store.h"

namespace citron {

struct registration_options {
  // A dead VM stays listed this long, and each caller that is sent to it loses
  // a second; a shorter lease expires whenever the store is slow.
  duration lease_ttl = FromMilliseconds(2500);
  duration renew_interval = FromMilliseconds(800);
  duration retry_interval = FromMilliseconds(300);
};

// Keeps this VM listed in the store by a lease: decides the next store call.
class vm_registration {
 public:
  enum class call { kGrant, kWrite, kRenew };

  explicit vm_registration(const registration_options& options);

  // Returns the store call that is due, if any, and marks it as pending.
  std::optional<call> Next(monotonic_time now);
  monotonic_time NextAt() const { return next_call_at_; }

  void OnLeaseGranted(const lease_id& lease, monotonic_time now);
  void OnRecordWritten(monotonic_time now);
  void OnLeaseRenewed(monotonic_time now);
  // The lease has expired, and the store has removed the record with it.
  void OnLeaseExpired(monotonic_time now);
  // The call failed or its outcome is unknown.
  void OnFailed(monotonic_time now);

  const std::optional<lease_id>& Lease() const { return lease_; }

 private:
  void ScheduleNext(monotonic_time at);

  registration_options options_;
  std::optional<lease_id> lease_;
  bool record_written_ = false;
  bool call_pending_ = false;
  monotonic_time next_call_at_{};
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_VM_REGISTRATION_H_
