#include "citron/node/node_pages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace citron {

namespace {

// How long callers use an answer. A VM that dies is out of the list about three
// seconds later; a longer life would add to that, a shorter one costs each
// caller a question a second.
constexpr duration kLookupLifetime = std::chrono::milliseconds(1500);
constexpr std::size_t kMostAddresses = 64;

http_response JsonResponse(int status, const nlohmann::json& body) {
  return {{status, {{"Content-Type", "application/json"}}}, body.dump()};
}

}  // namespace

result<std::unique_ptr<node_pages>> node_pages::Make(
    node_context& context, const page_paths& paths, const peer_exchange& peers,
    feed_relay& relay, std::function<vm_condition()> condition) {
  std::unique_ptr<node_pages> pages(
      new node_pages(context, paths, peers, relay, std::move(condition)));
  struct page {
    const endpoint& address;
    void (node_pages::*answer)(http_exchange&);
    std::unique_ptr<http_server>& server;
  };
  const page all[] = {
      {context.settings.readiness, &node_pages::OnReadiness, pages->readiness_},
      {context.settings.lookup, &node_pages::OnLookup, pages->lookup_},
      {context.settings.metrics, &node_pages::OnInternal, pages->internal_}};
  for (const page& p : all) {
    result<std::unique_ptr<http_server>> server = http_server::Make(
        context.loop, p.address, {},
        [self = pages.get(), answer = p.answer](http_exchange& exchange) {
          (self->*answer)(exchange);
        });
    if (!IsOk(server)) return ErrorOf(server);
    p.server = std::move(ValueOf(server));
  }
  return pages;
}

node_pages::node_pages(node_context& context, const page_paths& paths,
                       const peer_exchange& peers, feed_relay& relay,
                       std::function<vm_condition()> condition)
    : context_(context),
      paths_(paths),
      peers_(peers),
      relay_(relay),
      condition_(std::move(condition)) {}

void node_pages::OnReadiness(http_exchange& exchange) {
  if (exchange.Request().Path() != paths_.ready) {
    return exchange.Reply(JsonResponse(404, {{"error", "no_such_page"}}));
  }
  const bool ready = condition_().ready;
  exchange.Reply(JsonResponse(ready ? 200 : 503, {{"ready", ready}}));
}

void node_pages::OnLookup(http_exchange& exchange) {
  const http_request& request = exchange.Request();
  if (request.Path() != paths_.lookup) {
    return exchange.Reply(JsonResponse(404, {{"error", "no_such_page"}}));
  }
  const zone_id zone(request.Query(paths_.lookup_zone).value_or(""));
  region_id region(request.Query(paths_.lookup_region).value_or(""));
  if (region.IsEmpty()) region = context_.settings.region;
  const monotonic_time now = MonotonicNow();
  std::vector<vm_candidate> candidates;
  for (const auto& [vm, listing] : context_.fleet.Vms()) {
    const bool own = vm == context_.settings.vm;
    candidates.push_back(
        {vm, listing.zone, listing.region, listing.callers,
         own ? condition_().ready : peers_.IsReady(vm),
         own || peers_.IsHeard(vm, now), listing.link_mbps,
         own ? condition_().near_capacity : peers_.IsNearCapacity(vm),
         own ? condition_().reaches_upstreams : peers_.ReachesUpstreams(vm)});
  }
  const std::vector<vm_candidate> chosen = ChooseVms(candidates, zone, region);
  LogChoice(zone, chosen, now);
  nlohmann::json addresses = nlohmann::json::array();
  for (const vm_candidate& vm : chosen) {
    if (addresses.size() < kMostAddresses)
      addresses.push_back(vm.caller_endpoint.Str());
  }
  const duration lifetime =
      std::min(kLookupLifetime, context_.settings.bounds.lookup_lifetime);
  if (addresses.empty()) {
    return exchange.Reply(JsonResponse(503, {{"error", "no_vm_known"}}));
  }
  exchange.Reply(
      JsonResponse(200, {{paths_.lookup_addresses, addresses},
                         {paths_.lookup_lifetime, ToSeconds(lifetime)}}));
}

void node_pages::LogChoice(const zone_id& zone,
                           const std::vector<vm_candidate>& chosen,
                           monotonic_time now) {
  // A caller may name any zone; only those that exist are remembered.
  if (!context_.settings.zones.contains(zone)) return;
  std::string names;
  for (const vm_candidate& vm : chosen) {
    names.append(names.empty() ? "" : ",").append(vm.id.Str());
  }
  std::string& logged = logged_choices_[zone];
  if (logged == names) return;
  logged = names;
  context_.log.Write("lookup", "choice_changed",
                     {{"zone", zone.Str()}, {"vms", names}}, now);
}

void node_pages::OnInternal(http_exchange& exchange) {
  if (exchange.Request().Path() == kFeedPath) {
    return relay_.OnQuestion(exchange);
  }
  exchange.Reply({{200, {{"Content-Type", "text/plain; version=0.0.4"}}},
                  context_.stats.Page()});
}

}  // namespace citron
