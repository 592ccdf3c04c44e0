#include "citron/config/fleet_config.h"
#include "fuzz/require.h"

namespace citron {
namespace {

// The first line is the object's key.
void Try(std::string_view text) {
  const std::string key(TakeLine(text));
  const std::string json(text);
  fleet_config config;
  const status applied = ApplyConfigObject(config, key, json);
  Require(IsOk(applied) == IsOk(ApplyConfigObject(config, key, json)));
  Require(IsOk(applied) == IsOk(CheckConfigObject(key, json)));
  ApplyConfigObject(config, key, "");
  Require(config.contracts.empty() && config.keys.empty());
  Require(config.upstreams.empty() && config.client_blocks.empty());
  Require(config.shifts.empty() && config.gone_vms.empty());
}

}  // namespace
}  // namespace citron

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size) {
  citron::Try(citron::TextOf(data, size));
  return 0;
}
