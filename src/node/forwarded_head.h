#ifndef NODE_FORWARDED_HEAD_H_
#define NODE_FORWARDED_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citron/base/strong_id.h"
#include "citron/base/time.h"
#include "citron/net/http1_reader.h"
#include "citron/net/http_types.h"
#include "citron/node/header_names.h"

namespace citron {

// How the body of a request goes to the upstream.
struct body_framing {
  std::optional<std::uint64_t> length;
  bool chunked = false;
};

// The request line and headers as an upstream gets them: the caller's, without
// those that concern one connection, the key, and those that only this system
// may set.
std::string MakeUpstreamHead(const http1_head& head, const header_names& names,
                             const upstream_id& upstream,
                             const workspace_id& workspace, duration time_left,
                             const body_framing& framing);

// An upstream's headers as the caller gets them.
http_headers CallerHeaders(const http_headers& headers,
                           const header_names& names);

}  // namespace citron

#endif  // NODE_FORWARDED_HEAD_H_
