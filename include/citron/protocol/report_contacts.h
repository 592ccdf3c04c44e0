#ifndef CITRON_PROTOCOL_REPORT_CONTACTS_H_
#define CITRON_PROTOCOL_REPORT_CONTACTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

struct report_contact_options {
  // How long a VM may go on admitting requests after its record has expired:
  // until it can no longer prove its keys, or until a planned stop is complete.
  duration expired_admission_time = FromMilliseconds(2000);
  // How long a VM that counts as gone is remembered: longer than until its
  // requests have left the windows of all contracts.
  duration gone_retention = std::chrono::seconds(10);
};

// State of the report exchange between another VM and this one.
struct quota_contact {
  // When this VM sent the newest report that the other VM has received.
  monotonic_time received_report_sent_at{};
  // When the next report of the other VM is due.
  monotonic_time next_report_due{};
};

// Names a VM while it is remembered. A VM that was forgotten and reports again
// gets another epoch.
struct contact_id {
  std::uint32_t index = 0;
  std::uint32_t epoch = 0;
};

// The other VMs that have reported to this one, and when. All workspaces'
// quotas share it: a report concerns all of them, and most VMs have no demand
// for most workspaces.
class report_contacts {
 public:
  struct contact {
    vm_id vm;
    std::uint32_t epoch = 0;  // 0: the place is free.
    monotonic_time received_at{};
    quota_contact exchange;
    // For a VM that is no longer listed: when it counts as gone. Each report
    // and OnReportReceivedElsewhere extend the time.
    std::optional<monotonic_time> gone_after;
  };
  // Listed VMs that have reported, those of them that are not silent, and those
  // that also receive the reports of this VM.
  struct vm_count {
    int reported = 0;
    int responsive = 0;
    int connected = 0;
  };

  explicit report_contacts(const report_contact_options& options = {});

  // Sets the time without a report after which a VM counts as silent: it may be
  // cut off from this VM.
  void SetSilenceLimit(duration limit);
  duration SilenceLimit() const { return silence_limit_; }

  // Takes a report's arrival.
  contact_id OnReport(const vm_id& vm, const quota_contact& exchange,
                      monotonic_time now);
  // The VM is listed: it no longer expires.
  void OnVmListed(const vm_id& vm);
  // The VM is no longer listed. It counts as gone some time later.
  void OnVmUnlisted(const vm_id& vm, monotonic_time now);
  // Another VM still receives reports of a VM that is no longer listed: extends
  // the time until that VM counts as gone.
  void OnReportReceivedElsewhere(const vm_id& vm, monotonic_time now);
  // Forgets the VMs that went long enough ago.
  void RemoveGone(monotonic_time now);

  // All places, free ones included; contact_id::index is the position.
  const std::vector<contact>& All() const { return contacts_; }
  const contact& At(std::uint32_t index) const { return contacts_[index]; }
  // Returns whether the VM is still remembered.
  bool Knows(const contact_id& id) const {
    return contacts_[id.index].epoch == id.epoch;
  }
  bool IsSilent(const contact& contact, monotonic_time now) const {
    return now - contact.received_at >= silence_limit_;
  }
  static bool IsGone(const contact& contact, monotonic_time now) {
    return contact.gone_after && now >= *contact.gone_after;
  }
  const vm_count& Count(monotonic_time now) const;
  // Returns the places of the VMs that are silent, gone ones included.
  const std::vector<std::uint32_t>& Silent(monotonic_time now) const;
  // Returns whether this VM is connected with fewer than half of the others.
  bool IsIsolated(monotonic_time now) const;

 private:
  contact* Find(const vm_id& vm);
  void UpdateView(monotonic_time now) const;

  report_contact_options options_;
  duration silence_limit_ = FromMilliseconds(1600);
  std::vector<contact> contacts_;
  std::map<vm_id, std::uint32_t> index_of_;
  std::uint32_t last_epoch_ = 0;
  // What Count and Silent return, until the contacts change or the next VM
  // becomes silent.
  mutable monotonic_time view_at_ = monotonic_time::max();
  mutable monotonic_time view_until_{};
  mutable vm_count count_;
  mutable std::vector<std::uint32_t> silent_;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_REPORT_CONTACTS_H_
