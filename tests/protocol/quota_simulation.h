#ifndef TESTS_PROTOCOL_QUOTA_SIMULATION_H_
#define TESTS_PROTOCOL_QUOTA_SIMULATION_H_

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "citron/protocol/workspace_quota.h"

namespace citron {

// Simulates VMs that report to each other about one workspace, with random
// arrivals.
class quota_fleet {
 public:
  static constexpr duration kReportInterval = std::chrono::milliseconds(400);
  static constexpr duration kReportDelay = std::chrono::milliseconds(60);
  static constexpr duration kNotRunDelay = std::chrono::milliseconds(20);

  // When the VMs report: all at the same moments, or each at its own.
  enum class report_times { kTogether, kSpread };

  quota_fleet(int vms, double rate, double burst, std::uint64_t seed,
              duration interval = kReportInterval,
              report_times times = report_times::kTogether)
      : random_(seed), rate_(rate), burst_(burst), interval_(interval) {
    vms_.resize(static_cast<std::size_t>(vms));
    next_report_at_.resize(vms_.size(), now_);
    if (times == report_times::kSpread) {
      std::uniform_real_distribution<double> part(0, 1);
      for (monotonic_time& at : next_report_at_) {
        at += FromSeconds(part(random_) * ToSeconds(interval));
      }
    }
    for (int i = 0; i < vms; ++i) {
      Start(static_cast<std::size_t>(i));
      last_received_.emplace_back(static_cast<std::size_t>(vms));
      demand_.push_back(0);
    }
    // All VMs receive reports of each other before the test begins.
    Run(std::chrono::seconds(3));
    ran_ = rejected_ = 0;
    max_in_window_ = 0;
  }

  void SetDemand(const std::vector<double>& per_s) { demand_ = per_s; }
  void SetEvenDemand(double per_s) {
    for (double& d : demand_) d = per_s / static_cast<double>(demand_.size());
  }
  // Restarts the VMs from `first` up to, excluding, `last`; they lose all
  // state.
  void Restart(std::size_t first, std::size_t last) {
    for (std::size_t vm = first; vm < last; ++vm) {
      Start(vm);
      last_received_[vm].assign(vms_.size(), {});
    }
  }
  // Cuts the VM off: it neither receives nor delivers reports.
  void Isolate(std::size_t vm) { isolated_.insert(vm); }
  // Drops all reports of one VM to another.
  void Block(std::size_t from, std::size_t to) { blocked_.insert({from, to}); }
  // Sets the fraction of reports that are lost.
  void SetLossRate(double fraction) { loss_rate_ = fraction; }
  void RestoreNetwork() {
    isolated_.clear();
    blocked_.clear();
    loss_rate_ = 0;
  }
  // Sets the fraction of admitted requests that upstreams reject a moment
  // later.
  void SetNotRunFraction(double fraction) { not_run_fraction_ = fraction; }
  // Removes the VMs from `first` up to, excluding, `last` from the lists of the
  // other VMs, as if their records had expired.
  void RemoveVms(std::size_t first, std::size_t last) {
    for (std::size_t gone = first; gone < last; ++gone) unlisted_.insert(gone);
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
      for (std::size_t gone = first; gone < last; ++gone) {
        if (vm >= first && vm < last) continue;
        vms_[vm].contacts->OnVmUnlisted(VmId(gone), now_);
      }
    }
  }

