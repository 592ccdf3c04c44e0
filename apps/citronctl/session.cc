#include "apps/citronctl/session.h"

#include <algorithm>
#include <cstdio>

#include "citron/base/digest.h"
#include "citron/config/fleet_config.h"
#include "citron/config/json_reader.h"
#include "citron/ctl/declaration.h"

namespace citron {

namespace {

constexpr std::size_t kWriteIdBytes = 12;

// JSON of a stored value, or the text if it is none.
nlohmann::json ValueJson(const std::string& text) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (IsOk(parsed)) return ValueOf(parsed);
  return text;
}

nlohmann::json ToJson(const change_report& change) {
  nlohmann::json json = {{"key", change.key},
                         {"outcome", ChangeOutcomeName(change.outcome)},
                         {"revision", change.revision},
                         {"message", change.message}};
  if (change.outcome == change_outcome::kLostRace) {
    json["present"] = {{"revision", change.present.revision},
                       {"write_id", change.present.write_id},
                       {"value", ValueJson(change.present.value)}};
  }
  return json;
}

nlohmann::json ToJson(const spread_report& report) {
  nlohmann::json zones = nlohmann::json::object();
  for (const auto& [zone, progress] : report.zones) {
    zones[zone.Str()] = ZoneProgressName(progress);
  }
  nlohmann::json json = {{"zones", zones}};
  for (const endpoint& control : report.unknown_controls) {
    json["controls_not_reached"].push_back(control.Str());
  }
  return json;
}

std::string ZonesWith(const spread_report& report, zone_progress wanted) {
  std::string names;
  for (const auto& [zone, progress] : report.zones) {
    if (progress != wanted) continue;
    if (!names.empty()) names += ", ";
    names += zone.Str();
  }
  return names;
}

void PrintSpread(const spread_report& report) {
  const std::pair<zone_progress, const char*> lines[] = {
      {zone_progress::kInForce, "in force in"},
      {zone_progress::kBehind, "not yet in force in"},
      {zone_progress::kNotReached, "not reached"}};
  for (const auto& [progress, words] : lines) {
    const std::string zones = ZonesWith(report, progress);
    if (!zones.empty()) Print(fmt::format("{}: {}\n", words, zones));
  }
  for (const endpoint& control : report.unknown_controls) {
    Print(fmt::format("not reached: control {}\n", control.Str()));
  }
}

}  // namespace

void Print(const std::string& text) {
  std::fwrite(text.data(), 1, text.size(), stdout);
  std::fflush(stdout);
}

