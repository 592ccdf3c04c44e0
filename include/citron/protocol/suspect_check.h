#ifndef CITRON_PROTOCOL_SUSPECT_CHECK_H_
#define CITRON_PROTOCOL_SUSPECT_CHECK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/time.h"

namespace citron {

// The open queries of a dispatch that is about to send suspects to an upstream
// and asks the other dispatches what they know of them. A suspect is a request
// that was in flight at the crash of an upstream.
class suspect_check {
 public:
  // Opens a query to the peers and returns its number; returns no value if the
  // fingerprint has an open query or there is no peer to ask.
  std::optional<std::uint64_t> Start(std::uint64_t fingerprint,
                                     std::set<endpoint> peers,
                                     monotonic_time now);
  // Returns the fingerprint if this was the last reply to its query.
  std::optional<std::uint64_t> OnReply(std::uint64_t number,
                                       const endpoint& from);
  // Returns the fingerprints whose queries have reached their deadline.
  std::vector<std::uint64_t> OnTimer(monotonic_time now);

  bool IsOpen(std::uint64_t fingerprint) const;
  // Returns the deadline of the oldest query.
  std::optional<monotonic_time> NextTimer() const;

 private:
  struct query {
    std::uint64_t fingerprint = 0;
    std::set<endpoint> missing;
    monotonic_time deadline;
  };

  // By number, so that the oldest query is the first.
  std::map<std::uint64_t, query> queries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_SUSPECT_CHECK_H_
