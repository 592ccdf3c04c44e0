#include "citron/ctl/fleet_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr int kHttpOk = 200;
// One page; a zone that is cut off must not use up the wait for the others.
constexpr duration kPageLimit = std::chrono::milliseconds(1000);
constexpr duration kPollInterval = std::chrono::milliseconds(100);

std::string StringOf(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

// Members without an address are passed over: they can't be asked.
std::vector<control_address> ReadMembers(const nlohmann::json& list) {
  std::vector<control_address> members;
  if (!list.is_array()) return members;
  for (const nlohmann::json& item : list) {
    if (!item.is_object()) continue;
    const std::optional<endpoint> status =
        ParseEndpoint(StringOf(item, "status"));
    if (!status) continue;
    members.push_back({vm_id(StringOf(item, "vm")),
                       zone_id(StringOf(item, "zone")), *status});
  }
  return members;
}

// The worst control decides for its zone, except that one which is away does
// not hide the others.
zone_progress Combine(zone_progress a, zone_progress b) {
  const auto weight = [](zone_progress p) {
    switch (p) {
      case zone_progress::kBehind:
        return 2;
      case zone_progress::kNotReached:
        return 1;
      case zone_progress::kInForce:
        return 0;
    }
    return 0;
  };
  return weight(a) >= weight(b) ? a : b;
}

zone_progress ProgressOf(const control_view& view, config_revision revision) {
  if (!view.status) return zone_progress::kNotReached;
  return view.status->revision >= revision ? zone_progress::kInForce
                                           : zone_progress::kBehind;
}

}  // namespace

result<vm_status> ParseVmStatus(std::string_view body) {
  result<nlohmann::json> parsed = ParseJson(body);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  nlohmann::json& page = ValueOf(parsed);
  if (!page.is_object() || !page.contains("revision") ||
      !page["revision"].is_number_unsigned()) {
    return MakeError(error_code::kInvalid,
                     "the page is no status of a control");
  }
  vm_status status;
  status.vm = vm_id(StringOf(page, "vm"));
  status.zone = zone_id(StringOf(page, "zone"));
  status.region = region_id(StringOf(page, "region"));
  status.state = StringOf(page, "state");
  status.revision = page["revision"].get<config_revision>();
  // The control may be ahead of the daemons that decide by it.
  const auto in_force = page.find("revision_in_force");
  if (in_force != page.end() && in_force->is_number_unsigned()) {
    status.revision = in_force->get<config_revision>();
  }
  if (page.contains("members")) status.members = ReadMembers(page["members"]);
  if (status.vm.IsEmpty() || status.zone.IsEmpty()) {
    return MakeError(error_code::kInvalid, "the page names no VM and zone");
  }
  status.page = std::move(page);
  return status;
}

result<std::vector<control_address>> ParseFleetFile(std::string_view text) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  std::vector<control_address> controls;
  json_reader reader(ValueOf(parsed), "");
  reader.Each(
      "vms",
      [&](json_reader& item) {
        std::string vm;
        std::string zone;
        std::string region;
        control_address address;
        item.String("vm", vm, true);
        item.String("zone", zone, true);
        item.String("region", region);
        item.Endpoint("status", address.status, true);
        address.vm = vm_id(vm);
        address.zone = zone_id(zone);
        controls.push_back(address);
      },
      true);
  const status finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return controls;
}

void http_status_source::Fetch(const endpoint& control, monotonic_time deadline,
                               on_status done) {
  client_.Call(
      control, {"GET", "/status", {}, ""}, deadline,
      [done = std::move(done)](const http_response* response,
                               const call_failure& failure) {
        if (response == nullptr) {
          return done(MakeError(error_code::kUnavailable,
                                std::string(CallProblemName(failure.problem))));
        }
        if (response->head.status != kHttpOk) {
          return done(
              MakeError(error_code::kUnavailable,
                        fmt::format("HTTP status {}", response->head.status)));
        }
        done(ParseVmStatus(response->body));
      });
}

std::string_view ZoneProgressName(zone_progress progress) {
  switch (progress) {
    case zone_progress::kInForce:
      return "in_force";
    case zone_progress::kBehind:
      return "behind";
    case zone_progress::kNotReached:
      return "not_reached";
  }
  return "";
}

bool spread_report::IsInForceEverywhere() const {
  return unknown_controls.empty() &&
         std::all_of(zones.begin(), zones.end(), [](const auto& zone) {
           return zone.second == zone_progress::kInForce;
         });
}

bool spread_report::IsInForceWhereReached() const {
  return std::none_of(zones.begin(), zones.end(), [](const auto& zone) {
    return zone.second == zone_progress::kBehind;
  });
}

spread_report MakeSpreadReport(const std::vector<control_view>& views,
                               config_revision revision) {
  spread_report report;
  for (const control_view& view : views) {
    const zone_id zone = view.status ? view.status->zone : view.address.zone;
    if (zone.IsEmpty()) {
      report.unknown_controls.push_back(view.address.status);
      continue;
    }
    const zone_progress progress = ProgressOf(view, revision);
    const auto [found, added] = report.zones.emplace(zone, progress);
    if (!added) found->second = Combine(found->second, progress);
  }
  return report;
}

fleet_reader::fleet_reader(status_source& source, task_waiter& waiter,
                           std::vector<control_address> controls)
    : source_(source), waiter_(waiter), controls_(std::move(controls)) {}

std::vector<control_view> fleet_reader::Read(duration call_limit) {
  std::vector<control_view> views = ReadEach(controls_, call_limit);
  const std::vector<control_address> added = AddNewMembers(views);
  for (control_view& view : ReadEach(added, call_limit)) {
    views.push_back(std::move(view));
  }
  return views;
}

spread_report fleet_reader::WaitFor(config_revision revision,
                                    monotonic_time deadline) {
  while (true) {
    const duration left = deadline - waiter_.Now();
    const spread_report report =
        MakeSpreadReport(Read(std::min(kPageLimit, left)), revision);
    // A control that is away now and then is asked again until the deadline;
    // one that is cut off would make each change wait for the whole time.
    if (report.IsInForceWhereReached()) return report;
    const monotonic_time next = waiter_.Now() + kPollInterval;
    if (next >= deadline) return report;
    waiter_.PauseUntil(next);
  }
}

std::vector<control_view> fleet_reader::ReadEach(
    const std::vector<control_address>& controls, duration call_limit) {
  std::vector<control_view> views(controls.size());
  std::size_t open = controls.size();
  for (std::size_t i = 0; i < controls.size(); ++i) {
    views[i].address = controls[i];
    source_.Fetch(controls[i].status, waiter_.Now() + call_limit,
                  [&, i](result<vm_status> got) {
                    if (IsOk(got)) {
                      views[i].status = std::move(ValueOf(got));
                    } else {
                      views[i].problem = ErrorOf(got).message;
                    }
                    --open;
                    waiter_.Wake();
                  });
  }
  while (open > 0) waiter_.Wait();
  return views;
}

std::vector<control_address> fleet_reader::AddNewMembers(
    const std::vector<control_view>& views) {
  std::vector<control_address> added;
  for (const control_view& view : views) {
    if (!view.status) continue;
    for (const control_address& member : view.status->members) {
      const bool known = std::any_of(
          controls_.begin(), controls_.end(),
          [&](const control_address& c) { return c.status == member.status; });
      if (known) continue;
      controls_.push_back(member);
      added.push_back(member);
    }
  }
  return added;
}

}  // namespace citron
