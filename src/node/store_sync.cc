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
// Of a question to another VM, beyond the time that it may be held: a round
// trip between regions and one packet that is lost on a new connection.
constexpr duration kRelayLimit = std::chrono::milliseconds(450);

}  // namespace

store_sync::store_sync(node_context& context, platform_store& store,
                       const fleet_codec& codec, std::string secret)
    : context_(context),
      store_(store),
      codec_(codec),
      secret_(std::move(secret)),
      relays_(context.loop, context.settings.vm),
      registration_(registration_options{}) {}

void store_sync::Run(monotonic_time now) {
  RunFeed(now);
  if (!leaving_) RunRegistration(now);
}

vm_listing store_sync::OwnListing() const {
  const node_settings& settings = context_.settings;
  return {settings.vm,   settings.zone,      settings.region, settings.callers,
          settings.peer, settings.link_mbps, secret_,         settings.tunnels};
}

// A plan looks at every VM, which is too much for each tick of a large fleet.
void store_sync::PlanSources() {
  if (planned_version_ == context_.fleet.VmsVersion()) return;
  planned_version_ = context_.fleet.VmsVersion();
  const auto member = [](const vm_listing& listing) {
    return feed_member{listing.vm, listing.zone, listing.region,
                       listing.link_mbps};
  };
  std::vector<feed_member> members;
  for (const auto& [vm, listing] : context_.fleet.Vms()) {
    members.push_back(member(listing));
  }
  sources_.SetPlan(PlanFeedSources(member(OwnListing()), members));
  const int vms = context_.fleet.FleetSize();
  const bool reads_for_others = sources_.ReadsStore() && vms > 1;
  context_.feed.SetServesOthers(reads_for_others);
  // Only few read for others. One that has lost its sources may be one of many.
  context_.feed.SetFleetSize(reads_for_others ? 1 : vms);
}

void store_sync::RunFeed(monotonic_time now) {
  PlanSources();
  const std::optional<vm_id> source = sources_.Next(now);
  const std::optional<fleet_feed::feed_call> order =
      context_.feed.NextCall(now, source.has_value());
  if (!order) return;
  if (order->relayed) {
    return AskRelay(context_.fleet.Vms().at(*source), *order, now);
  }
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

void store_sync::AskRelay(const vm_listing& relay,
                          const fleet_feed::feed_call& order,
                          monotonic_time now) {
  const monotonic_time deadline = now + order.wait + kRelayLimit;
  relays_.Ask(relay, order.after, order.wait, deadline,
              [this, vm = relay.vm](const result<feed_answer>& answer) {
                OnRelayed(vm, answer);
              });
}

void store_sync::OnRelayed(const vm_id& relay,
                           const result<feed_answer>& answer) {
  const monotonic_time now = MonotonicNow();
  const bool ok = IsOk(answer);
  context_.stats.Count("citron_store_calls_total",
                       {{"call", "relay"}, {"ok", ok ? "true" : "false"}});
  if (!ok) {
    context_.log.Write("relay", "source_failed",
                       {{"vm", relay.Str()},
                        {"problem", ErrorOf(answer).message},
                        {"store_age_ms", StoreAgeMs(context_, now)}},
                       now);
    sources_.OnFailed(relay, now);
    context_.feed.OnRelayFailed(now);
    return Run(now);
  }
  sources_.OnAnswered(relay);
  const feed_answer& got = ValueOf(answer);
  if (got.history_gone) {
    context_.log.Write(
        "relay", "history_gone",
        {{"vm", relay.Str()}, {"revision", context_.feed.Revision()}}, now);
    context_.feed.OnCompacted(now);
    return Run(now);
  }
  context_.feed.OnRelayed(got.revision, got.held, got.proof_age,
                          got.lapsed_left, now);
  for (const key_change& change : got.changes) Apply(change, now);
  index_.OnRevision(got.revision);
  NoteTouch(true, "", now);
}

void store_sync::Apply(const key_change& change, monotonic_time now) {
  const monotonic_time lapsed_until = context_.feed.ExpiryGraceUntil();
  switch (change.what) {
    case key_change::kind::kWritten:
      context_.fleet.ApplyEvent({change.item, false}, lapsed_until, now);
      return index_.OnWritten(change.item);
    case key_change::kind::kRemoved:
      context_.fleet.ApplyEvent({change.item, true}, lapsed_until, now);
      return index_.OnRemoved(change.item.key, change.item.revision);
    case key_change::kind::kConfirmed:
      context_.fleet.Confirm(change.item.key, now);
      return index_.OnConfirmed(change.item.key, change.item.revision);
  }
}

void store_sync::OnRange(const result<store_range>& range) {
  const monotonic_time now = MonotonicNow();
  if (!IsOk(range)) {
    context_.feed.OnFailed(now);
    return NoteTouch(false, ErrorOf(range).message, now);
  }
  context_.feed.OnRange(ValueOf(range).revision, now);
  context_.fleet.ApplyRange(ValueOf(range).items,
                            context_.feed.ExpiryGraceUntil(), now);
  index_.OnFullCopy(ValueOf(range).items, ValueOf(range).revision);
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
  const monotonic_time lapsed_until = context_.feed.ExpiryGraceUntil();
  for (const store_event& event : got.events) {
    const store_item& item = event.item;
    const bool is_new = context_.fleet.ApplyEvent(event, lapsed_until, now);
    if (event.removed) {
      index_.OnRemoved(item.key, item.revision);
    } else if (is_new) {
      index_.OnWritten(item);
    } else {
      index_.OnConfirmed(item.key, item.revision);
    }
  }
  index_.OnRevision(got.revision);
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
                          registration_.OnLeaseGranted(ValueOf(lease), then);
                          if (!leaving_) RunRegistration(then);
                        });
      return;
    case vm_registration::call::kWrite: {
      store_write write;
      write.key = codec_.VmKey(context_.settings.vm);
      write.value = EncodeVmListing(OwnListing());
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
                            return registration_.OnLeaseRenewed(then);
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
    return registration_.OnRecordWritten(now);
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
    registration_.OnLeaseExpired(now);
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
