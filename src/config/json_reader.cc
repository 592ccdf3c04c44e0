#include "citron/config/json_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace citron {

namespace {

constexpr std::size_t kMaxJsonBytes = 16u << 20;
constexpr int kMaxJsonDepth = 32;

std::string Shown(const nlohmann::json& value) {
  static constexpr std::size_t kLongestShown = 60;
  std::string text =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kLongestShown) text = text.substr(0, kLongestShown) + "…";
  return text;
}

// The parser itself recurses on nothing, but destroying and dumping a deep
// value does; the depth is bounded before a value is built.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '{' || c == '[') ++depth;
    if (c == '}' || c == ']') --depth;
    if (depth > kMaxJsonDepth) return true;
  }
  return false;
}

}  // namespace

result<nlohmann::json> ParseJson(std::string_view text) {
  if (text.size() > kMaxJsonBytes) {
    return MakeError(error_code::kInvalid, "JSON text is too large");
  }
  if (IsTooDeep(text)) {
    return MakeError(error_code::kInvalid, "JSON text is nested too deeply");
  }
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    return MakeError(error_code::kInvalid, "not valid JSON");
  }
  return parsed;
}

json_reader::json_reader(const nlohmann::json& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (!object_.is_object()) {
    Report(path_.empty() ? "(top)" : path_,
           fmt::format("expected an object, got {}", Shown(object_)));
  }
}

void json_reader::String(const char* name, std::string& out, bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) return;
  if (!value->is_string()) {
    Fail(name, fmt::format("expected a string, got {}", Shown(*value)));
    return;
  }
  out = value->get<std::string>();
}

void json_reader::Number(const char* name, double& out, double low, double high,
                         bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) return;
  if (!value->is_number()) {
    Fail(name, fmt::format("expected a number, got {}", Shown(*value)));
    return;
  }
  const double number = value->get<double>();
  if (!(number >= low && number <= high)) {
    Fail(name, fmt::format("{} is outside {} to {}", number, low, high));
    return;
  }
  out = number;
}

void json_reader::Integer(const char* name, std::int64_t& out, std::int64_t low,
                          std::int64_t high, bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) return;
  if (!value->is_number_integer()) {
    Fail(name, fmt::format("expected a whole number, got {}", Shown(*value)));
    return;
  }
  // Larger ones wrap round to negative numbers, which may be in the range.
  const bool is_huge =
      value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
  const auto number = value->get<std::int64_t>();
  if (is_huge || number < low || number > high) {
    Fail(name, fmt::format("{} is outside {} to {}", Shown(*value), low, high));
    return;
  }
  out = number;
}

void json_reader::Int(const char* name, int& out, int low, int high,
                      bool required) {
  std::int64_t wide = out;
  Integer(name, wide, low, high, required);
  out = static_cast<int>(wide);
}

void json_reader::Bool(const char* name, bool& out) {
  const nlohmann::json* value = Find(name, false);
  if (value == nullptr) return;
  if (!value->is_boolean()) {
    Fail(name, fmt::format("expected true or false, got {}", Shown(*value)));
    return;
  }
  out = value->get<bool>();
}

void json_reader::Milliseconds(const char* name, duration& out, double low,
                               double high, bool required) {
  double ms = ToMilliseconds(out);
  Number(name, ms, low, high, required);
  out = FromMilliseconds(ms);
}

void json_reader::Endpoint(const char* name, endpoint& out, bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) return;
  const std::optional<endpoint> parsed =
      value->is_string() ? ParseEndpoint(value->get<std::string>())
                         : std::nullopt;
  if (!parsed) {
    Fail(name, fmt::format("expected \"address:port\" with an IPv4 address, "
                           "got {}",
                           Shown(*value)));
    return;
  }
  out = *parsed;
}

void json_reader::StringMap(const char* name,
                            std::map<std::string, std::string>& out) {
  const nlohmann::json* value = Find(name, false);
  if (value == nullptr) return;
  if (!value->is_object()) {
    Fail(name, fmt::format("expected an object, got {}", Shown(*value)));
    return;
  }
  for (const auto& [key, text] : value->items()) {
    if (!text.is_string()) {
      Fail(name, fmt::format("member {} is not a string", key));
      return;
    }
    out[key] = text.get<std::string>();
  }
}

void json_reader::StringList(const char* name, std::vector<std::string>& out) {
  const nlohmann::json* value = Find(name, false);
  if (value == nullptr) return;
  if (!value->is_array()) {
    Fail(name, fmt::format("expected a list, got {}", Shown(*value)));
    return;
  }
  out.clear();
  for (const nlohmann::json& text : *value) {
    if (!text.is_string()) {
      Fail(name, fmt::format("expected strings, got {}", Shown(text)));
      return;
    }
    out.push_back(text.get<std::string>());
  }
}

void json_reader::Each(const char* name,
                       const std::function<void(json_reader&)>& read,
                       bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) return;
  if (!value->is_array()) {
    Fail(name, fmt::format("expected a list, got {}", Shown(*value)));
    return;
  }
  std::size_t index = 0;
  for (const nlohmann::json& element : *value) {
    json_reader reader(element, fmt::format("{}[{}]", PathOf(name), index++));
    if (element.is_object()) read(reader);
    const status finished = reader.Finish();
    if (!IsOk(finished) && !first_problem_) first_problem_ = ErrorOf(finished);
  }
}

void json_reader::EachMember(
    const char* name,
    const std::function<void(const std::string&, json_reader&)>& read) {
  const nlohmann::json* value = Find(name, false);
  if (value == nullptr) return;
  if (!value->is_object()) {
    Fail(name, fmt::format("expected an object, got {}", Shown(*value)));
    return;
  }
  for (const auto& [key, member] : value->items()) {
    json_reader reader(member, fmt::format("{}.{}", PathOf(name), key));
    if (member.is_object()) read(key, reader);
    const status finished = reader.Finish();
    if (!IsOk(finished) && !first_problem_) first_problem_ = ErrorOf(finished);
  }
}

void json_reader::Object(const char* name,
                         const std::function<void(json_reader&)>& read,
                         bool required) {
  const nlohmann::json* value = Find(name, required);
  if (value == nullptr) return;
  json_reader reader(*value, PathOf(name));
  if (value->is_object()) read(reader);
  const status finished = reader.Finish();
  if (!IsOk(finished) && !first_problem_) first_problem_ = ErrorOf(finished);
}

void json_reader::Fail(const char* name, const std::string& problem) {
  Report(PathOf(name), problem);
}

status json_reader::Finish() {
  if (object_.is_object()) {
    for (const auto& [name, value] : object_.items()) {
      if (std::find(read_names_.begin(), read_names_.end(), name) ==
          read_names_.end()) {
        Report(PathOf(name),
               fmt::format("unknown field, with value {}", Shown(value)));
      }
    }
  }
  if (first_problem_) return *first_problem_;
  return std::monostate{};
}

const nlohmann::json* json_reader::Find(const char* name, bool required) {
  read_names_.emplace_back(name);
  if (!object_.is_object()) return nullptr;
  const auto found = object_.find(name);
  if (found != object_.end()) return &*found;
  if (required) Fail(name, "missing");
  return nullptr;
}

std::string json_reader::PathOf(std::string_view name) const {
  if (path_.empty()) return std::string(name);
  return fmt::format("{}.{}", path_, name);
}

void json_reader::Report(const std::string& path, const std::string& problem) {
  if (first_problem_) return;
  first_problem_ =
      MakeError(error_code::kInvalid, fmt::format("{}: {}", path, problem));
}

}  // namespace citron
