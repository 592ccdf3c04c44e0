#include <fmt/format.h>

#include <algorithm>

#include "apps/citronctl/commands.h"
#include "citron/config/fleet_config.h"
#include "citron/config/json_reader.h"
#include "citron/ctl/declaration.h"

namespace citron {

namespace {

std::vector<std::string> Paths(const ctl_session& session) {
  return {session.Words().begin() + 1, session.Words().end()};
}

// Topology before what names its zones, and contracts before shifts.
void SortByKind(std::vector<declaration>& declarations) {
  std::stable_sort(declarations.begin(), declarations.end(),
                   [](const declaration& a, const declaration& b) {
                     return a.kind < b.kind;
                   });
}

// Key of "show KIND NAME" and prefix of "list KIND"; these also take kinds
// that are not kept as files.
std::optional<std::string> PrefixOf(const std::string& kind) {
  if (const auto known = ParseDeclarationKind(kind)) return KeyPrefix(*known);
  if (kind == "key" || kind == "drain" || kind == "gone") {
    return fmt::format("config/{}/", kind);
  }
  return std::nullopt;
}

std::optional<std::string> KeyOfWords(const ctl_session& session) {
  const std::vector<std::string>& words = session.Words();
  if (words.size() < 2) return std::nullopt;
  const std::optional<std::string> prefix = PrefixOf(words[1]);
  if (!prefix) return std::nullopt;
  const bool has_name = words.size() == 3;
  const bool needs_name = words[1] != "topology";
  if (words.size() > 3 || has_name != needs_name) return std::nullopt;
  return *prefix + (has_name ? words[2] : "");
}

nlohmann::json ItemJson(const store_item& item) {
  const result<nlohmann::json> spec = ParseJson(item.value);
  return {{"key", item.key},
          {"revision", item.revision},
          {"write_id", item.write_id},
          {"spec", IsOk(spec) ? ValueOf(spec) : nlohmann::json(item.value)}};
}

enum class difference { kNew, kChanged, kSame, kOnlyInStore };

struct object_difference {
  difference kind = difference::kSame;
  std::string key;
  store_revision revision = 0;
  nlohmann::json changes = nlohmann::json::array();  // JSON patch.
};

const char* DifferenceName(difference kind) {
  switch (kind) {
    case difference::kNew:
      return "new";
    case difference::kChanged:
      return "changed";
    case difference::kSame:
      return "same";
    case difference::kOnlyInStore:
      return "only_in_store";
  }
  return "";
}

object_difference Compare(const declaration& wanted,
                          const store_item* present) {
  object_difference found;
  found.key = wanted.Key();
  if (present == nullptr) {
    found.kind = difference::kNew;
    return found;
  }
  found.revision = present->revision;
  const result<nlohmann::json> value = ParseJson(present->value);
  const nlohmann::json old =
      IsOk(value) ? ValueOf(value) : nlohmann::json(present->value);
  found.changes = nlohmann::json::diff(old, wanted.spec);
  found.kind = found.changes.empty() ? difference::kSame : difference::kChanged;
  return found;
}

bool IsDeclarable(const std::string& key) {
  for (const declaration_kind kind :
       {declaration_kind::kTopology, declaration_kind::kUpstream,
        declaration_kind::kContract, declaration_kind::kShift}) {
    if (key.starts_with(KeyPrefix(kind))) return true;
  }
  return false;
}

std::vector<object_difference> CompareAll(
    const std::vector<declaration>& wanted,
    const std::vector<store_item>& items) {
  std::map<std::string, const store_item*> present;
  for (const store_item& item : items) present[item.key] = &item;
  std::vector<object_difference> found;
  for (const declaration& one : wanted) {
    const auto item = present.find(one.Key());
    found.push_back(
        Compare(one, item == present.end() ? nullptr : item->second));
    present.erase(one.Key());
  }
  for (const auto& [key, item] : present) {
    if (!IsDeclarable(key)) continue;
    found.push_back({difference::kOnlyInStore, key, item->revision, {}});
  }
  return found;
}

void PrintDifference(const object_difference& found) {
  if (found.kind == difference::kSame) return;
  Print(fmt::format("{}: {}\n", found.key, DifferenceName(found.kind)));
  for (const nlohmann::json& change : found.changes) {
    Print(fmt::format("  {} {} {}\n", change["op"].get<std::string>(),
                      change["path"].get<std::string>(),
                      change.contains("value") ? change["value"].dump() : ""));
  }
}

}  // namespace

exit_code RunValidate(ctl_session& session) {
  if (session.Words().size() < 2) return session.Usage("validate PATH...");
  const auto loaded = LoadDeclarations(Paths(session));
  if (!IsOk(loaded)) return session.FailRead(ErrorOf(loaded));
  std::map<std::string, std::string> objects;
  for (const declaration& one : ValueOf(loaded)) {
    objects[one.Key()] = one.spec.dump();
  }
  // Files without the topology can only be checked one by one.
  std::vector<std::string> problems;
  if (objects.contains(KeyPrefix(declaration_kind::kTopology))) {
    problems = FindConfigProblems(objects);
  }
  if (session.Options().json) {
    PrintJson({{"objects", objects.size()}, {"problems", problems}});
  }
  for (const std::string& problem : problems) {
    session.Fail(exit_code::kInvalid, problem);
  }
  if (!problems.empty()) return exit_code::kInvalid;
  if (!session.Options().json) {
    Print(fmt::format("{} objects are valid\n", objects.size()));
  }
  return exit_code::kOk;
}

exit_code RunDiff(ctl_session& session) {
  if (session.Words().size() < 2) return session.Usage("diff PATH...");
  const auto loaded = LoadDeclarations(Paths(session));
  if (!IsOk(loaded)) return session.FailRead(ErrorOf(loaded));
  const result<store_range> range = session.Range(kConfigPrefix);
  if (!IsOk(range)) return session.FailRead(ErrorOf(range));
  nlohmann::json list = nlohmann::json::array();
  for (const object_difference& found :
       CompareAll(ValueOf(loaded), ValueOf(range).items)) {
    if (!session.Options().json) PrintDifference(found);
    list.push_back({{"key", found.key},
                    {"difference", DifferenceName(found.kind)},
                    {"revision", found.revision},
                    {"changes", found.changes}});
  }
  if (session.Options().json) PrintJson({{"objects", list}});
  return exit_code::kOk;
}

exit_code RunApply(ctl_session& session) {
  if (session.Words().size() < 2) return session.Usage("apply PATH...");
  auto loaded = LoadDeclarations(Paths(session));
  if (!IsOk(loaded)) return session.FailRead(ErrorOf(loaded));
  std::vector<declaration>& declarations = ValueOf(loaded);
  if (session.Options().expected && declarations.size() != 1) {
    return session.Usage("apply --expect R FILE, with one object in it");
  }
  std::map<std::string, std::optional<std::string>> wanted;
  for (const declaration& one : declarations) {
    wanted[one.Key()] = one.spec.dump();
  }
  const status checked = session.CheckTogether(wanted);
  if (!IsOk(checked)) return session.FailRead(ErrorOf(checked));
  SortByKind(declarations);
  std::vector<change_report> changes;
  for (const declaration& one : declarations) {
    changes.push_back(
        session.Change({one.Key(), one.spec.dump(), std::nullopt, false}));
    // What comes later may build on this one.
    if (ExitCodeOf(changes.back().outcome) != exit_code::kOk) break;
  }
  const std::size_t left = declarations.size() - changes.size();
  if (left > 0) {
    session.Fail(exit_code::kOk,
                 fmt::format("stopped; {} objects were not tried", left));
  }
  return session.Finish(changes, {{"not_tried", left}});
}

exit_code RunShow(ctl_session& session) {
  const std::optional<std::string> key = KeyOfWords(session);
  if (!key) return session.Usage("show KIND NAME, or show topology");
  const result<store_range> range = session.Range(*key);
  if (!IsOk(range)) return session.FailRead(ErrorOf(range));
  for (const store_item& item : ValueOf(range).items) {
    if (item.key != *key) continue;
    const nlohmann::json shown = ItemJson(item);
    if (session.Options().json) {
      PrintJson(shown);
    } else {
      Print(fmt::format("{}, revision {}\n{}\n", item.key, item.revision,
                        Pretty(shown["spec"])));
    }
    return exit_code::kOk;
  }
  return session.Fail(exit_code::kInvalid, *key + " does not exist");
}

exit_code RunList(ctl_session& session) {
  const std::vector<std::string>& words = session.Words();
  const auto prefix =
      words.size() == 2 ? PrefixOf(words[1]) : std::optional<std::string>();
  if (!prefix) return session.Usage("list KIND");
  const result<store_range> range = session.Range(*prefix);
  if (!IsOk(range)) return session.FailRead(ErrorOf(range));
  nlohmann::json list = nlohmann::json::array();
  for (const store_item& item : ValueOf(range).items) {
    list.push_back(ItemJson(item));
    if (!session.Options().json) {
      const std::string name = item.key.substr(prefix->size());
      Print(fmt::format("{}\t{}\n", name.empty() ? words[1] : name,
                        item.revision));
    }
  }
  if (session.Options().json) PrintJson({{"items", list}});
  return exit_code::kOk;
}

exit_code RunDelete(ctl_session& session) {
  const std::optional<std::string> key = KeyOfWords(session);
  if (!key || !IsDeclarable(*key)) {
    return session.Usage("delete topology|upstream|contract|shift [NAME]");
  }
  const status checked = session.CheckTogether({{*key, std::nullopt}});
  if (!IsOk(checked)) return session.FailRead(ErrorOf(checked));
  return session.Finish(
      {session.Change({*key, std::nullopt, std::nullopt, false})});
}

}  // namespace citron
