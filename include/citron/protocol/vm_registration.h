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
  // The same for a VM that serves few callers: in a large fleet most VMs, and
  // each renewal is a call to the store.
  duration idle_lease_ttl = FromMilliseconds(4500);
  duration idle_renew_interval = FromMilliseconds(1500);
  // Requests within a second from which a VM counts as one that serves callers.
  int serving_requests = 10;
  duration retry_interval = FromMilliseconds(300);
};

// Keeps this VM listed in the store by a lease: decides the next store call.
// The lease is long until callers come to this VM.
class vm_registration {
 public:
  enum class call { kGrant, kWrite, kRenew };

  explicit vm_registration(const registration_options& options);

  // Returns the store call that is due, if any, and marks it as pending.
  std::optional<call> Next(monotonic_time now);
  monotonic_time NextAt() const { return next_call_at_; }
  // The lease to ask for.
  duration LeaseTtl() const {
    return serves_ ? options_.lease_ttl : options_.idle_lease_ttl;
  }

  // A caller's request arrived.
  void OnRequest(monotonic_time now);
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
  void ScheduleRenewal(monotonic_time now);

  registration_options options_;
  std::optional<lease_id> lease_;
  duration granted_ttl_{};
  duration asked_ttl_{};  // Of the last kGrant.
  bool serves_ = false;
  monotonic_time counting_since_{};
  int requests_ = 0;  // Since then.
  bool record_written_ = false;
  bool call_pending_ = false;
  monotonic_time next_call_at_{};
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_VM_REGISTRATION_H_
