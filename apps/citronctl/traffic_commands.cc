#include <fmt/format.h>

#include <algorithm>

#include "apps/citronctl/commands.h"
#include "citron/config/fleet_config.h"

namespace citron {

namespace {

// Something that does not exist is drained by nobody: a misspelt name must be
// an error, not a drain that never happens.
status CheckDrainTarget(ctl_session& session, const std::string& kind,
                        const std::string& name) {
  const auto missing = [&] {
    return MakeError(error_code::kInvalid,
                     fmt::format("there is no {} {}", kind, name));
  };
  if (kind == "vm") {
    const result<std::vector<vm_record>> vms = session.ListVms();
    if (!IsOk(vms)) return ErrorOf(vms);
    const bool listed = std::any_of(
        ValueOf(vms).begin(), ValueOf(vms).end(),
        [&](const vm_record& record) { return record.vm.Str() == name; });
    if (!listed) return missing();
    return std::monostate{};
  }
  const result<std::map<std::string, std::string>> objects =
      session.ConfigObjects();
  if (!IsOk(objects)) return ErrorOf(objects);
  const fleet_config config = BuildFleetConfig(ValueOf(objects), 0);
  const bool exists =
      kind == "upstream"
          ? config.upstreams.contains(upstream_id(name))
          : std::any_of(config.zones.begin(), config.zones.end(),
                        [&](const auto& zone) {
                          return zone.second.region.Str() == name;
                        });
  if (!exists) return missing();
  return std::monostate{};
}

std::optional<std::string> DrainKey(const std::vector<std::string>& words) {
  if (words.size() != 3) return std::nullopt;
  if (words[1] != "upstream" && words[1] != "vm" && words[1] != "region") {
    return std::nullopt;
  }
  return fmt::format("config/drain/{}/{}", words[1], words[2]);
}

exit_code Set(ctl_session& session, const std::string& key,
              const nlohmann::json& spec) {
  const std::string value = spec.dump();
  const status checked = session.CheckTogether({{key, value}});
  if (!IsOk(checked)) return session.FailRead(ErrorOf(checked));
  return session.Finish({session.Change({key, value, std::nullopt, false})});
}

exit_code Unset(ctl_session& session, const std::string& key) {
  return session.Finish(
      {session.Change({key, std::nullopt, std::nullopt, false})});
}

nlohmann::json ShownPage(const control_view& view) {
  if (view.status) {
    nlohmann::json shown = view.status->page;
    shown["status"] = view.address.status.Str();
    shown["reached"] = true;
    return shown;
  }
  return {{"vm", view.address.vm.Str()},
          {"zone", view.address.zone.Str()},
          {"status", view.address.status.Str()},
          {"reached", false},
          {"problem", view.problem}};
}

std::string StatusLine(const control_view& view) {
  if (!view.status) {
    return fmt::format("{:<16} {:<16} {:<14} not reached: {}\n",
                       view.address.vm.Str(), view.address.zone.Str(), "",
                       view.problem);
  }
  const vm_status& status = *view.status;
  const auto flag = status.page.find("store_reachable");
  const bool store = flag == status.page.end() || *flag != false;
  return fmt::format("{:<16} {:<16} {:<14} {:<8} revision {}{}\n",
                     status.vm.Str(), status.zone.Str(), status.region.Str(),
                     status.state, status.revision,
                     store ? "" : ", platform not reached");
}

exit_code StatusCode(const std::vector<control_view>& views) {
  config_revision highest = 0;
  bool any = false;
  for (const control_view& view : views) {
    if (!view.status) continue;
    any = true;
    highest = std::max(highest, view.status->revision);
  }
  if (!any) return exit_code::kNotReached;
  const bool everywhere =
      MakeSpreadReport(views, highest).IsInForceEverywhere();
  return everywhere ? exit_code::kOk : exit_code::kNotInForce;
}

}  // namespace

exit_code RunDrain(ctl_session& session) {
  const std::optional<std::string> key = DrainKey(session.Words());
  if (!key) return session.Usage("drain upstream|vm|region NAME");
  const status checked =
      CheckDrainTarget(session, session.Words()[1], session.Words()[2]);
  if (!IsOk(checked)) return session.FailRead(ErrorOf(checked));
  return Set(session, *key, nlohmann::json::object());
}

exit_code RunUndrain(ctl_session& session) {
  const std::optional<std::string> key = DrainKey(session.Words());
  if (!key) return session.Usage("undrain upstream|vm|region NAME");
  return Unset(session, *key);
}

exit_code RunGone(ctl_session& session) {
  if (session.Words().size() != 2) return session.Usage("gone VM");
  return Set(session, "config/gone/" + session.Words()[1],
             nlohmann::json::object());
}

exit_code RunUngone(ctl_session& session) {
  if (session.Words().size() != 2) return session.Usage("ungone VM");
  return Unset(session, "config/gone/" + session.Words()[1]);
}

exit_code RunShift(ctl_session& session) {
  const ctl_options& options = session.Options();
  if (options.words.size() != 2 || options.from.empty() || options.to.empty() ||
      options.cap_per_s < 0) {
    return session.Usage(
        "shift SERVICE --from REGION --to REGION --cap N [--fraction F]");
  }
  return Set(session, "config/shift/" + options.words[1],
             {{"from", options.from},
              {"to", options.to},
              {"fraction", options.fraction},
              {"cap_per_s", options.cap_per_s}});
}

exit_code RunUnshift(ctl_session& session) {
  if (session.Words().size() != 2) return session.Usage("unshift SERVICE");
  return Unset(session, "config/shift/" + session.Words()[1]);
}

exit_code RunStatus(ctl_session& session) {
  if (session.Fleet().IsEmpty()) {
    return session.Usage("status --control IP:PORT... or --fleet FILE");
  }
  const std::vector<control_view> views =
      session.Fleet().Read(session.Options().call_limit);
  const exit_code code = StatusCode(views);
  nlohmann::json list = nlohmann::json::array();
  for (const control_view& view : views) {
    list.push_back(ShownPage(view));
    if (!session.Options().json) Print(StatusLine(view));
  }
  if (session.Options().json) {
    PrintJson({{"vms", list}, {"exit_code", static_cast<int>(code)}});
  }
  return code;
}

}  // namespace citron
