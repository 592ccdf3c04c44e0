#ifndef CITRON_BASE_TIME_H_
#define CITRON_BASE_TIME_H_

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace citron {

// Leases, deadlines and buckets count by this clock; a jump of the wall clock
// moves none of them.
using monotonic_time = std::chrono::steady_clock::time_point;

// Only for the hour of day in a contract.
using wall_time = std::chrono::system_clock::time_point;

using duration = std::chrono::nanoseconds;

// Goes on while the machine is suspended, unlike std::chrono::steady_clock: a
// VM that was paused and resumed must find that its leases have ended.
inline monotonic_time MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return monotonic_time(std::chrono::seconds(now.tv_sec) +
                        std::chrono::nanoseconds(now.tv_nsec));
}

inline double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

// Numbers from outside may be any: what is beyond 30 years is taken for that,
// so that a sum with a time doesn't overflow, and what is no number for 0.
inline duration FromSeconds(double seconds) {
  constexpr double kLongest = 1e9;
  if (std::isnan(seconds)) return duration::zero();
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::clamp(seconds, -kLongest, kLongest)));
}

inline duration FromMilliseconds(double ms) { return FromSeconds(ms / 1000.0); }

inline double ToMilliseconds(duration d) { return ToSeconds(d) * 1000.0; }

}  // namespace citron

#endif  // CITRON_BASE_TIME_H_
