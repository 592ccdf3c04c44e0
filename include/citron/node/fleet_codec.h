#ifndef CITRON_NODE_FLEET_CODEC_H_
#define CITRON_NODE_FLEET_CODEC_H_

#include <string>
#include <string_view>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"
#include "citron/config/routing_config.h"

namespace citron {

// What a key of the store stands for.
enum class store_key_kind {
  kRouting,     // The operator's declaration.
  kClosedZone,  // A zone whose upstreams are to get nothing.
  kUpstream,
  kVm,
  kOther,
};

struct store_key {
  store_key_kind kind = store_key_kind::kOther;
  std::string name;  // Of the zone, upstream or VM.
};

// Reads what others wrote to the store. Implemented by the adapter of the
// platform that the daemon runs on.
class fleet_codec {
 public:
  virtual ~fleet_codec() = default;
  virtual store_key ReadKey(std::string_view key) const = 0;
  virtual std::string VmKey(const vm_id& vm) const = 0;
  virtual result<routing_config> ReadRouting(std::string_view value) const = 0;
  virtual result<upstream_record> ReadUpstream(
      const upstream_id& id, std::string_view value) const = 0;
};

}  // namespace citron

#endif  // CITRON_NODE_FLEET_CODEC_H_
