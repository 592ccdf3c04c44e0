#include "citron/protocol/ownership_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr int kMaxDrainingCount = 1000000;

std::uint64_t ReadNumber(json_reader& reader, const char* name) {
  std::int64_t value = 0;
  reader.Integer(name, value, 0, kMaxNumber, true);
  return static_cast<std::uint64_t>(value);
}

ownership_member ReadMember(json_reader& reader) {
  ownership_member member;
  member.incarnation = ReadNumber(reader, "incarnation");
  reader.Endpoint("address", member.address, true);
  member.counter = ReadNumber(reader, "counter");
  member.joined = ReadNumber(reader, "joined");
  member.seen = ReadNumber(reader, "seen");
  reader.Bool("leaving", member.leaving);
  return member;
}

ownership_assignment ReadAssignment(json_reader& reader) {
  ownership_assignment assignment;
  std::string owner;
  std::string draining;
  reader.String("owner", owner, true);
  reader.String("draining_at", draining);
  reader.Int("draining_count", assignment.draining_count, 0, kMaxDrainingCount);
  assignment.owner = vm_id(owner);
  assignment.draining_at = vm_id(draining);
  return assignment;
}

// Checks the rules that span several fields. A table that breaks them was not
// written by a member, and acting on it could give an upstream two owners.
status CheckTable(const ownership_table& table) {
  const auto invalid = [](std::string text) {
    return MakeError(error_code::kInvalid, std::move(text));
  };
  for (const auto& [vm, row] : table.members) {
    if (vm.IsEmpty()) return invalid("members: empty VM name");
    const bool in_order = row.joined <= row.seen && row.seen <= table.epoch;
    if (!in_order) {
      return invalid(fmt::format(
          "members.{}: joined, seen and epoch out of order", vm.Str()));
    }
  }
  for (const auto& [upstream, entry] : table.assignments) {
    const bool are_members = table.members.contains(entry.owner) &&
                             (entry.draining_at.IsEmpty() ||
                              table.members.contains(entry.draining_at));
    if (upstream.IsEmpty() || !are_members) {
      return invalid(fmt::format(
          "assignments.{}: empty name, or owner or draining_at is not a member",
          upstream.Str()));
    }
  }
  return std::monostate{};
}

}  // namespace

bool ownership_table::Acknowledged(const vm_id& by, const vm_id& other) const {
  const auto by_row = members.find(by);
  const auto other_row = members.find(other);
  if (by_row == members.end() || other_row == members.end()) return false;
  return by_row->second.seen >= other_row->second.joined;
}

bool ownership_table::IsSole(const vm_id& vm) const {
  return members.contains(vm) &&
         std::none_of(members.begin(), members.end(), [&](const auto& row) {
           return row.first != vm && Acknowledged(vm, row.first);
         });
}

std::string WriteOwnershipTable(const ownership_table& table) {
  nlohmann::json json;
  json["epoch"] = table.epoch;
  json["members"] = nlohmann::json::object();
  json["assignments"] = nlohmann::json::object();
  for (const auto& [vm, row] : table.members) {
    nlohmann::json& member = json["members"][vm.Str()];
    member["incarnation"] = row.incarnation;
    member["address"] = row.address.Str();
    member["counter"] = row.counter;
    member["joined"] = row.joined;
    member["seen"] = row.seen;
    if (row.leaving) member["leaving"] = true;
  }
  for (const auto& [upstream, entry] : table.assignments) {
    nlohmann::json& assignment = json["assignments"][upstream.Str()];
    assignment["owner"] = entry.owner.Str();
    if (entry.draining_at.IsEmpty()) continue;
    assignment["draining_at"] = entry.draining_at.Str();
    assignment["draining_count"] = entry.draining_count;
  }
  return json.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

result<ownership_table> ParseOwnershipTable(std::string_view text) {
  const result<nlohmann::json> parsed = ParseJson(text);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  ownership_table table;
  json_reader reader(ValueOf(parsed), "");
  table.epoch = ReadNumber(reader, "epoch");
  reader.EachMember("members", [&](const std::string& vm, json_reader& item) {
    table.members[vm_id(vm)] = ReadMember(item);
  });
  reader.EachMember(
      "assignments", [&](const std::string& upstream, json_reader& item) {
        table.assignments[upstream_id(upstream)] = ReadAssignment(item);
      });
  const status finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  const status checked = CheckTable(table);
  if (!IsOk(checked)) return ErrorOf(checked);
  return table;
}

}  // namespace citron
