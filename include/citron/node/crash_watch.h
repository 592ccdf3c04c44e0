#ifndef CITRON_NODE_CRASH_WATCH_H_
#define CITRON_NODE_CRASH_WATCH_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "citron/base/event_log.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/node/crash_report.h"
#include "citron/policy/poison_registry.h"

namespace citron {

// Which requests crash upstreams, by what became of this VM's own and by what
// other VMs tell.
class crash_watch {
 public:
  using standing = poison_registry::standing;

  explicit crash_watch(event_log& log);

  // `listener` is called when there is something to tell the other VMs.
  void OnNews(std::function<void()> listener);

  // Where the request stands, and which upstreams are to be left out for it.
  standing Of(std::uint64_t fingerprint, monotonic_time now) const;
  monotonic_time Until(std::uint64_t fingerprint) const;
  bool MaySend(std::uint64_t fingerprint) const;
  void AddUpstreamsWithSuspects(std::vector<upstream_id>& upstreams) const;

  void OnSuspectSent(std::uint64_t fingerprint, const upstream_id& upstream);
  void OnSuspectDone(std::uint64_t fingerprint, const upstream_id& upstream);
  // The connection was lost before an answer began. `was_suspect`: when it was
  // sent, so that it was kept apart from other suspects.
  void OnLost(std::uint64_t fingerprint, const upstream_id& upstream,
              bool was_suspect, monotonic_time sent_at, monotonic_time now);
  void OnAnswered(std::uint64_t fingerprint, const upstream_id& upstream,
                  monotonic_time sent_at, monotonic_time now);
  // The upstream answered, though it did not run the request.
  void OnAlive(const upstream_id& upstream, monotonic_time sent_at,
               monotonic_time now);
  void OnTold(const crash_report& report, monotonic_time now);

  bool HasNews() const { return !news_.empty(); }
  // What to tell the other VMs in one report; each crash is told several times,
  // as datagrams are lost, and new ones first.
  std::vector<crash_line> TakeNews(monotonic_time now);
  void Expire(monotonic_time now) { registry_.Expire(now); }

 private:
  struct news {
    std::uint64_t fingerprint = 0;
    upstream_crash crash;
    int times_left = 0;
  };

  void LogStanding(std::uint64_t fingerprint, const upstream_crash& crash,
                   const char* source, monotonic_time now);

  event_log& log_;
  poison_registry registry_;
  std::function<void()> on_news_;
  std::deque<news> news_;
};

}  // namespace citron

#endif  // CITRON_NODE_CRASH_WATCH_H_
