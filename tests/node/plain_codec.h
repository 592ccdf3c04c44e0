#ifndef TESTS_NODE_PLAIN_CODEC_H_
#define TESTS_NODE_PLAIN_CODEC_H_

#include <map>
#include <string>

#include "citron/node/fleet_codec.h"

namespace citron {

// Keys "routing", "closed/ZONE", "upstreams/ID" and "vms/ID"; values are names
// of documents that the test gave.
class plain_codec : public fleet_codec {
 public:
  store_key ReadKey(std::string_view key) const override {
    const auto named = [key](std::string_view prefix, store_key_kind kind) {
      return store_key{kind, std::string(key.substr(prefix.size()))};
    };
    if (key == "routing") return {store_key_kind::kRouting, ""};
    if (key.starts_with("closed/")) {
      return named("closed/", store_key_kind::kClosedZone);
    }
    if (key.starts_with("upstreams/")) {
      return named("upstreams/", store_key_kind::kUpstream);
    }
    if (key.starts_with("vms/")) return named("vms/", store_key_kind::kVm);
    return {};
  }
  std::string VmKey(const vm_id& vm) const override {
    return "vms/" + vm.Str();
  }
  result<routing_config> ReadRouting(std::string_view value) const override {
    const auto found = routings.find(std::string(value));
    if (found == routings.end()) {
      return MakeError(error_code::kInvalid, "no such document");
    }
    routing_config config = found->second;
    config.Index();
    return config;
  }
  result<upstream_record> ReadUpstream(const upstream_id& id,
                                       std::string_view value) const override {
    const auto found = upstreams.find(std::string(value));
    if (found == upstreams.end()) {
      return MakeError(error_code::kInvalid, "no such document");
    }
    upstream_record record = found->second;
    record.id = id;
    return record;
  }

  std::map<std::string, routing_config> routings;
  std::map<std::string, upstream_record> upstreams;
};

}  // namespace citron

#endif  // TESTS_NODE_PLAIN_CODEC_H_
