#include "citron/ctl/declaration.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include "citron/config/fleet_config.h"
#include "citron/config/json_reader.h"

namespace citron {

namespace {

struct kind_name {
  declaration_kind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    kind_name{declaration_kind::kTopology, "topology"},
    kind_name{declaration_kind::kUpstream, "upstream"},
    kind_name{declaration_kind::kContract, "contract"},
    kind_name{declaration_kind::kShift, "shift"},
};

error InvalidIn(const std::string& file, const std::string& problem) {
  return MakeError(error_code::kInvalid, fmt::format("{}: {}", file, problem));
}

// A name becomes part of a key; "a/b" would be another object's key.
bool IsName(const std::string& name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= 200 &&
         std::all_of(name.begin(), name.end(), allowed);
}

result<declaration> ReadDeclaration(const nlohmann::json& object,
                                    const std::string& file) {
  std::string kind_text;
  declaration read;
  read.file = file;
  json_reader reader(object, "");
  reader.String("kind", kind_text, true);
  reader.String("name", read.name);
  if (!object.is_object()) return InvalidIn(file, "expected an object");
  const std::optional<declaration_kind> kind = ParseDeclarationKind(kind_text);
  if (!kind) return InvalidIn(file, fmt::format("kind: \"{}\"", kind_text));
  read.kind = *kind;
  for (const auto& [name, value] : object.items()) {
    if (name != "kind" && name != "name" && name != "spec") {
      return InvalidIn(file, fmt::format("{}: unknown field", name));
    }
  }
  if (!object.contains("spec")) return InvalidIn(file, "spec: missing");
  read.spec = object["spec"];
  if (read.kind == declaration_kind::kTopology) {
    if (!read.name.empty()) return InvalidIn(file, "a topology has no name");
  } else if (!IsName(read.name)) {
    return InvalidIn(file, fmt::format("name: \"{}\" is not 1 to 200 letters, "
                                       "digits, '-', '_' or '.'",
                                       read.name));
  }
  const status checked = CheckConfigObject(read.Key(), read.spec.dump());
  if (!IsOk(checked)) {
    return InvalidIn(file, fmt::format("{} {}: {}", kind_text, read.name,
                                       ErrorOf(checked).message));
  }
  return read;
}

std::vector<std::string> FilesOf(const std::string& path) {
  namespace fs = std::filesystem;
  std::error_code problem;
  if (!fs::is_directory(path, problem)) return {path};
  std::vector<std::string> files;
  for (const fs::directory_entry& entry :
       fs::directory_iterator(path, problem)) {
    if (entry.path().extension() == ".json") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

void CheckUpstreams(const fleet_config& config,
                    std::vector<std::string>& problems) {
  std::map<endpoint, std::string> users;
  for (const auto& [id, upstream] : config.upstreams) {
    if (!config.zones.contains(upstream.zone)) {
      problems.push_back(fmt::format("upstream {}: zone {} is not declared",
                                     id.Str(), upstream.zone.Str()));
    }
    if (!config.services.contains(upstream.service)) {
      problems.push_back(fmt::format("upstream {}: service {} is not declared",
                                     id.Str(), upstream.service.Str()));
    }
    const auto [user, added] = users.emplace(upstream.address, id.Str());
    if (!added) {
      problems.push_back(fmt::format("upstream {}: address {} is also {}'s",
                                     id.Str(), upstream.address.Str(),
                                     user->second));
    }
  }
}

void CheckContracts(const fleet_config& config,
                    std::vector<std::string>& problems) {
  for (const auto& [id, contract] : config.contracts) {
    for (const patience_rule& rule : contract.patience) {
      if (!config.services.contains(rule.service)) {
        problems.push_back(
            fmt::format("contract {}: service {} is not declared", id.Str(),
                        rule.service.Str()));
      }
    }
  }
}

void CheckShifts(const fleet_config& config,
                 std::vector<std::string>& problems) {
  std::set<region_id> regions;
  for (const auto& [id, zone] : config.zones) regions.insert(zone.region);
  for (const auto& [id, shift] : config.shifts) {
    if (!config.services.contains(id)) {
      problems.push_back(
          fmt::format("shift {}: the service is not declared", id.Str()));
    }
    for (const region_id& region : {shift.from, shift.to}) {
      if (!regions.contains(region)) {
        problems.push_back(fmt::format("shift {}: region {} has no zone",
                                       id.Str(), region.Str()));
      }
    }
  }
}

}  // namespace

std::string_view DeclarationKindName(declaration_kind kind) {
  for (const kind_name& known : kKindNames) {
    if (known.kind == kind) return known.name;
  }
  return "";
}

std::optional<declaration_kind> ParseDeclarationKind(std::string_view name) {
  for (const kind_name& known : kKindNames) {
    if (known.name == name) return known.kind;
  }
  return std::nullopt;
}

std::string KeyPrefix(declaration_kind kind) {
  if (kind == declaration_kind::kTopology) return "config/topology";
  return fmt::format("config/{}/", DeclarationKindName(kind));
}

std::string declaration::Key() const { return KeyPrefix(kind) + name; }

result<std::vector<declaration>> ParseDeclarations(std::string_view text,
                                                   const std::string& file) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (!IsOk(parsed)) return InvalidIn(file, ErrorOf(parsed).message);
  const nlohmann::json& top = ValueOf(parsed);
  const nlohmann::json list =
      top.is_array() ? top : nlohmann::json::array({top});
  std::vector<declaration> declarations;
  for (const nlohmann::json& object : list) {
    result<declaration> read = ReadDeclaration(object, file);
    if (!IsOk(read)) return ErrorOf(read);
    declarations.push_back(std::move(ValueOf(read)));
  }
  return declarations;
}

result<std::string> ReadTextFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) {
    return MakeError(error_code::kInvalid, file + ": can't be read");
  }
  return text;
}

result<std::vector<declaration>> LoadDeclarations(
    const std::vector<std::string>& paths) {
  std::vector<declaration> all;
  std::map<std::string, std::string> seen;
  for (const std::string& path : paths) {
    for (const std::string& file : FilesOf(path)) {
      const result<std::string> text = ReadTextFile(file);
      if (!IsOk(text)) return ErrorOf(text);
      result<std::vector<declaration>> read =
          ParseDeclarations(ValueOf(text), file);
      if (!IsOk(read)) return ErrorOf(read);
      for (declaration& one : ValueOf(read)) {
        const auto [first, added] = seen.emplace(one.Key(), file);
        if (!added) {
          return InvalidIn(file, fmt::format("{} is also declared in {}",
                                             one.Key(), first->second));
        }
        all.push_back(std::move(one));
      }
    }
  }
  return all;
}

std::vector<std::string> FindConfigProblems(
    const std::map<std::string, std::string>& objects) {
  std::vector<std::string> problems;
  const fleet_config config = BuildFleetConfig(objects, 0, &problems);
  CheckUpstreams(config, problems);
  CheckContracts(config, problems);
  CheckShifts(config, problems);
  return problems;
}

}  // namespace citron
