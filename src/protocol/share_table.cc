#include "citron/protocol/share_table.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "citron/config/json_reader.h"

namespace citron {

namespace {

// An entry takes about 100 bytes; a value may have one megabyte.
constexpr std::size_t kMaxEntries = 8192;
constexpr std::int64_t kMaxCount = std::numeric_limits<std::int64_t>::max();

bool ComesBefore(const share_entry& entry, const vm_id& vm) {
  return entry.vm < vm;
}

void ReadEntry(json_reader& reader, share_table& table) {
  std::string vm;
  std::string zone;
  std::int64_t incarnation = 0;
  std::int64_t writes = 0;
  share_entry entry;
  reader.String("vm", vm, true);
  reader.String("zone", zone, true);
  reader.Integer("incarnation", incarnation, 0, kMaxCount, true);
  reader.Integer("writes", writes, 0, kMaxCount, true);
  reader.Int("floor", entry.floor_ppm, 0, kWholePpm, true);
  reader.Int("leased", entry.leased_ppm, 0, kWholePpm, true);
  reader.Bool("suspect", entry.is_suspect);
  if (vm.empty()) reader.Fail("vm", "empty");
  entry.vm = vm_id(vm);
  entry.zone = zone_id(zone);
  entry.incarnation = static_cast<std::uint64_t>(incarnation);
  entry.writes = static_cast<std::uint64_t>(writes);
  if (!table.entries.empty() && !(table.entries.back().vm < entry.vm)) {
    reader.Fail("vm", "entries are not sorted by VM, or a VM is listed twice");
  }
  table.entries.push_back(std::move(entry));
}

// Sums in 64 bits, since each part of a hostile table may be the whole.
std::int64_t HeldPpm(const share_table& table) {
  std::int64_t held = 0;
  for (const share_entry& entry : table.entries) {
    held += entry.floor_ppm;
    held += entry.leased_ppm;
  }
  return held;
}

}  // namespace

const share_entry* share_table::Find(const vm_id& vm) const {
  const auto at =
      std::lower_bound(entries.begin(), entries.end(), vm, ComesBefore);
  return at != entries.end() && at->vm == vm ? &*at : nullptr;
}

share_entry* share_table::Find(const vm_id& vm) {
  return const_cast<share_entry*>(std::as_const(*this).Find(vm));
}

share_entry& share_table::FindOrAdd(const vm_id& vm) {
  const auto at =
      std::lower_bound(entries.begin(), entries.end(), vm, ComesBefore);
  if (at != entries.end() && at->vm == vm) return *at;
  return *entries.insert(at, share_entry{.vm = vm});
}

void share_table::Remove(const vm_id& vm) {
  std::erase_if(entries, [&](const share_entry& e) { return e.vm == vm; });
}

int share_table::FreePpm() const {
  return static_cast<int>(kWholePpm - HeldPpm(*this));
}

std::string EncodeShareTable(const share_table& table) {
  nlohmann::json vms = nlohmann::json::array();
  for (const share_entry& entry : table.entries) {
    nlohmann::json vm{{"vm", entry.vm.Str()},
                      {"zone", entry.zone.Str()},
                      {"incarnation", entry.incarnation},
                      {"writes", entry.writes},
                      {"floor", entry.floor_ppm},
                      {"leased", entry.leased_ppm}};
    if (entry.is_suspect) vm["suspect"] = true;
    vms.push_back(std::move(vm));
  }
  return nlohmann::json{{"vms", std::move(vms)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<share_table> ParseShareTable(std::string_view json) {
  share_table table;
  if (json.empty()) return table;
  const result<nlohmann::json> parsed = ParseJson(json);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  json_reader reader(ValueOf(parsed), "");
  reader.Each(
      "vms", [&](json_reader& entry) { ReadEntry(entry, table); }, true);
  const status finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  if (table.entries.size() > kMaxEntries) {
    return MakeError(error_code::kInvalid, "vms: too many entries");
  }
  if (HeldPpm(table) > kWholePpm) {
    return MakeError(error_code::kInvalid,
                     "vms: shares add up to more than the whole");
  }
  return table;
}

}  // namespace citron
