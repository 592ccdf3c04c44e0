#include "citron/protocol/vm_registration.h"

#include <algorithm>

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
  if (!lease_ || granted_ttl_ > LeaseTtl()) {
    asked_ttl_ = LeaseTtl();
    return call::kGrant;
  }
  return record_written_ ? call::kRenew : call::kWrite;
}

// Load pattern: a large fleet in which few VMs serve callers, and which is
// charged for each renewal.
void vm_registration::OnRequest(monotonic_time now) {
  constexpr duration kWindow = std::chrono::seconds(1);
  if (serves_) return;
  if (now - counting_since_ >= kWindow) {
    counting_since_ = now;
    requests_ = 0;
  }
  if (++requests_ < options_.serving_requests) return;
  serves_ = true;
  next_call_at_ = std::min(next_call_at_, now);
}

void vm_registration::ScheduleNext(monotonic_time at) {
  call_pending_ = false;
  next_call_at_ = at;
}

void vm_registration::ScheduleRenewal(monotonic_time now) {
  const bool is_short = granted_ttl_ <= options_.lease_ttl;
  ScheduleNext(now + (is_short ? options_.renew_interval
                               : options_.idle_renew_interval));
  if (granted_ttl_ > LeaseTtl()) next_call_at_ = now;
}

void vm_registration::OnLeaseGranted(const lease_id& lease,
                                     monotonic_time now) {
  lease_ = lease;
  granted_ttl_ = asked_ttl_;
  record_written_ = false;
  ScheduleNext(now);
}

void vm_registration::OnRecordWritten(monotonic_time now) {
  record_written_ = true;
  ScheduleRenewal(now);
}

void vm_registration::OnLeaseRenewed(monotonic_time now) {
  ScheduleRenewal(now);
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
