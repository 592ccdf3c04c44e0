#include "standins/upstream/ledger.h"

#include <utility>

namespace citron {

namespace {

constexpr std::size_t kMaxEntries = 1000000;

// Monotonic, so comparable between the processes of one machine.
double Milliseconds(monotonic_time time) {
  return ToMilliseconds(time.time_since_epoch());
}

std::string HeaderOf(const http_request& request, std::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

}  // namespace

std::string_view WorkOutcomeName(work_outcome outcome) {
  switch (outcome) {
    case work_outcome::kRunning:
      return "running";
    case work_outcome::kAnswered:
      return "answered";
    case work_outcome::kCancelled:
      return "cancelled";
    case work_outcome::kHungUp:
      return "hung_up";
    case work_outcome::kCrashed:
      return "crashed";
    case work_outcome::kDeadline:
      return "deadline";
    case work_outcome::kError:
      return "error";
    case work_outcome::kShed:
      return "shed";
    case work_outcome::kLeaving:
      return "leaving";
    case work_outcome::kExpired:
      return "expired";
    case work_outcome::kOverConnections:
      return "over_connections";
  }
  return "unknown";
}

nlohmann::json ToJson(const ledger_entry& entry, const std::string& upstream) {
  nlohmann::json headers = nlohmann::json::object();
  for (const http_header& header : entry.request.headers) {
    nlohmann::json& value = headers[header.name];
    const bool is_repeated = value.is_string();
    value = is_repeated ? value.get<std::string>() + ", " + header.value
                        : header.value;
  }
  return {{"n", entry.number},
          {"upstream", upstream},
          {"request_id", HeaderOf(entry.request, "Citron-Request-Id")},
          {"workspace", HeaderOf(entry.request, "Citron-Workspace")},
          {"method", entry.request.method},
          {"target", entry.request.target},
          {"body_digest", entry.body_digest},
          {"started_ms", Milliseconds(entry.started)},
          {"ended_ms", Milliseconds(entry.ended)},
          {"ran", entry.ran},
          {"outcome", WorkOutcomeName(entry.outcome)},
          {"headers", headers}};
}

void ledger::Add(ledger_entry entry) {
  entry.number = ++last_number_;
  entries_.push_back(std::move(entry));
  if (entries_.size() > kMaxEntries) entries_.pop_front();
}

nlohmann::json ledger::EntriesAfter(std::uint64_t number, std::size_t limit,
                                    const std::string& upstream) const {
  nlohmann::json list = nlohmann::json::array();
  const std::uint64_t first = last_number_ - entries_.size() + 1;
  std::size_t i = number < first ? 0 : number - first + 1;
  for (; i < entries_.size() && list.size() < limit; ++i) {
    list.push_back(ToJson(entries_[i], upstream));
  }
  return list;
}

}  // namespace citron
