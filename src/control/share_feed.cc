#include "citron/control/share_feed.h"

#include <fmt/format.h>

#include <utility>

#include "citron/base/log.h"

namespace citron {

namespace {

constexpr char kLogPart[] = "shares";

share_settings SettingsFor(const control_settings& settings) {
  constexpr double kWholePpm = 1e6;
  share_settings made;
  made.floor_ppm = static_cast<int>(settings.share_floor_fraction * kWholePpm);
  made.lease = settings.share_lease;
  made.renew_interval = settings.share_renew_interval;
  made.floor_horizon = settings.share_floor_horizon;
  return made;
}

cas_result ResultOf(const write_result& result) {
  if (const auto* done = std::get_if<write_done>(&result)) {
    return cas_ok{done->revision};
  }
  if (const auto* lost = std::get_if<write_conflict>(&result)) {
    return cas_conflict{lost->value, lost->revision};
  }
  return cas_unknown{};
}

}  // namespace

share_feed::share_feed(const control_context& context,
                       std::uint64_t incarnation,
                       std::function<void(const vm_share&)> granted)
    : context_(context),
      holder_(context.settings.common.vm, context.settings.common.zone,
              incarnation, SettingsFor(context.settings), context.seed),
      granted_(std::move(granted)),
      timer_(context.loop,
             [this] { Perform(holder_.OnTimer(MonotonicNow())); }) {}

void share_feed::Start() { Perform(holder_.Start(MonotonicNow())); }

void share_feed::OnMembership(const std::set<vm_id>& live) {
  holder_.OnMembership(live);
}

void share_feed::OnVmsDeclaredDead(const std::set<vm_id>& gone) {
  Perform(holder_.OnVmsDeclaredDead(gone, MonotonicNow()));
}

void share_feed::OnGrantApplied(std::uint64_t sequence) {
  Perform(holder_.OnGrantApplied(sequence, MonotonicNow()));
}

void share_feed::Release(std::function<void()> released) {
  released_ = std::move(released);
  Perform(holder_.OnRelease(MonotonicNow()));
}

void share_feed::Perform(const share_actions& actions) {
  for (const share_action& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void share_feed::Do(const read_table&) {
  const monotonic_time deadline =
      MonotonicNow() + share_settings{}.reply_timeout;
  context_.store.Get(
      kShareTableKey, deadline, [this](result<store_lookup> answer) {
        const monotonic_time now = MonotonicNow();
        if (!IsOk(answer)) return Perform(holder_.OnReadFailed(now));
        const std::optional<store_item>& item = ValueOf(answer).item;
        Perform(item ? holder_.OnTableRead(item->value, item->revision, now)
                     : holder_.OnTableRead("", 0, now));
      });
}

void share_feed::Do(const write_table& action) {
  store_write write;
  write.key = kShareTableKey;
  write.value = action.json;
  write.expected = action.expected_revision;
  write.write_id = fmt::format("{}/{}/{}", context_.settings.common.vm.Str(),
                               context_.peers.Incarnation(), action.id);
  const monotonic_time deadline =
      MonotonicNow() + share_settings{}.reply_timeout;
  context_.store.Put(
      write, deadline, [this, id = action.id](write_result result) {
        Perform(holder_.OnCasResult(id, ResultOf(result), MonotonicNow()));
      });
}

void share_feed::Do(const grant_changed& action) {
  // A grant comes with every renewal; only another size is news.
  const bool is_news = action.share.floor_ppm != shown_.floor_ppm ||
                       action.share.leased_ppm != shown_.leased_ppm;
  if (is_news) {
    Log(kLogPart, "share is now {} ppm lasting and {} ppm leased",
        action.share.floor_ppm, action.share.leased_ppm);
  }
  shown_ = action.share;
  granted_(action.share);
}

void share_feed::Do(const arm_timer& action) { timer_.Arm(action.at); }

void share_feed::Do(const release_done&) {
  if (released_) context_.loop.Defer(std::exchange(released_, nullptr));
}

}  // namespace citron
