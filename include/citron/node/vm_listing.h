#ifndef CITRON_NODE_VM_LISTING_H_
#define CITRON_NODE_VM_LISTING_H_

#include <optional>
#include <string>
#include <string_view>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/strong_id.h"

namespace citron {

// How a VM lists itself in the store, as JSON.
struct vm_listing {
  vm_id vm;
  zone_id zone;
  region_id region;
  endpoint callers;
  endpoint peer;
  double link_mbps = 0;
  // Who knows it has read it in the store, and is one of the fleet.
  std::string secret;
  // Where other VMs ask for tunnels to upstreams; none if it opens none.
  std::optional<endpoint> tunnels;

  friend bool operator==(const vm_listing&, const vm_listing&) = default;
};

std::string EncodeVmListing(const vm_listing& listing);
result<vm_listing> DecodeVmListing(const vm_id& vm, std::string_view text);

}  // namespace citron

#endif  // CITRON_NODE_VM_LISTING_H_
