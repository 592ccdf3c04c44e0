#include "citron/control/config_feed.h"

#include <utility>

#include "citron/base/log.h"

namespace citron {

namespace {

constexpr char kLogPart[] = "config";
constexpr duration kCallTimeout = std::chrono::seconds(3);
// A VM whose peers left its replica this old watches the store itself.
constexpr duration kPeersTooStale = std::chrono::seconds(4);

config_item ItemOf(const store_event& event) {
  return {event.item.key, event.item.value, event.item.revision, event.removed};
}

}  // namespace

config_feed::config_feed(const control_context& context, on_change changed)
    : context_(context),
      changed_(std::move(changed)),
      backoff_({}, context.seed),
      next_try_at_(MonotonicNow()) {}

config_feed::~config_feed() = default;

void config_feed::Start() { OnTimer(); }

void config_feed::SetRelay(bool is_relay) { is_relay_ = is_relay; }

void config_feed::SetPeer(const vm_id& vm, const endpoint& control) {
  peers_[vm] = control;
}

void config_feed::OnPeerRevision(const vm_id& peer, config_revision revision,
                                 duration age) {
  Perform(replica_.OnPeerRevision(peer, revision, age, MonotonicNow()));
}

void config_feed::OnPull(const config_pull_message& message) {
  const config_delta delta =
      replica_.OnPullRequest(message.request, MonotonicNow());
  context_.Send(
      message.reply_to, message_type::kConfigDelta,
      config_delta_message{context_.settings.common.vm, delta, message.asked});
}

void config_feed::OnDelta(const config_delta_message& message) {
  Perform(replica_.OnPeerDelta(message.from, message.delta, message.asked,
                               MonotonicNow()));
}

void config_feed::OnTimer() {
  const monotonic_time now = MonotonicNow();
  if (call_out_ || now < next_try_at_ || !ShouldWatch(now)) return;
  has_snapshot_ ? Watch() : ReadSnapshot();
}

bool config_feed::ShouldWatch(monotonic_time now) const {
  return is_relay_ || replica_.Age(now) > kPeersTooStale;
}

void config_feed::ReadSnapshot() {
  call_out_ = true;
  const monotonic_time asked = MonotonicNow();
  context_.store.Range(
      kConfigPrefix, asked + kCallTimeout,
      [this, asked](result<store_range> answer) {
        call_out_ = false;
        if (!IsOk(answer)) return OnStoreFailed(ErrorOf(answer));
        backoff_.Reset();
        has_snapshot_ = true;
        std::vector<config_item> items;
        for (store_item& item : ValueOf(answer).items) {
          items.push_back({std::move(item.key), std::move(item.value),
                           item.revision, false});
        }
        Perform(replica_.OnStoreSnapshot(items, ValueOf(answer).revision, asked,
                                         MonotonicNow()));
        OnTimer();
      });
}

void config_feed::Watch() {
  call_out_ = true;
  const monotonic_time asked = MonotonicNow();
  const config_revision after = replica_.Revision();
  const monotonic_time wait_until = asked + context_.settings.watch_wait;
  context_.store.Watch(
      kConfigPrefix, after, wait_until, wait_until + kCallTimeout,
      [this, asked, after](result<store_events> answer) {
        call_out_ = false;
        if (!IsOk(answer)) return OnStoreFailed(ErrorOf(answer));
        backoff_.Reset();
        const store_events& got = ValueOf(answer);
        if (got.compacted) {
          has_snapshot_ = false;
          return OnTimer();
        }
        std::vector<config_item> events;
        for (const store_event& event : got.events) {
          events.push_back(ItemOf(event));
        }
        Perform(replica_.OnStoreEvents(after, events, got.revision, asked,
                                       MonotonicNow()));
        OnTimer();
      });
}

void config_feed::OnStoreFailed(const error& problem) {
  const monotonic_time now = MonotonicNow();
  if (replica_.StoreReachable() || backoff_.Failures() == 0) {
    Log(kLogPart, "store not reached: {}; going on with revision {}",
        problem.message, replica_.Revision());
  }
  replica_.OnStoreUnreachable(now);
  next_try_at_ = backoff_.NextAttempt(now);
}

void config_feed::Perform(const config_replica::actions& actions) {
  for (const config_replica::action& action : actions) {
    if (const auto* pull =
            std::get_if<config_replica_action::pull_from_peer>(&action)) {
      const auto peer = peers_.find(pull->vm);
      if (peer == peers_.end()) continue;
      context_.Send(peer->second, message_type::kConfigPull,
                    config_pull_message{context_.settings.common.vm,
                                        context_.peers.Address(), pull->request,
                                        MonotonicNow()});
    } else if (const auto* change =
                   std::get_if<config_replica_action::apply>(&action)) {
      Apply(*change);
    } else {
      has_snapshot_ = false;
    }
  }
}

void config_feed::Apply(const config_replica_action::apply& change) {
  for (const std::string& kept : ApplyChange(change, config_)) {
    Log(kLogPart, "{}", kept);
  }
  Log(kLogPart, "revision {} in force, {} objects changed", change.revision,
      change.changed.size());
  changed_(config_);
}

}  // namespace citron
