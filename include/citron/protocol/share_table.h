#ifndef CITRON_PROTOCOL_SHARE_TABLE_H_
#define CITRON_PROTOCOL_SHARE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citron/base/result.h"
#include "citron/base/strong_id.h"

namespace citron {

// Where the table stands in the platform's store.
inline constexpr char kShareTableKey[] = "limits/shares";

// All parts of a table add up to this at most: parts per million.
inline constexpr int kWholePpm = 1'000'000;

// The part of every contract that one VM holds.
struct share_entry {
  vm_id vm;
  zone_id zone;
  std::uint64_t incarnation = 0;
  std::uint64_t writes = 0;  // By this VM, to its own entry.
  int floor_ppm = 0;         // Kept through an outage of the store.
  int leased_ppm = 0;        // Lapses unless it is renewed.
  // Set by another VM that wants to know whether this one lives; a VM clears
  // its own. While it is set, reading the table renews nothing.
  bool is_suspect = false;

  friend bool operator==(const share_entry&, const share_entry&) = default;
};

// Who holds which part of the fleet's limits; sorted by VM.
struct share_table {
  std::vector<share_entry> entries;

  friend bool operator==(const share_table&, const share_table&) = default;

  const share_entry* Find(const vm_id& vm) const;
  share_entry* Find(const vm_id& vm);
  // Adds an empty entry when the VM has none.
  share_entry& FindOrAdd(const vm_id& vm);
  void Remove(const vm_id& vm);
  // Parts per million that no VM holds.
  int FreePpm() const;
};

std::string EncodeShareTable(const share_table& table);

// Accepts only what EncodeShareTable could have written; "" is an empty table.
// A table whose parts add up to more than the whole is an error.
result<share_table> ParseShareTable(std::string_view json);

}  // namespace citron

#endif  // CITRON_PROTOCOL_SHARE_TABLE_H_
