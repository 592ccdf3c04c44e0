#ifndef CITRON_PROTOCOL_SUSPECT_CHECK_H_
#define CITRON_PROTOCOL_SUSPECT_CHECK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/strong_id.h"
#include "citron/base/time.h"

namespace citron {

// The open queries of a dispatch that has reported a crash to the other
// dispatches and holds the requests that were lost in it until they reply. A
// reply confirms the reports that were sent before the query.
class suspect_check {
 public:
  // Opens a query to the peers and returns its number; returns no value if
  // there is no peer to ask.
  std::optional<std::uint64_t> Start(const request_id& request,
                                     std::set<endpoint> peers,
                                     monotonic_time now);
  // Returns the request if this was the last reply to its query.
  std::optional<request_id> OnReply(std::uint64_t number, const endpoint& from);
  // Returns the requests whose queries have reached their deadline.
  std::vector<request_id> OnTimer(monotonic_time now);

  // Returns the deadline of the oldest query.
  std::optional<monotonic_time> NextTimer() const;

 private:
  struct query {
    request_id request;
    std::set<endpoint> missing;
    monotonic_time deadline;
  };

  // By number, so that the oldest query is the first.
  std::map<std::uint64_t, query> queries_;
  std::uint64_t last_number_ = 0;
};

}  // namespace citron

#endif  // CITRON_PROTOCOL_SUSPECT_CHECK_H_
