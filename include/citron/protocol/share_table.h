#ifndef CITRON_PROTOCOL_SHARE_TABLE_H_
#define CITRON_PROTOCOL_SHARE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"

namespace citron {

// Key of the table in the platform's store.
inline constexpr char kShareTableKey[] = "limits/shares";

// Limit on the sum of all parts of a table, in parts per million.
inline constexpr int kWholePpm = 1'000'000;

// Share of every contract that one VM holds.
struct share_entry {
  vm_id vm;
  zone_id zone;
  std::uint64_t incarnation = 0;
  std::uint64_t writes = 0;  // Writes of this VM to its entry.
  int floor_ppm = 0;         // Kept through a store outage.
  int leased_ppm = 0;        // Expires unless renewed.
  // Set by another VM that needs to know whether this VM is alive; a VM clears
  // the mark on its entry. While the mark is set, reading the table renews
  // nothing.
  bool is_suspect = false;

  friend bool operator==(const share_entry&, const share_entry&) = default;
};

// Shares of the fleet's limits that the VMs hold, sorted by VM.
struct share_table {
  std::vector<share_entry> entries;

  friend bool operator==(const share_table&, const share_table&) = default;

  const share_entry* Find(const vm_id& vm) const;
  share_entry* Find(const vm_id& vm);
  // Returns the VM's entry; adds an empty entry if there is none.
  share_entry& FindOrAdd(const vm_id& vm);
  void Remove(const vm_id& vm);
  // Returns the parts per million that no VM holds.
  int FreePpm() const;
};

std::string EncodeShareTable(const share_table& table);

// Parses and validates a table; "" is an empty table. Unknown or missing
// fields, values out of range, VMs that are not sorted or listed twice, and
// parts that add up to more than the whole are errors.
result<share_table> ParseShareTable(std::string_view json);

}  // namespace citron

#endif  // CITRON_PROTOCOL_SHARE_TABLE_H_
