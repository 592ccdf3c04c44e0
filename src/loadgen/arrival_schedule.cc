#include "citron/loadgen/arrival_schedule.h"

#include <random>

namespace citron {

arrival_schedule::arrival_schedule(const load_plan& plan,
                                   const std::vector<double>& rates,
                                   monotonic_time start, std::uint64_t seed) {
  for (const planned_request& request : plan.requests) {
    mix_.push_back(request.mix);
  }
  for (std::size_t i = 0; i < rates.size(); ++i) {
    streams_.push_back({rates[i], pcg32(seed, i)});
    if (rates[i] > 0) upcoming_.push({start + Gap(streams_[i]), i});
  }
}

arrival arrival_schedule::Take() {
  const upcoming_arrival next = upcoming_.top();
  upcoming_.pop();
  workspace_stream& stream = streams_[next.workspace];
  upcoming_.push({next.at + Gap(stream), next.workspace});
  return {next.at, next.workspace, PickRequest(stream), taken_++};
}

duration arrival_schedule::Gap(workspace_stream& stream) {
  return FromSeconds(
      std::exponential_distribution<double>(stream.rate)(stream.random));
}

std::size_t arrival_schedule::PickRequest(workspace_stream& stream) {
  return std::discrete_distribution<std::size_t>(mix_.begin(),
                                                 mix_.end())(stream.random);
}

}  // namespace citron
