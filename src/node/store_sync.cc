#include "citron/node/store_sync.h"

#include <optional>
#include <string>
#include <utility>

#include "citron/node/vm_listing.h"

namespace citron {

namespace {

// A store that is slow takes a third of a second; one that has not answered
// after this long is cut off, and a new connection may reach it.
constexpr duration kAnswerLimit = std::chrono::milliseconds(1000);
constexpr duration kRangeLimit = std::chrono::milliseconds(2000);

}  // namespace

store_sync::store_sync(node_context& context, platform_store& store,
                       const fleet_codec& codec)
    : context_(context),
      store_(store),
      codec_(codec),
      registration_(registration_options{}) {}

void store_sync::Run(monotonic_time now) {
  RunFeed(now);
  if (!leaving_) RunRegistration(now);
}

void store_sync::RunFeed(monotonic_time now) {
  const std::optional<fleet_feed::order> order = context_.feed.Next(now);
  if (!order) return;
  if (order->what == fleet_feed::call::kRange) {
    store_.Range("", now + kRangeLimit,
                 [this](const result<store_range>& range) { OnRange(range); });
    return;
  }
  const monotonic_time wait_until = now + order->wait;
  store_.Watch(
      "", order->after, wait_until, wait_until + kAnswerLimit,
      [this](const result<store_events>& events) { OnEvents(events); });
}

void store_sync::OnRange(const result<store_range>& range) {
  const monotonic_time now = MonotonicNow();
  if (!IsOk(range)) {
    context_.feed.OnFailed(now);
    return NoteTouch(false, ErrorOf(range).message, now);
  }
  context_.feed.OnRange(ValueOf(range).revision, now);
  context_.fleet.ApplyRange(ValueOf(range).items, context_.feed.LapsedUntil(),
                            now);
  NoteTouch(true, "", now);
  Run(now);
}

void store_sync::OnEvents(const result<store_events>& events) {
  const monotonic_time now = MonotonicNow();
  if (!IsOk(events)) {
    context_.feed.OnFailed(now);
    return NoteTouch(false, ErrorOf(events).message, now);
  }
  const store_events& got = ValueOf(events);
  if (got.compacted) {
    context_.log.Write("store", "history_gone",
                       {{"revision", context_.feed.Revision()}}, now);
    context_.feed.OnCompacted(now);
    return Run(now);
  }
  context_.feed.OnEvents(got.revision, !got.events.empty(), now);
  for (const store_event& event : got.events) {
    context_.fleet.ApplyEvent(event, context_.feed.LapsedUntil(), now);
  }
  NoteTouch(true, "", now);
}

void store_sync::NoteTouch(bool in_touch, std::string_view problem,
                           monotonic_time now) {
  context_.stats.Count("citron_store_calls_total",
                       {{"call", "feed"}, {"ok", in_touch ? "true" : "false"}});
  if (in_touch == in_touch_) return;
  in_touch_ = in_touch;
  context_.log.Write("store", in_touch ? "regained" : "lost",
                     {{"problem", problem},
                      {"revision", context_.feed.Revision()},
                      {"upstreams", context_.fleet.UpstreamCount()}},
                     now);
}

void store_sync::RunRegistration(monotonic_time now) {
  const std::optional<vm_registration::call> call = registration_.Next(now);
  if (!call) return;
  const monotonic_time deadline = now + kAnswerLimit;
  switch (*call) {
    case vm_registration::call::kGrant:
      store_.GrantLease(registration_options{}.lease_ttl, deadline,
                        [this](const result<lease_id>& lease) {
                          const monotonic_time then = MonotonicNow();
                          if (!IsOk(lease)) {
                            return OnLost("grant", ErrorOf(lease), then);
                          }
                          registration_.OnGranted(ValueOf(lease), then);
                          if (!leaving_) RunRegistration(then);
                        });
      return;
    case vm_registration::call::kWrite: {
      store_write write;
      write.key = codec_.VmKey(context_.settings.vm);
      write.value =
          EncodeVmListing({context_.settings.vm, context_.settings.zone,
                           context_.settings.region, context_.settings.callers,
                           context_.settings.peer});
      write.lease = *registration_.Lease();
      store_.Put(write, deadline,
                 [this](const write_result& written) { OnWritten(written); });
      return;
    }
    case vm_registration::call::kRenew:
      store_.RenewLease(*registration_.Lease(), deadline,
                        [this](const status& renewed) {
                          const monotonic_time then = MonotonicNow();
                          if (IsOk(renewed)) {
                            return registration_.OnRenewed(then);
                          }
                          OnLost("renew", ErrorOf(renewed), then);
                        });
      return;
  }
}

void store_sync::OnWritten(const write_result& written) {
  const monotonic_time now = MonotonicNow();
  if (std::holds_alternative<write_done>(written)) {
    context_.log.Write("store", "listed", {{"vm", context_.settings.vm.Str()}},
                       now);
    return registration_.OnWritten(now);
  }
  const error* problem = std::get_if<error>(&written);
  OnLost("list",
         problem != nullptr ? *problem
                            : MakeError(error_code::kConflict, "conflict"),
         now);
}

void store_sync::OnLost(std::string_view call, const error& problem,
                        monotonic_time now) {
  context_.log.Write("store", "listing_call_failed",
                     {{"call", call}, {"problem", problem.message}}, now);
  if (problem.code == error_code::kNotFound) {
    registration_.OnLapsed(now);
  } else {
    registration_.OnFailed(now);
  }
}

void store_sync::Leave(monotonic_time now) {
  leaving_ = true;
  if (!registration_.Lease()) return;
  store_.RevokeLease(
      *registration_.Lease(), now + kAnswerLimit, [this](const status& ended) {
        if (IsOk(ended)) return;
        context_.log.Write(
            "store", "listing_call_failed",
            {{"call", "end"}, {"problem", ErrorOf(ended).message}},
            MonotonicNow());
      });
}

}  // namespace citron
