#include "integration/caller_ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "standins/upstream/answer_body.h"

namespace citron {

namespace {

constexpr char kKeyHeader[] = "Bearer key-of-depot";
constexpr duration kCallerLimit = std::chrono::seconds(50);

// What the upstream stand-in was asked for in the query.
std::size_t AnswerSize(const std::string& target) {
  constexpr std::size_t kDefault = 64;
  constexpr std::string_view kField = "bytes=";
  const std::size_t at = target.find(kField);
  if (at == std::string::npos) return kDefault;
  return std::stoul(target.substr(at + kField.size()));
}

}  // namespace

std::string caller_record::Header(const std::string& name) const {
  return std::string(
      FindHeader(call->response.head.headers, name).value_or("none"));
}

bool caller_record::IsWhole() const {
  const std::string& answer = call->response.body;
  if (answer.size() != AnswerSize(upstream_target)) return false;
  const std::uint64_t digest = RequestDigest(method, upstream_target, body);
  return IsAnswer(digest, 0, answer);
}

const caller_record& caller_ledger::Begin(const endpoint& entry,
                                          const std::string& method,
                                          const std::string& target,
                                          std::vector<http_header> headers,
                                          const std::string& body) {
  caller_record record;
  record.method = method;
  record.upstream_target = fmt::format("{}&n={}", target, records_.size());
  record.body = body;
  headers.push_back({"Authorization", kKeyHeader});
  record.call = caller_.Start(
      entry, {method, "/desk" + record.upstream_target, headers, body},
      kCallerLimit);
  records_.push_back(std::move(record));
  return records_.back();
}

const caller_record& caller_ledger::Call(const endpoint& entry,
                                         const std::string& method,
                                         const std::string& target,
                                         std::vector<http_header> headers,
                                         const std::string& body) {
  const caller_record& record =
      Begin(entry, method, target, std::move(headers), body);
  const std::shared_ptr<caller_call> call = record.call;
  caller_.WaitFor([&] { return call->IsDone(); });
  return record;
}

bool caller_ledger::WaitForAll() {
  return caller_.WaitFor([this] { return Open() == 0; });
}

std::size_t caller_ledger::Open() const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [](const auto& r) { return !r.call->IsDone(); }));
}

std::size_t caller_ledger::Answered(int status) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [status](const auto& r) {
        return r.call->answered && r.Status() == status;
      }));
}

std::vector<std::string> caller_ledger::FalselyNotRun(
    const std::vector<nlohmann::json>& upstream_ledger) const {
  std::set<std::string> ran;
  for (const nlohmann::json& entry : upstream_ledger) {
    if (entry.at("ran").get<bool>()) {
      ran.insert(entry.at("target").get<std::string>());
    }
  }
  std::vector<std::string> found;
  for (const caller_record& record : records_) {
    if (record.Verdict() == "not_run" && ran.contains(record.upstream_target)) {
      found.push_back(record.upstream_target + ": " +
                      record.call->response.body);
    }
  }
  return found;
}

std::vector<std::string> caller_ledger::WrongAnswers() const {
  constexpr int kOk = 200;
  std::vector<std::string> found;
  for (const caller_record& record : records_) {
    if (!record.call->answered || record.Status() != kOk) continue;
    if (!record.IsWhole()) found.push_back(record.upstream_target);
  }
  return found;
}

}  // namespace citron
