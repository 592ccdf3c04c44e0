#ifndef TOOLS_CITRON_LOAD_REPORT_H_
#define TOOLS_CITRON_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "citron/base/time.h"
#include "citron/loadgen/headroom_series.h"
#include "citron/loadgen/load_ledger.h"

namespace citron {

struct load_result {
  const load_ledger& ledger;
  std::uint64_t skipped = 0;
  duration length{};
  std::map<std::string, headroom_summary> headroom;  // By service.
};

std::string LoadTable(const load_result& result);
nlohmann::json LoadJson(const load_result& result);

}  // namespace citron

#endif  // TOOLS_CITRON_LOAD_REPORT_H_
