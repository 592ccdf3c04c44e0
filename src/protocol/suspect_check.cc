#include "citron/protocol/suspect_check.h"

#include <algorithm>
#include <utility>

namespace citron {
namespace {

// Load pattern: a request that crashes each upstream that runs it, and a caller
// that sends it to another VM as soon as it has the failure. The caller's next
// copy passes two processes, and so does the report of the crash; on a busy
// machine the copy arrives first and crashes one upstream more. A dispatch that
// knows of the first crash therefore waits for the others before it sends the
// request to an upstream of its own.

// Longest wait for the replies. A peer that is cut off or has just ended never
// replies, and a suspect is mostly harmless: it only shared an upstream with
// the request that crashed it.
constexpr duration kReplyTimeout = std::chrono::milliseconds(250);

}  // namespace

std::optional<std::uint64_t> suspect_check::Start(std::uint64_t fingerprint,
                                                  std::set<endpoint> peers,
                                                  monotonic_time now) {
  if (peers.empty() || IsOpen(fingerprint)) return std::nullopt;
  queries_[++last_number_] = {fingerprint, std::move(peers),
                              now + kReplyTimeout};
  return last_number_;
}

std::optional<std::uint64_t> suspect_check::OnReply(std::uint64_t number,
                                                    const endpoint& from) {
  const auto found = queries_.find(number);
  if (found == queries_.end()) return std::nullopt;
  query& q = found->second;
  q.missing.erase(from);
  if (!q.missing.empty()) return std::nullopt;
  const std::uint64_t fingerprint = q.fingerprint;
  queries_.erase(found);
  return fingerprint;
}

std::vector<std::uint64_t> suspect_check::OnTimer(monotonic_time now) {
  std::vector<std::uint64_t> expired;
  while (!queries_.empty() && queries_.begin()->second.deadline <= now) {
    expired.push_back(queries_.begin()->second.fingerprint);
    queries_.erase(queries_.begin());
  }
  return expired;
}

bool suspect_check::IsOpen(std::uint64_t fingerprint) const {
  return std::any_of(queries_.begin(), queries_.end(), [&](const auto& item) {
    return item.second.fingerprint == fingerprint;
  });
}

std::optional<monotonic_time> suspect_check::NextTimer() const {
  if (queries_.empty()) return std::nullopt;
  return queries_.begin()->second.deadline;
}

}  // namespace citron
