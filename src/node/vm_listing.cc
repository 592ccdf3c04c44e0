#include "citron/node/vm_listing.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace citron {

std::string EncodeVmListing(const vm_listing& listing) {
  nlohmann::json document = {
      {"zone", listing.zone.Str()},       {"region", listing.region.Str()},
      {"callers", listing.callers.Str()}, {"peer", listing.peer.Str()},
      {"link_mbps", listing.link_mbps},   {"secret", listing.secret}};
  if (listing.tunnels) document["tunnels"] = listing.tunnels->Str();
  return document.dump();
}

result<vm_listing> DecodeVmListing(const vm_id& vm, std::string_view text) {
  const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  try {
    vm_listing listing;
    listing.vm = vm;
    listing.zone = zone_id(document.at("zone").get<std::string>());
    listing.region = region_id(document.at("region").get<std::string>());
    const auto callers =
        ParseEndpoint(document.at("callers").get<std::string>());
    const auto peer = ParseEndpoint(document.at("peer").get<std::string>());
    if (!callers || !peer) {
      return MakeError(error_code::kInvalid, "an address is none");
    }
    listing.callers = *callers;
    listing.peer = *peer;
    const auto tunnels = document.find("tunnels");
    if (tunnels != document.end()) {
      listing.tunnels = ParseEndpoint(tunnels->get<std::string>());
      if (!listing.tunnels) {
        return MakeError(error_code::kInvalid, "an address is none");
      }
    }
    listing.link_mbps = document.at("link_mbps").get<double>();
    listing.secret = document.at("secret").get<std::string>();
    return listing;
  } catch (const nlohmann::json::exception& problem) {
    return MakeError(error_code::kInvalid, problem.what());
  }
}

}  // namespace citron
