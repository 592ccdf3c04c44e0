#include "citron/dispatch/owner_driver.h"

#include <fmt/format.h>

#include <utility>

#include "citron/base/digest.h"
#include "citron/base/log.h"

namespace citron {

namespace {

constexpr char kLogPart[] = "ownership";

ownership_options OptionsFor(const control_link& link,
                             const dispatch_settings& settings,
                             const endpoint& address) {
  ownership_options options;
  options.vm =
      owner_driver::MemberName(link.Options().common.vm, link.Options().loop);
  options.incarnation = link.Incarnation();
  options.address = address;
  options.ttl = settings.ownership_ttl;
  options.renew_interval = settings.ownership_renew_interval;
  options.horizon = settings.ownership_horizon;
  return options;
}

// The VM and the loop behind a member's name.
std::pair<vm_id, int> SplitMember(const vm_id& member) {
  const std::string& name = member.Str();
  const std::size_t slash = name.find('/');
  if (slash == std::string::npos) return {member, 0};
  return {vm_id(name.substr(0, slash)), std::atoi(name.c_str() + slash + 1)};
}

}  // namespace

vm_id owner_driver::MemberName(const vm_id& vm, int loop) {
  return loop == 0 ? vm : vm_id(fmt::format("{}/{}", vm.Str(), loop));
}

owner_driver::owner_driver(event_loop& loop, control_link& link,
                           const dispatch_settings& settings,
                           const endpoint& address,
                           std::function<void()> changed)
    : loop_(loop),
      link_(link),
      table_key_("owners/" + settings.common.zone.Str()),
      ownership_(OptionsFor(link, settings, address),
                 HashBytes(settings.common.vm.Str(), link.Incarnation())),
      changed_(std::move(changed)),
      timer_(loop, [this] { Perform(ownership_.OnTimer(MonotonicNow())); }) {
  timer_.Arm(MonotonicNow());
}

void owner_driver::OnConfig() {
  const fleet_config& config = link_.Config();
  const monotonic_time now = MonotonicNow();
  std::set<upstream_id> upstreams;
  for (const auto& [id, upstream] : config.upstreams) {
    if (upstream.zone == link_.Options().common.zone) upstreams.insert(id);
  }
  Perform(ownership_.OnUpstreams(upstreams, now));
  // Every loop of a dead VM is dead.
  std::set<vm_id> gone = config.gone_vms;
  for (const auto& [member, row] : ownership_.Table().members) {
    if (gone.contains(SplitMember(member).first)) gone.insert(member);
  }
  Perform(ownership_.OnDeclaredDead(gone, now));
}

void owner_driver::OnInFlight(const upstream_id& upstream, int count) {
  Perform(ownership_.OnInFlight(upstream, count, MonotonicNow()));
}

void owner_driver::Leave(std::function<void()> left) {
  left_ = std::move(left);
  Perform(ownership_.OnLeave(MonotonicNow()));
}

bool owner_driver::OnStoreAnswer(const store_answer_message& message) {
  const monotonic_time now = MonotonicNow();
  switch (message.kind) {
    case store_answer_kind::kValue:
      Perform(ownership_.OnTableRead(message.call, message.value,
                                     message.revision, now));
      return true;
    case store_answer_kind::kWritten:
      Perform(ownership_.OnCasResult(message.call, cas_outcome::kOk,
                                     message.revision, now));
      return true;
    case store_answer_kind::kConflict:
      Perform(ownership_.OnCasResult(message.call, cas_outcome::kConflict,
                                     message.revision, now));
      return true;
    case store_answer_kind::kUnknown:
      Perform(
          ownership_.OnCasResult(message.call, cas_outcome::kUnknown, 0, now));
      return true;
    case store_answer_kind::kUnreachable:
      Perform(ownership_.OnStoreUnreachable(message.call, now));
      return true;
  }
  return false;
}

void owner_driver::OnPromiseRequest(const promise_request& message) {
  Perform(ownership_.OnPromiseRequest(message, MonotonicNow()));
}

void owner_driver::OnPromise(const promise& message) {
  Perform(ownership_.OnPromise(message, MonotonicNow()));
}

void owner_driver::OnTableChanged() {
  Perform(ownership_.OnTableChanged(MonotonicNow()));
}

void owner_driver::Perform(const ownership::actions& actions) {
  for (const ownership::action& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void owner_driver::Do(const ownership_action::read_table& action) {
  store_call_message message;
  message.call = action.call;
  message.kind = store_call_kind::kRead;
  SendCall(action.via, std::move(message));
}

void owner_driver::Do(const ownership_action::write_table& action) {
  store_call_message message;
  message.call = action.call;
  message.kind = store_call_kind::kWrite;
  message.value = action.json;
  message.expected_revision = action.expected_revision;
  SendCall(action.via, std::move(message));
}

void owner_driver::Do(const ownership_action::send_promise_request& action) {
  const endpoint to = PeerOf(action.to);
  if (to.IsEmpty()) return;
  link_.Send(to, message_type::kPromiseAsk, action.message);
}

void owner_driver::Do(const ownership_action::send_promise& action) {
  const endpoint to = PeerOf(action.to);
  if (to.IsEmpty()) return;
  link_.Send(to, message_type::kPromise, action.message);
}

void owner_driver::Do(const ownership_action::notify_owner& action) {
  const endpoint to = PeerOf(action.to);
  if (to.IsEmpty()) return;
  link_.Send(to, message_type::kTableChanged,
             table_changed{
                 MemberName(link_.Options().common.vm, link_.Options().loop)});
}

void owner_driver::Do(const ownership_action::ownership_changed& action) {
  Log(kLogPart, "{} now owns {} upstreams of the zone",
      link_.Options().common.vm.Str(), action.owned.size());
  changed_();
}

void owner_driver::Do(const ownership_action::left&) {
  if (left_) loop_.Defer(std::exchange(left_, nullptr));
}

void owner_driver::Do(const ownership_action::arm_timer& action) {
  timer_.Arm(action.at);
}

endpoint owner_driver::ControlOf(const vm_id& member) const {
  const auto found = link_.Vms().find(SplitMember(member).first);
  return found == link_.Vms().end() ? endpoint{} : found->second.view.control;
}

endpoint owner_driver::PeerOf(const vm_id& member) const {
  const auto [vm, loop] = SplitMember(member);
  const auto found = link_.Vms().find(vm);
  if (found == link_.Vms().end()) return {};
  for (const task_address& task : found->second.view.dispatches) {
    if (task.loop == loop) return task.peer;
  }
  return {};
}

void owner_driver::SendCall(const vm_id& via, store_call_message message) {
  message.key = table_key_;
  message.reply_to = link_.PeerAddress();
  const endpoint control =
      via.IsEmpty() ? link_.Options().control : ControlOf(via);
  if (control.IsEmpty()) return;
  link_.Send(control, message_type::kStoreCall, message);
}

}  // namespace citron