  void Run(duration length) {
    const duration step = std::chrono::milliseconds(5);
    for (const monotonic_time end = now_ + length; now_ < end; now_ += step) {
      SendReports();
      DeliverReports();
      CancelNotRun();
      for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        std::poisson_distribution<int> arrivals(demand_[vm] * ToSeconds(step));
        for (int n = demand_[vm] > 0 ? arrivals(random_) : 0; n > 0; --n) {
          SendRequest(vm);
        }
      }
    }
  }

  // Returns the requests that ran.
  int Ran() const { return ran_; }
  int Rejected() const { return rejected_; }
  duration MaxRetryAfter() const { return max_retry_after_; }
  double MaxInWindow() const { return max_in_window_; }
  // Returns the requests that the contract allows in five seconds, plus 10% of
  // overshoot and 20 requests of slack.
  double MaxAllowedInWindow() const { return (rate_ * 5 + burst_) * 1.1 + 20; }

 private:
  struct simulated_vm {
    std::unique_ptr<report_contacts> contacts;
    std::unique_ptr<workspace_quota> quota;
  };
  // Admitted request that an upstream will reject.
  struct not_run_request {
    std::size_t vm = 0;
    monotonic_time admitted_at{};
  };
  struct message {
    std::size_t from = 0;
    quota_report report;
    monotonic_time sent_at{};
    // Send time of the newest report that was received from each VM.
    std::vector<monotonic_time> last_received;
    std::vector<std::size_t> received_from_unlisted;
    monotonic_time delivered_at{};
  };

  static vm_id VmId(std::size_t vm) { return vm_id(fmt::format("vm{}", vm)); }

  void Start(std::size_t vm) {
    simulated_vm& started = vms_[vm];
    started.contacts = std::make_unique<report_contacts>();
    started.contacts->SetSilenceLimit(4 * interval_);
    started.quota = std::make_unique<workspace_quota>(quota_options{},
                                                      *started.contacts, now_);
    started.quota->SetContract(rate_, burst_, now_);
    started.quota->SetFleetSize(static_cast<int>(vms_.size()));
    started.quota->SetMaxReportAge(interval_ + std::chrono::milliseconds(300));
  }

  void SendReports() {
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
      if (now_ < next_report_at_[vm]) continue;
      next_report_at_[vm] = now_ + interval_;
      vms_[vm].contacts->RemoveGone(now_);
      message m{vm, vms_[vm].quota->Report(now_), now_, last_received_[vm],
                {}, now_ + kReportDelay};
      for (const std::size_t other : unlisted_) {
        if (now_ - last_received_[vm][other] < 4 * interval_) {
          m.received_from_unlisted.push_back(other);
        }
      }
      messages_.push_back(std::move(m));
    }
  }

  void DeliverReports() {
    while (!messages_.empty() && messages_.front().delivered_at <= now_) {
      const message m = messages_.front();
      messages_.pop_front();
      for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (!IsDelivered(m.from, vm)) continue;
        report_contacts& contacts = *vms_[vm].contacts;
        const contact_id from = contacts.OnReport(
            VmId(m.from), {m.last_received[vm], now_ + interval_}, now_);
        vms_[vm].quota->OnReport(from, m.report, now_);
        last_received_[vm][m.from] = m.sent_at;
        for (const std::size_t unlisted : m.received_from_unlisted) {
          contacts.OnReportReceivedElsewhere(VmId(unlisted), now_);
        }
      }
    }
  }

  bool IsDelivered(std::size_t from, std::size_t to) {
    if (from == to || isolated_.contains(from) || isolated_.contains(to))
      return false;
    if (blocked_.contains({from, to})) return false;
    return loss_rate_ == 0 || !std::bernoulli_distribution(loss_rate_)(random_);
  }

  void CancelNotRun() {
    while (!not_run_requests_.empty() &&
           not_run_requests_.front().admitted_at + kNotRunDelay <= now_) {
      const not_run_request& request = not_run_requests_.front();
      vms_[request.vm].quota->OnNotRun(request.admitted_at, now_);
      not_run_requests_.pop_front();
    }
  }

  void SendRequest(std::size_t vm) {
    if (!vms_[vm].quota->TryAdmit(now_)) {
      ++rejected_;
      max_retry_after_ =
          std::max(max_retry_after_, vms_[vm].quota->NextTokenAt(now_) - now_);
      return;
    }
    if (not_run_fraction_ > 0 &&
        std::bernoulli_distribution(not_run_fraction_)(random_)) {
      not_run_requests_.push_back({vm, now_});
      return;
    }
    ++ran_;
    window_.push_back(now_);
    while (window_.front() <= now_ - std::chrono::seconds(5))
      window_.pop_front();
    max_in_window_ =
        std::max(max_in_window_, static_cast<double>(window_.size()));
  }

  pcg32 random_;
  double rate_;
  double burst_;
  duration interval_;
  monotonic_time now_{std::chrono::hours(1)};
  std::vector<monotonic_time> next_report_at_;
  std::vector<simulated_vm> vms_;
  std::vector<std::vector<monotonic_time>> last_received_;
  std::vector<double> demand_;
  std::deque<message> messages_;
  std::deque<monotonic_time> window_;
  std::set<std::size_t> isolated_;
  std::set<std::size_t> unlisted_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_;
  double loss_rate_ = 0;
  double not_run_fraction_ = 0;
  std::deque<not_run_request> not_run_requests_;
  int ran_ = 0;
  int rejected_ = 0;
  duration max_retry_after_{};
  double max_in_window_ = 0;
};

}  // namespace citron

#endif  // TESTS_PROTOCOL_QUOTA_SIMULATION_H_
