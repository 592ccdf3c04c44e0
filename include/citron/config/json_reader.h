#ifndef CITRON_CONFIG_JSON_READER_H_
#define CITRON_CONFIG_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/time.h"

namespace citron {

// Parses with a bound on size and depth, so that hostile bytes give an error
// by value instead of a deep recursion.
result<nlohmann::json> ParseJson(std::string_view text);

// Reads the members of one JSON object into variables and keeps the first
// problem found, with the path of the bad value. Every member must be read:
// Finish reports those that were not, so that a misspelt name is an error.
class json_reader {
 public:
  // `path` is the prefix of paths in errors, "" for the top.
  json_reader(const nlohmann::json& object, std::string path);

  // Each leaves `out` alone where the member is absent, or reports it when
  // `required`.
  void String(const char* name, std::string& out, bool required = false);
  void Number(const char* name, double& out, double low, double high,
              bool required = false);
  void Integer(const char* name, std::int64_t& out, std::int64_t low,
               std::int64_t high, bool required = false);
  void Int(const char* name, int& out, int low, int high,
           bool required = false);
  void Bool(const char* name, bool& out);
  // Milliseconds in the file.
  void Milliseconds(const char* name, duration& out, double low, double high,
                    bool required = false);
  void Endpoint(const char* name, endpoint& out, bool required = false);
  // Strings to strings.
  void StringMap(const char* name, std::map<std::string, std::string>& out);
  void StringList(const char* name, std::vector<std::string>& out);
  // Calls `read` for each element of an array, or each member of an object.
  void Each(const char* name, const std::function<void(json_reader&)>& read,
            bool required = false);
  void EachMember(
      const char* name,
      const std::function<void(const std::string&, json_reader&)>& read);
  void Object(const char* name, const std::function<void(json_reader&)>& read,
              bool required = false);

  // Adds a problem found by the caller about member `name`.
  void Fail(const char* name, const std::string& problem);

  // Reports unread members, then answers whether all was well.
  status Finish();

 private:
  const nlohmann::json* Find(const char* name, bool required);
  std::string PathOf(std::string_view name) const;
  void Report(const std::string& path, const std::string& problem);

  const nlohmann::json& object_;
  std::string path_;
  std::vector<std::string> read_names_;
  std::optional<error> first_problem_;
};

}  // namespace citron

#endif  // CITRON_CONFIG_JSON_READER_H_
