#ifndef CITRON_BASE_TIME_H_
#define CITRON_BASE_TIME_H_

#include <chrono>

namespace citron {

// Leases, deadlines and buckets count by this clock; a jump of the wall clock
// moves none of them.
using monotonic_time = std::chrono::steady_clock::time_point;

// Only for the hour of day in a contract.
using wall_time = std::chrono::system_clock::time_point;

using duration = std::chrono::nanoseconds;

inline monotonic_time MonotonicNow() {
  return std::chrono::steady_clock::now();
}

inline double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

inline duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

inline duration FromMilliseconds(double ms) { return FromSeconds(ms / 1000.0); }

inline double ToMilliseconds(duration d) { return ToSeconds(d) * 1000.0; }

}  // namespace citron

#endif  // CITRON_BASE_TIME_H_
