#include "citron/protocol/report_contacts.h"

#include <algorithm>
#include <utility>

namespace citron {

report_contacts::report_contacts(const report_contact_options& options)
    : options_(options) {}

void report_contacts::SetSilenceLimit(duration limit) {
  if (limit == silence_limit_) return;
  silence_limit_ = limit;
  view_at_ = monotonic_time::max();
}

report_contacts::contact* report_contacts::Find(const vm_id& vm) {
  const auto found = index_of_.find(vm);
  return found == index_of_.end() ? nullptr : &contacts_[found->second];
}

contact_id report_contacts::OnReport(const vm_id& vm,
                                     const quota_contact& exchange,
                                     monotonic_time now) {
  view_at_ = monotonic_time::max();
  contact* known = Find(vm);
  if (known == nullptr) {
    const auto place =
        std::find_if(contacts_.begin(), contacts_.end(),
                     [](const contact& c) { return c.epoch == 0; });
    const auto index = static_cast<std::uint32_t>(place - contacts_.begin());
    if (place == contacts_.end()) contacts_.emplace_back();
    index_of_[vm] = index;
    known = &contacts_[index];
    *known = {};
    known->vm = vm;
    known->epoch = ++last_epoch_;
  }
  known->received_at = now;
  known->exchange = exchange;
  if (known->gone_after) {
    known->gone_after = now + options_.expired_admission_time;
  }
  return {static_cast<std::uint32_t>(known - contacts_.data()), known->epoch};
}

void report_contacts::OnVmListed(const vm_id& vm) {
  contact* const known = Find(vm);
  if (known == nullptr || !known->gone_after) return;
  known->gone_after.reset();
  view_at_ = monotonic_time::max();
}

void report_contacts::OnVmUnlisted(const vm_id& vm, monotonic_time now) {
  contact* const known = Find(vm);
  if (known == nullptr) return;
  known->gone_after = now + options_.expired_admission_time;
  view_at_ = monotonic_time::max();
}

void report_contacts::OnReportReceivedElsewhere(const vm_id& vm,
                                                monotonic_time now) {
  contact* const known = Find(vm);
  if (known == nullptr || !known->gone_after) return;
  known->gone_after = now + options_.expired_admission_time;
}

void report_contacts::RemoveGone(monotonic_time now) {
  for (contact& c : contacts_) {
    if (!c.gone_after || now < *c.gone_after + options_.gone_retention) {
      continue;
    }
    index_of_.erase(c.vm);
    c = {};
    view_at_ = monotonic_time::max();
  }
}

void report_contacts::UpdateView(monotonic_time now) const {
  if (now >= view_at_ && now < view_until_) return;
  view_at_ = now;
  view_until_ = monotonic_time::max();
  count_ = {};
  silent_.clear();
  // Returns whether the time is less than the limit ago, and until when.
  const auto is_recent = [&](monotonic_time at) {
    if (now - at >= silence_limit_) return false;
    view_until_ = std::min(view_until_, at + silence_limit_);
    return true;
  };
  for (std::uint32_t i = 0; i < contacts_.size(); ++i) {
    const contact& c = contacts_[i];
    if (c.epoch == 0) continue;
    const bool is_responsive = is_recent(c.received_at);
    if (!is_responsive) silent_.push_back(i);
    if (c.gone_after) continue;
    ++count_.reported;
    if (!is_responsive) continue;
    ++count_.responsive;
    if (is_recent(c.exchange.received_report_sent_at)) ++count_.connected;
  }
}

const report_contacts::vm_count& report_contacts::Count(
    monotonic_time now) const {
  UpdateView(now);
  return count_;
}

const std::vector<std::uint32_t>& report_contacts::Silent(
    monotonic_time now) const {
  UpdateView(now);
  return silent_;
}

bool report_contacts::IsIsolated(monotonic_time now) const {
  const vm_count& count = Count(now);
  return 2 * count.connected < count.reported;
}

}  // namespace citron
