#ifndef TESTS_PROTOCOL_QUOTA_SIMULATION_H_
#define TESTS_PROTOCOL_QUOTA_SIMULATION_H_

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "citron/protocol/workspace_quota.h"

namespace citron {

// VMs that tell each other of one workspace, with arrivals drawn at random.
class quota_fleet {
 public:
  static constexpr duration kReportInterval = std::chrono::milliseconds(400);
  static constexpr duration kReportDelay = std::chrono::milliseconds(60);
  static constexpr duration kShedDelay = std::chrono::milliseconds(20);

  quota_fleet(int vms, double rate, double burst, std::uint64_t seed,
              duration interval = kReportInterval)
      : random_(seed), rate_(rate), burst_(burst), interval_(interval) {
    for (int i = 0; i < vms; ++i) {
      quotas_.emplace_back(quota_options{}, now_);
      quotas_.back().SetTerms(rate, burst, now_);
      quotas_.back().SetFleetSize(vms);
      SetLimits(quotas_.back());
      heard_.emplace_back(static_cast<std::size_t>(vms));
      demand_.push_back(0);
    }
    // All know each other before the play begins.
    Run(std::chrono::seconds(3));
    admitted_ = refused_ = 0;
    most_in_window_ = 0;
  }

  void SetDemand(const std::vector<double>& per_s) { demand_ = per_s; }
  void SetEvenDemand(double per_s) {
    for (double& d : demand_) d = per_s / static_cast<double>(demand_.size());
  }
  // These VMs lose all that they know.
  void Restart(std::size_t first, std::size_t last) {
    for (std::size_t vm = first; vm < last; ++vm) {
      quotas_[vm] = workspace_quota(quota_options{}, now_);
      quotas_[vm].SetTerms(rate_, burst_, now_);
      quotas_[vm].SetFleetSize(static_cast<int>(quotas_.size()));
      SetLimits(quotas_[vm]);
      heard_[vm].assign(quotas_.size(), {});
    }
  }
  // This VM hears nothing and isn't heard.
  void Cut(std::size_t vm) { cut_.insert(vm); }
  // What this VM tells doesn't reach the other one.
  void Block(std::size_t from, std::size_t to) { blocked_.insert({from, to}); }
  // So much of what VMs tell is lost.
  void SetLoss(double part) { loss_ = part; }
  void Heal() {
    cut_.clear();
    blocked_.clear();
    loss_ = 0;
  }
  // So much of what is let in is turned away by upstreams a moment later.
  void SetNotRun(double part) { not_run_ = part; }
  // The others take these for gone, as their records have lapsed.
  void Remove(std::size_t first, std::size_t last) {
    for (std::size_t gone = first; gone < last; ++gone) unlisted_.insert(gone);
    for (std::size_t vm = 0; vm < quotas_.size(); ++vm) {
      for (std::size_t gone = first; gone < last; ++gone) {
        if (vm >= first && vm < last) continue;
        quotas_[vm].RemoveVm(Name(gone), now_);
      }
    }
  }

  void Run(duration length) {
    const duration step = std::chrono::milliseconds(5);
    for (const monotonic_time end = now_ + length; now_ < end; now_ += step) {
      if (now_ >= tell_at_) Tell();
      Deliver();
      TurnAway();
      for (std::size_t vm = 0; vm < quotas_.size(); ++vm) {
        std::poisson_distribution<int> arrivals(demand_[vm] * ToSeconds(step));
        for (int n = demand_[vm] > 0 ? arrivals(random_) : 0; n > 0; --n) {
          Ask(vm);
        }
      }
    }
  }

  // Requests that ran.
  int Admitted() const { return admitted_; }
  int Refused() const { return refused_; }
  double MostInWindow() const { return most_in_window_; }
  // What the contract lets run in five seconds, with its overshoot and slack.
  double Bound() const { return (rate_ * 5 + burst_) * 1.1 + 20; }

 private:
  // A request that an upstream is to turn away.
  struct turned_away {
    std::size_t vm = 0;
    monotonic_time admitted_at{};
  };
  struct message {
    std::size_t from = 0;
    quota_report report;
    monotonic_time told_at{};
    std::vector<monotonic_time> heard;  // Of each VM, the newest report's time.
    std::vector<std::size_t> heard_unlisted;
    monotonic_time at{};
  };

  static vm_id Name(std::size_t vm) { return vm_id(fmt::format("vm{}", vm)); }

  void SetLimits(workspace_quota& quota) const {
    quota.SetViewLag(interval_ + std::chrono::milliseconds(300));
    quota.SetSilenceLimit(4 * interval_);
  }

  void Tell() {
    tell_at_ = now_ + interval_;
    for (std::size_t vm = 0; vm < quotas_.size(); ++vm) {
      message m{vm, quotas_[vm].Report(now_), now_, heard_[vm],
                {}, now_ + kReportDelay};
      for (const std::size_t other : unlisted_) {
        if (now_ - heard_[vm][other] < 4 * interval_) {
          m.heard_unlisted.push_back(other);
        }
      }
      messages_.push_back(std::move(m));
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.front().at <= now_) {
      const message m = messages_.front();
      messages_.pop_front();
      for (std::size_t vm = 0; vm < quotas_.size(); ++vm) {
        if (!Reaches(m.from, vm)) continue;
        quotas_[vm].OnReport(Name(m.from), m.report, now_);
        quotas_[vm].OnContact(Name(m.from), {m.heard[vm], now_ + interval_});
        heard_[vm][m.from] = m.told_at;
        for (const std::size_t unlisted : m.heard_unlisted) {
          quotas_[vm].OnHeardElsewhere(Name(unlisted), now_);
        }
      }
    }
  }

  bool Reaches(std::size_t from, std::size_t to) {
    if (from == to || cut_.contains(from) || cut_.contains(to)) return false;
    if (blocked_.contains({from, to})) return false;
    return loss_ == 0 || !std::bernoulli_distribution(loss_)(random_);
  }

  void TurnAway() {
    while (!turned_away_.empty() &&
           turned_away_.front().admitted_at + kShedDelay <= now_) {
      const turned_away& request = turned_away_.front();
      quotas_[request.vm].OnNotRun(request.admitted_at, now_);
      turned_away_.pop_front();
    }
  }

  void Ask(std::size_t vm) {
    if (!quotas_[vm].TryAdmit(now_)) {
      ++refused_;
      return;
    }
    if (not_run_ > 0 && std::bernoulli_distribution(not_run_)(random_)) {
      turned_away_.push_back({vm, now_});
      return;
    }
    ++admitted_;
    window_.push_back(now_);
    while (window_.front() <= now_ - std::chrono::seconds(5))
      window_.pop_front();
    most_in_window_ =
        std::max(most_in_window_, static_cast<double>(window_.size()));
  }

  pcg32 random_;
  double rate_;
  double burst_;
  duration interval_;
  monotonic_time now_{std::chrono::hours(1)};
  monotonic_time tell_at_{};
  std::vector<workspace_quota> quotas_;
  std::vector<std::vector<monotonic_time>> heard_;
  std::vector<double> demand_;
  std::deque<message> messages_;
  std::deque<monotonic_time> window_;
  std::set<std::size_t> cut_;
  std::set<std::size_t> unlisted_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_;
  double loss_ = 0;
  double not_run_ = 0;
  std::deque<turned_away> turned_away_;
  int admitted_ = 0;
  int refused_ = 0;
  double most_in_window_ = 0;
};

}  // namespace citron

#endif  // TESTS_PROTOCOL_QUOTA_SIMULATION_H_
