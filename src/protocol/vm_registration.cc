#include "citron/protocol/vm_registration.h"

namespace citron {

// VMs may die without notice and may be added at any time, so the store lists
// each VM by a lease: without one, the list would name dead VMs for ever. A
// lease that expired during an outage of the store is requested again as soon
// as the store reports the expiry.

vm_registration::vm_registration(const registration_options& options)
    : options_(options) {}

std::optional<vm_registration::call> vm_registration::Next(monotonic_time now) {
  if (call_pending_ || now < next_call_at_) return std::nullopt;
  call_pending_ = true;
  if (!lease_) return call::kGrant;
  return record_written_ ? call::kRenew : call::kWrite;
}

void vm_registration::ScheduleNext(monotonic_time at) {
  call_pending_ = false;
  next_call_at_ = at;
}

void vm_registration::OnLeaseGranted(const lease_id& lease,
                                     monotonic_time now) {
  lease_ = lease;
  record_written_ = false;
  ScheduleNext(now);
}

void vm_registration::OnRecordWritten(monotonic_time now) {
  record_written_ = true;
  ScheduleNext(now + options_.renew_interval);
}

void vm_registration::OnLeaseRenewed(monotonic_time now) {
  ScheduleNext(now + options_.renew_interval);
}

void vm_registration::OnLeaseExpired(monotonic_time now) {
  lease_.reset();
  record_written_ = false;
  ScheduleNext(now);
}

void vm_registration::OnFailed(monotonic_time now) {
  ScheduleNext(now + options_.retry_interval);
}

}  // namespace citron
