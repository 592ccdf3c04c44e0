#include "citron/node/store_sync.h"

#include <optional>
#include <string>
#include <utility>

#include "citron/base/digest.h"
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
// Least time between two whole copies that are read since copies differ.
constexpr duration kWholeCopyInterval = std::chrono::milliseconds(2000);
constexpr std::size_t kLogIdBytes = 8;

}  // namespace

store_sync::store_sync(node_context& context, platform_store& store,
                       const fleet_codec& codec, std::string secret)
    : context_(context),
      store_(store),
      codec_(codec),
      secret_(std::move(secret)),
      relays_(context.loop, context.settings.vm),
      index_(HashBytes(RandomHex(kLogIdBytes))),
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
  const auto reason = context_.feed.StartRefresh(now);
  if (reason) Refresh(*reason, now);
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
  feed_question question;
  question.after = relay_head_;
  question.revision = index_.Revision();
  question.wants_whole_copy = std::exchange(wants_whole_copy_, false);
  question.wait = order.wait;
  relays_.Ask(relay, question, deadline,
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
    if (ErrorOf(answer).code == error_code::kNotFound) {
      sources_.OnRefused(relay, now);
      context_.feed.OnRelayRefused(now);
    } else {
      sources_.OnFailed(relay, now);
      context_.feed.OnRelayFailed(now);
    }
    return Run(now);
  }
  sources_.OnAnswered(relay);
  const feed_answer& got = ValueOf(answer);
  const bool was_behind = index_.Revision() <= got.revision;
  context_.feed.OnRelayed(got.revision, got.held, got.proof_age,
                          got.lapsed_left, now);
  relay_head_ = got.head;
  if (got.is_whole_copy) {
    std::vector<store_item> items;
    for (const key_change& change : got.changes) items.push_back(change.item);
    ApplyCopy(items, got.revision, now);
  } else {
    for (const key_change& change : got.changes) Apply(change, now);
    context_.fleet.RemoveMissing(now);
    index_.OnRevision(got.revision);
  }
  NoteTouch(true, "", now);
  if (was_behind) CompareCopies(relay, got, now);
}

// Whatever way a change got lost, the copies of this VM and its source differ
// after an answer, and the next question gets all of the source's. If that
// doesn't help, the store decides.
void store_sync::CompareCopies(const vm_id& relay, const feed_answer& answer,
                               monotonic_time now) {
  if (answer.digest == index_.Digest()) return;
  if (!answer.is_whole_copy && now < next_whole_copy_at_) return;
  next_whole_copy_at_ = now + kWholeCopyInterval;
  context_.stats.Count("citron_copy_mismatches_total", {});
  context_.log.Write("relay", "copies_differ",
                     {{"vm", relay.Str()},
                      {"revision", answer.revision},
                      {"after_whole_copy", answer.is_whole_copy}},
                     now);
  if (answer.is_whole_copy) {
    context_.feed.OnCompacted(now);
  } else {
    wants_whole_copy_ = true;
  }
}

void store_sync::Apply(const key_change& change, monotonic_time now) {
  const store_item& item = change.item;
  if (!index_.IsNewer(item.key, item.revision)) return;
  const monotonic_time lapsed_until = context_.feed.ExpiryGraceUntil();
  switch (change.what) {
    case key_change::kind::kWritten: {
      const bool is_new =
          context_.fleet.ApplyEvent({item, false}, lapsed_until, now);
      if (!is_new && index_.OnConfirmed(item.key, item.revision)) return;
      return index_.OnWritten(item);
    }
    case key_change::kind::kRemoved:
      context_.fleet.ApplyEvent({item, true}, lapsed_until, now);
      return index_.OnRemoved(item.key, item.revision);
    case key_change::kind::kConfirmed:
      if (index_.OnConfirmed(item.key, item.revision)) {
        context_.fleet.Confirm(item.key, now);
      }
      return;
  }
}

void store_sync::ApplyCopy(const std::vector<store_item>& items,
                           store_revision revision, monotonic_time now) {
  context_.fleet.ApplyCopy(index_.OnFullCopy(items, revision),
                           context_.feed.ExpiryGraceUntil(), now);
}

void store_sync::OnRange(const result<store_range>& range) {
  const monotonic_time now = MonotonicNow();
  if (!IsOk(range)) {
    context_.feed.OnFailed(now);
    return NoteTouch(false, ErrorOf(range).message, now);
  }
  context_.feed.OnRange(ValueOf(range).revision, now);
  ApplyCopy(ValueOf(range).items, ValueOf(range).revision, now);
  NoteTouch(true, "", now);
  Run(now);
}

void store_sync::Refresh(fleet_feed::refresh_reason reason,
                         monotonic_time now) {
  if (!is_refreshing_) {
    const bool is_audit = reason == fleet_feed::refresh_reason::kAudit;
    context_.log.Write("store", "refresh_started",
                       {{"reason", is_audit ? "audit" : "old_proof"},
                        {"store_age_ms", StoreAgeMs(context_, now)},
                        {"revision", context_.feed.Revision()}},
                       now);
  }
  is_refreshing_ = true;
  store_.Range("", now + kAnswerLimit,
               [this, sent_at = now](const result<store_range>& range) {
                 OnRefreshed(range, sent_at);
               });
}

void store_sync::OnRefreshed(const result<store_range>& range,
                             monotonic_time sent_at) {
  const monotonic_time now = MonotonicNow();
  const bool ok = IsOk(range);
  context_.stats.Count("citron_store_calls_total",
                       {{"call", "refresh"}, {"ok", ok ? "true" : "false"}});
  if (!ok) return context_.feed.OnRefreshFailed(sent_at);
  context_.feed.OnRefreshed(ValueOf(range).revision, sent_at, now);
  ApplyCopy(ValueOf(range).items, ValueOf(range).revision, now);
  if (is_refreshing_) {
    context_.log.Write("store", "refreshed",
                       {{"revision", context_.feed.Revision()},
                        {"ms", ToMilliseconds(now - sent_at)}},
                       now);
  }
  is_refreshing_ = false;
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
    using kind = key_change::kind;
    Apply({event.removed ? kind::kRemoved : kind::kWritten, event.item}, now);
  }
  context_.fleet.RemoveMissing(now);
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
      store_.GrantLease(registration_.LeaseTtl(), deadline,
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
