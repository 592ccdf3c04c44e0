#include "citron/protocol/suspect_check.h"

#include <utility>

namespace citron {
namespace {

// Load pattern: a request that crashes each upstream that runs it, and a caller
// that sends it to another VM as soon as it has the failure. The caller's next
// copy can arrive in a distant zone before the report of the crash and crash an
// upstream there, in as many zones as it reaches before the reports do. The
// failure is therefore returned once the other dispatches have the report.

// Longest wait for the replies. A report that takes less arrives before the
// caller's next copy. The first report to a peer also opens the connection and
// takes up to five trips, 1.5 s between regions that are 300 ms apart. A peer
// that is cut off or has just ended never replies; it counts as silent, and
// isn't asked, only after some seconds.
constexpr duration kReplyTimeout = std::chrono::seconds(2);

}  // namespace

std::optional<std::uint64_t> suspect_check::Start(const request_id& request,
                                                  std::set<endpoint> peers,
                                                  monotonic_time now) {
  if (peers.empty()) return std::nullopt;
  queries_[++last_number_] = {request, std::move(peers), now + kReplyTimeout};
  return last_number_;
}

std::optional<request_id> suspect_check::OnReply(std::uint64_t number,
                                                 const endpoint& from) {
  const auto found = queries_.find(number);
  if (found == queries_.end()) return std::nullopt;
  query& q = found->second;
  q.missing.erase(from);
  if (!q.missing.empty()) return std::nullopt;
  const request_id request = q.request;
  queries_.erase(found);
  return request;
}

std::vector<request_id> suspect_check::OnTimer(monotonic_time now) {
  std::vector<request_id> expired;
  while (!queries_.empty() && queries_.begin()->second.deadline <= now) {
    expired.push_back(queries_.begin()->second.request);
    queries_.erase(queries_.begin());
  }
  return expired;
}

std::optional<monotonic_time> suspect_check::NextTimer() const {
  if (queries_.empty()) return std::nullopt;
  return queries_.begin()->second.deadline;
}

}  // namespace citron
