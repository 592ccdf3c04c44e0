#ifndef CITRON_CTL_DECLARATION_H_
#define CITRON_CTL_DECLARATION_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/result.h"

namespace citron {

// Kinds of objects that operators keep as files.
enum class declaration_kind { kTopology, kUpstream, kContract, kShift };

std::string_view DeclarationKindName(declaration_kind kind);
std::optional<declaration_kind> ParseDeclarationKind(std::string_view name);

// One object of a file: {"kind": "contract", "name": "lampa", "spec": {...}}.
// The topology is one object without a name.
struct declaration {
  declaration_kind kind = declaration_kind::kContract;
  std::string name;
  nlohmann::json spec;
  std::string file;

  // The key in the store.
  std::string Key() const;
};

// Prefix of the keys of a kind, "config/contract/".
std::string KeyPrefix(declaration_kind kind);

// Reads one object or a list of them, and checks each by itself. `file` is
// named in errors.
result<std::vector<declaration>> ParseDeclarations(std::string_view text,
                                                   const std::string& file);

// Reads files, and every *.json of directories, in the order of names. An
// object that is declared twice is an error.
result<std::vector<declaration>> LoadDeclarations(
    const std::vector<std::string>& paths);

// Whole file as text.
result<std::string> ReadTextFile(const std::string& file);

// Problems between objects: a zone, service or region that is named but not
// declared, or two upstreams at one address. `objects` maps keys to JSON.
std::vector<std::string> FindConfigProblems(
    const std::map<std::string, std::string>& objects);

}  // namespace citron

#endif  // CITRON_CTL_DECLARATION_H_
