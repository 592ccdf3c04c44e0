#include "citron/platform/answer_parser.h"

#include <fmt/format.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

// Members that are not known are passed over, unlike in settings: a platform
// that adds one must not take the whole fleet's configuration away.
class answer_reader {
 public:
  answer_reader(const nlohmann::json& object, std::string path)
      : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) Fail("", "is not an object");
  }

  std::string String(const char* name, bool required = true) {
    const nlohmann::json* value = Find(name, required);
    if (value == nullptr) return {};
    if (!value->is_string()) {
      Fail(name, "is not a string");
      return {};
    }
    return value->get<std::string>();
  }

  // A name that the platform may write as a string or as a whole number.
  std::string Token(const char* name) {
    const nlohmann::json* value = Find(name, true);
    if (value != nullptr && value->is_number_unsigned()) return value->dump();
    return String(name);
  }

  std::uint64_t Unsigned(const char* name) {
    const nlohmann::json* value = Find(name, true);
    if (value == nullptr) return 0;
    if (!value->is_number_unsigned()) {
      Fail(name, "is not a whole number of 0 or more");
      return 0;
    }
    return value->get<std::uint64_t>();
  }

  bool Bool(const char* name) {
    const nlohmann::json* value = Find(name, false);
    if (value == nullptr) return false;
    if (!value->is_boolean()) {
      Fail(name, "is not true or false");
      return false;
    }
    return value->get<bool>();
  }

  void Each(const char* name, const std::function<void(answer_reader&)>& read) {
    const nlohmann::json* value = Find(name, true);
    if (value == nullptr) return;
    if (!value->is_array()) {
      Fail(name, "is not a list");
      return;
    }
    std::size_t index = 0;
    for (const nlohmann::json& element : *value) {
      answer_reader reader(element, fmt::format("{}[{}].", name, index++));
      if (!reader.problem_) read(reader);
      if (reader.problem_) {
        problem_ = reader.problem_;
        return;
      }
    }
  }

  // Keeps the first problem only.
  void Fail(std::string_view name, std::string_view problem) {
    if (problem_) return;
    problem_ = MakeError(
        error_code::kInvalid,
        fmt::format("platform's answer: {}{} {}", path_, name, problem));
  }

  template <class T>
  result<T> Finish(T value) const {
    if (problem_) return *problem_;
    return value;
  }

 private:
  const nlohmann::json* Find(const char* name, bool required) {
    if (problem_) return nullptr;
    const auto found = object_.find(name);
    if (found != object_.end()) return &*found;
    if (required) Fail(name, "is missing");
    return nullptr;
  }

  const nlohmann::json& object_;
  std::string path_;
  std::optional<error> problem_;
};

// Parses the body and hands its top object to `read`.
template <class T>
result<T> ParseWith(std::string_view body,
                    const std::function<T(answer_reader&)>& read) {
  const result<nlohmann::json> parsed = ParseJson(body);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  answer_reader reader(ValueOf(parsed), "");
  T value = read(reader);
  return reader.Finish(std::move(value));
}

store_item ReadItem(answer_reader& reader) {
  store_item item;
  item.key = reader.String("key");
  item.value = reader.String("value", false);
  item.revision = reader.Unsigned("revision");
  item.write_id = reader.String("write_id", false);
  return item;
}

store_event ReadEvent(answer_reader& reader) {
  store_event event;
  event.item = ReadItem(reader);
  event.removed = reader.Bool("removed");
  return event;
}

vm_state ReadVmState(answer_reader& reader) {
  const std::string state = reader.String("state");
  if (state == "leaving") return vm_state::kLeaving;
  if (state != "live") reader.Fail("state", "is neither live nor leaving");
  return vm_state::kLive;
}

vm_record ReadVm(answer_reader& reader) {
  vm_record record;
  record.vm = vm_id(reader.String("vm"));
  record.zone = zone_id(reader.String("zone"));
  record.region = region_id(reader.String("region"));
  const std::optional<endpoint> control =
      ParseEndpoint(reader.String("control"));
  if (control) {
    record.control = *control;
  } else {
    reader.Fail("control", "is not an IPv4 address with a port");
  }
  record.state = ReadVmState(reader);
  return record;
}

}  // namespace

result<store_item> ParseStoreItem(std::string_view body) {
  return ParseWith<store_item>(body, ReadItem);
}

result<store_revision> ParseRevision(std::string_view body) {
  return ParseWith<store_revision>(
      body, [](answer_reader& reader) { return reader.Unsigned("revision"); });
}

result<write_conflict> ParseConflict(std::string_view body) {
  return ParseWith<write_conflict>(body, [](answer_reader& reader) {
    write_conflict conflict;
    conflict.revision = reader.Unsigned("revision");
    conflict.value = reader.String("value", false);
    conflict.write_id = reader.String("write_id", false);
    return conflict;
  });
}

result<store_range> ParseRange(std::string_view body) {
  return ParseWith<store_range>(body, [](answer_reader& reader) {
    store_range range;
    range.revision = reader.Unsigned("revision");
    reader.Each("items", [&](answer_reader& item) {
      range.items.push_back(ReadItem(item));
    });
    return range;
  });
}

result<store_events> ParseEvents(std::string_view body) {
  return ParseWith<store_events>(body, [](answer_reader& reader) {
    store_events events;
    events.revision = reader.Unsigned("revision");
    events.compacted = reader.Bool("compacted");
    reader.Each("events", [&](answer_reader& item) {
      events.events.push_back(ReadEvent(item));
    });
    return events;
  });
}

result<lease_id> ParseLease(std::string_view body) {
  return ParseWith<lease_id>(body, [](answer_reader& reader) {
    const std::string lease = reader.Token("lease");
    if (lease.empty()) reader.Fail("lease", "is empty");
    return lease_id(lease);
  });
}

result<std::vector<vm_record>> ParseVms(std::string_view body) {
  return ParseWith<std::vector<vm_record>>(body, [](answer_reader& reader) {
    std::vector<vm_record> vms;
    reader.Each("vms",
                [&](answer_reader& item) { vms.push_back(ReadVm(item)); });
    return vms;
  });
}

}  // namespace citron