std::string Pretty(const nlohmann::json& value) {
  return value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

void PrintJson(const nlohmann::json& value) { Print(Pretty(value) + "\n"); }

result<std::unique_ptr<ctl_session>> ctl_session::Make(
    const ctl_options& options) {
  std::vector<control_address> controls;
  if (!options.fleet_file.empty()) {
    const result<std::string> text = ReadTextFile(options.fleet_file);
    if (!IsOk(text)) return ErrorOf(text);
    result<std::vector<control_address>> read = ParseFleetFile(ValueOf(text));
    if (!IsOk(read)) {
      return MakeError(error_code::kInvalid,
                       options.fleet_file + ": " + ErrorOf(read).message);
    }
    controls = std::move(ValueOf(read));
  }
  for (const endpoint& control : options.controls) {
    controls.push_back({vm_id(), zone_id(), control});
  }
  auto session = std::unique_ptr<ctl_session>(new ctl_session(options));
  session->fleet_ = std::make_unique<fleet_reader>(
      session->status_source_, session->waiter_, std::move(controls));
  return session;
}

ctl_session::ctl_session(const ctl_options& options)
    : options_(options),
      loop_(event_loop::Make()),
      waiter_(*loop_),
      status_source_(*loop_) {
  if (options_.platform) {
    store_ = std::make_unique<http_platform_store>(*loop_, *options_.platform);
  }
}

result<store_range> ctl_session::Range(const std::string& prefix) {
  if (!store_) return MakeError(error_code::kInvalid, "--platform is missing");
  return Await<result<store_range>>(
      waiter_, [&](platform_store::on_range done) {
        store_->Range(prefix, waiter_.Now() + options_.call_limit,
                      std::move(done));
      });
}

result<std::vector<vm_record>> ctl_session::ListVms() {
  if (!store_) return MakeError(error_code::kInvalid, "--platform is missing");
  return Await<result<std::vector<vm_record>>>(
      waiter_, [&](platform_store::on_vms done) {
        store_->ListVms(waiter_.Now() + options_.call_limit, std::move(done));
      });
}

result<std::map<std::string, std::string>> ctl_session::ConfigObjects() {
  const result<store_range> range = Range(kConfigPrefix);
  if (!IsOk(range)) return ErrorOf(range);
  std::map<std::string, std::string> objects;
  for (const store_item& item : ValueOf(range).items) {
    objects[item.key] = item.value;
  }
  return objects;
}

change_report ctl_session::Change(const config_change& change) {
  if (!store_) {
    change_report report;
    report.key = change.key;
    report.message = "--platform is missing";
    return report;
  }
  config_change checked = change;
  if (!checked.expected) checked.expected = options_.expected;
  const std::string write_id = RandomHex(kWriteIdBytes);
  config_writer writer(*store_, waiter_, HashBytes(write_id),
                       {options_.call_limit, options_.change_limit});
  return writer.Apply(checked, write_id);
}

status ctl_session::CheckTogether(
    const std::map<std::string, std::optional<std::string>>& changes) {
  const result<std::map<std::string, std::string>> read = ConfigObjects();
  if (!IsOk(read)) return ErrorOf(read);
  std::map<std::string, std::string> objects = ValueOf(read);
  const std::vector<std::string> before = FindConfigProblems(objects);
  for (const auto& [key, value] : changes) {
    if (value) {
      objects[key] = *value;
    } else {
      objects.erase(key);
    }
  }
  for (const std::string& problem : FindConfigProblems(objects)) {
    if (std::find(before.begin(), before.end(), problem) == before.end()) {
      return MakeError(error_code::kInvalid, problem);
    }
  }
  return std::monostate{};
}

exit_code ctl_session::Finish(const std::vector<change_report>& changes,
                              nlohmann::json extra) {
  exit_code code = exit_code::kOk;
  store_revision highest = 0;
  for (const change_report& change : changes) {
    if (code == exit_code::kOk) code = ExitCodeOf(change.outcome);
    if (ExitCodeOf(change.outcome) == exit_code::kOk) {
      highest = std::max(highest, change.revision);
    }
  }
  if (!options_.json) PrintChanges(changes);
  const bool waits = highest > 0 && options_.wait_limit > duration::zero();
  if (waits && fleet_->IsEmpty()) {
    std::fputs(
        "citronctl: accepted; give --control or --fleet to see where it is "
        "in force\n",
        stderr);
  } else if (waits) {
    const spread_report spread = WaitFor(highest);
    extra["spread"] = ToJson(spread);
    if (!options_.json) PrintSpread(spread);
    if (code == exit_code::kOk && !spread.IsInForceEverywhere()) {
      code = exit_code::kNotInForce;
    }
  }
  if (options_.json) {
    extra["changes"] = nlohmann::json::array();
    for (const change_report& change : changes) {
      extra["changes"].push_back(ToJson(change));
    }
    extra["exit_code"] = static_cast<int>(code);
    PrintJson(extra);
  }
  return code;
}

spread_report ctl_session::WaitFor(store_revision revision) {
  return fleet_->WaitFor(revision, waiter_.Now() + options_.wait_limit);
}

void ctl_session::PrintChanges(
    const std::vector<change_report>& changes) const {
  for (const change_report& change : changes) {
    const bool is_done = ExitCodeOf(change.outcome) == exit_code::kOk;
    const std::string line = fmt::format(
        "{}: {}{}\n", change.key, change.message,
        is_done ? fmt::format(" (revision {})", change.revision) : "");
    if (is_done) {
      Print(line);
    } else {
      std::fputs(("citronctl: " + line).c_str(), stderr);
    }
    if (change.outcome == change_outcome::kLostRace &&
        change.present.revision != 0) {
      std::fputs(("present value: " + change.present.value + "\n").c_str(),
                 stderr);
    }
  }
}

exit_code ctl_session::Fail(exit_code code, const std::string& message) const {
  std::fputs(("citronctl: " + message + "\n").c_str(), stderr);
  return code;
}

exit_code ctl_session::FailRead(const error& problem) const {
  const bool is_away = problem.code == error_code::kUnavailable ||
                       problem.code == error_code::kUnknown;
  return Fail(is_away ? exit_code::kNotReached : exit_code::kInvalid,
              problem.message);
}

exit_code ctl_session::Usage(const std::string& expected) const {
  return Fail(exit_code::kInvalid, "usage: citronctl " + expected);
}

}  // namespace citron
