#include "citron/protocol/vm_registration.h"

namespace citron {

// Answers: VMs that die without a word and VMs that come without a plan.
// Without a lease the list would name the dead for ever; a lease that lapsed
// in an outage of the store is taken anew as soon as the store says so.

vm_registration::vm_registration(const registration_options& options)
    : options_(options) {}

std::optional<vm_registration::call> vm_registration::Next(monotonic_time now) {
  if (under_way_ || now < next_at_) return std::nullopt;
  under_way_ = true;
  if (!lease_) return call::kGrant;
  return written_ ? call::kRenew : call::kWrite;
}

void vm_registration::WaitUntil(monotonic_time at) {
  under_way_ = false;
  next_at_ = at;
}

void vm_registration::OnGranted(const lease_id& lease, monotonic_time now) {
  lease_ = lease;
  written_ = false;
  WaitUntil(now);
}

void vm_registration::OnWritten(monotonic_time now) {
  written_ = true;
  WaitUntil(now + options_.renew_interval);
}

void vm_registration::OnRenewed(monotonic_time now) {
  WaitUntil(now + options_.renew_interval);
}

void vm_registration::OnLapsed(monotonic_time now) {
  lease_.reset();
  written_ = false;
  WaitUntil(now);
}

void vm_registration::OnFailed(monotonic_time now) {
  WaitUntil(now + options_.retry_interval);
}

}  // namespace citron
