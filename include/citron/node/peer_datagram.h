#ifndef CITRON_NODE_PEER_DATAGRAM_H_
#define CITRON_NODE_PEER_DATAGRAM_H_

#include <string_view>
#include <variant>

#include "citron/base/result.h"
#include "citron/node/crash_report.h"
#include "citron/node/peer_report.h"
#include "citron/node/rate_limit_report.h"
#include "citron/node/reach_report.h"
#include "citron/node/region_report.h"
#include "citron/node/upstream_signal_report.h"

namespace citron {

// What a VM tells another one in one datagram.
using peer_datagram =
    std::variant<peer_report, reach_report, rate_limit_report, crash_report,
                 region_report, upstream_signal_report>;

// Fails with kInvalid if the bytes are none of them.
result<peer_datagram> ReadPeerDatagram(std::string_view bytes);

}  // namespace citron

#endif  // CITRON_NODE_PEER_DATAGRAM_H_
