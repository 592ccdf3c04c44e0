#include "node/signal_intake.h"

namespace citron {

bool signal_intake::Take(const http1_head& head, const answer_origin& origin,
                         bool is_own_word) {
  const answer_signals signals = ReadAnswerSignals(head, context_.names);
  if (signals.load) TakeLoad(*signals.load, origin);
  if (!is_own_word) return false;
  TakeRateLimit(signals.rate_limit_per_s,
                FindHeader(head.headers, context_.names.signature).has_value(),
                origin);
  TakeLeaving(signals.leaving, origin);
  return TakePause(signals.pause, origin);
}

template <typename T>
bool signal_intake::IsReadable(const header_signal<T>& found,
                               const std::string& header,
                               const answer_origin& origin) {
  if (!found.IsUnreadable()) return true;
  context_.fleet.OnUnreadableSignal(origin.start.id, header, found.text,
                                    MonotonicNow());
  return false;
}

void signal_intake::TakeLoad(const load_report& load,
                             const answer_origin& origin) {
  affinity_selector* selector = context_.fleet.SelectorOf(origin.service);
  upstream_tracker* upstream =
      selector == nullptr ? nullptr : selector->Find(origin.start.id);
  if (upstream == nullptr) return;
  context_.fleet.OnUpstreamLoad(*upstream, load, MonotonicNow());
}

// An answer without a limit ends it only if the upstream has certainly made the
// answer.
void signal_intake::TakeRateLimit(const header_signal<double>& limit,
                                  bool is_signed, const answer_origin& origin) {
  if (!limit.named && !is_signed) return;
  if (!IsReadable(limit, context_.names.rate_limit, origin)) return;
  const monotonic_time now = MonotonicNow();
  const rate_limit_observation seen{limit.value, context_.settings.vm, now};
  if (!context_.fleet.OnRateLimit(origin.start.id, seen, now)) return;
  context_.stats.Count("citron_upstream_rate_limit_changes_total",
                       {{"from", "answer"}});
}

bool signal_intake::TakePause(const header_signal<duration>& pause,
                              const answer_origin& origin) {
  if (!IsReadable(pause, context_.names.pause, origin)) return false;
  const duration length = pause.value.value_or(duration::zero());
  if (length <= duration::zero()) return false;
  const monotonic_time now = MonotonicNow();
  context_.stats.Count("citron_upstream_pauses_total",
                       {{"service", origin.service.Str()}});
  context_.log.Write("upstream", "pause_requested",
                     {{"upstream", origin.start.id.Str()},
                      {"request", origin.request},
                      {"pause_ms", ToMilliseconds(length)},
                      {"relay", origin.relay.Str()}},
                     now);
  context_.fleet.OnPauseRequested(origin.service, origin.start, now + length,
                                  now);
  TellRelayed(origin, now + length, false);
  return true;
}

void signal_intake::TakeLeaving(const header_signal<bool>& leaving,
                                const answer_origin& origin) {
  if (!IsReadable(leaving, context_.names.leaving, origin)) return;
  if (!leaving.value.value_or(false)) return;
  if (!context_.fleet.OnSaidLeaving(origin.service, origin.start)) return;
  const monotonic_time now = MonotonicNow();
  context_.stats.Count("citron_upstreams_said_leaving_total",
                       {{"service", origin.service.Str()}});
  context_.log.Write("upstream", "leaving_reported",
                     {{"upstream", origin.start.id.Str()},
                      {"request", origin.request},
                      {"relay", origin.relay.Str()}},
                     now);
  TellRelayed(origin, now, true);
}

// The upstream means the VM whose connection it is.
void signal_intake::TellRelayed(const answer_origin& origin,
                                monotonic_time paused_until, bool is_leaving) {
  const bool is_relayed = !origin.relay.IsEmpty();
  if (!is_relayed && !context_.paths.HasTunnelsTo(origin.start.id)) return;
  const vm_id asked = is_relayed ? origin.relay : context_.settings.vm;
  context_.relayed.Add(
      {origin.start.id, origin.start.born_ms, asked, paused_until, is_leaving},
      MonotonicNow());
}

}  // namespace citron
