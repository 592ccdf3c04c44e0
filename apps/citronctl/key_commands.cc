#include <fmt/format.h>

#include <iostream>

#include "apps/citronctl/commands.h"
#include "citron/base/digest.h"
#include "citron/config/fleet_config.h"
#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr char kKeyPrefix[] = "config/key/";
// 192 bits; nobody guesses such a key.
constexpr std::size_t kKeyBytes = 24;
constexpr std::size_t kDigestLength = 64;

constexpr char kKeyUsage[] =
    "key grant WORKSPACE [--label L] | key withdraw DIGEST|--key-stdin|"
    "--workspace W | key list";

exit_code Grant(ctl_session& session) {
  const std::vector<std::string>& words = session.Words();
  if (words.size() != 3) return session.Usage("key grant WORKSPACE");
  const result<std::map<std::string, std::string>> objects =
      session.ConfigObjects();
  if (!IsOk(objects)) return session.FailRead(ErrorOf(objects));
  if (!ValueOf(objects).contains("config/contract/" + words[2])) {
    return session.Fail(exit_code::kInvalid,
                        fmt::format("workspace {} has no contract", words[2]));
  }
  const std::string key = "ck_" + RandomHex(kKeyBytes);
  const std::string digest = Sha256Hex(key);
  const nlohmann::json spec = {{"workspace", words[2]},
                               {"label", session.Options().label}};
  const change_report change =
      session.Change({kKeyPrefix + digest, spec.dump(), std::nullopt, true});
  // A key that may not be in force is not shown: withdrawing its digest is
  // all that is left to do with it.
  if (change.outcome != change_outcome::kWritten) {
    return session.Finish({change}, {{"digest", digest}});
  }
  if (!session.Options().json) Print(fmt::format("key: {}\n", key));
  return session.Finish({change}, {{"key", key}, {"digest", digest}});
}

// Digests to withdraw, as the options name them.
result<std::vector<std::string>> DigestsToWithdraw(ctl_session& session) {
  const ctl_options& options = session.Options();
  const std::size_t ways = (options.words.size() == 3 ? 1u : 0u) +
                           (options.key_on_stdin ? 1u : 0u) +
                           (options.workspace.empty() ? 0u : 1u);
  if (ways != 1 || options.words.size() > 3) {
    return MakeError(error_code::kInvalid,
                     "give one of DIGEST, --key-stdin and --workspace");
  }
  if (options.key_on_stdin) {
    std::string key;
    std::getline(std::cin, key);
    return std::vector<std::string>{Sha256Hex(key)};
  }
  if (options.words.size() == 3) {
    if (options.words[2].size() != kDigestLength) {
      return MakeError(error_code::kInvalid,
                       "a digest has 64 hexadecimal digits");
    }
    return std::vector<std::string>{options.words[2]};
  }
  const result<std::map<std::string, std::string>> objects =
      session.ConfigObjects();
  if (!IsOk(objects)) return ErrorOf(objects);
  std::vector<std::string> digests;
  for (const auto& [digest, grant] :
       BuildFleetConfig(ValueOf(objects), 0).keys) {
    if (grant.workspace.Str() == options.workspace) digests.push_back(digest);
  }
  if (digests.empty()) {
    return MakeError(error_code::kInvalid,
                     fmt::format("workspace {} has no key", options.workspace));
  }
  return digests;
}

exit_code Withdraw(ctl_session& session) {
  const result<std::vector<std::string>> digests = DigestsToWithdraw(session);
  if (!IsOk(digests)) return session.FailRead(ErrorOf(digests));
  std::vector<change_report> changes;
  // Each is tried, whatever became of the one before: a key that is still
  // good is the worse outcome.
  for (const std::string& digest : ValueOf(digests)) {
    changes.push_back(session.Change(
        {kKeyPrefix + digest, std::nullopt, std::nullopt, false}));
  }
  return session.Finish(changes);
}

exit_code ListKeys(ctl_session& session) {
  const result<std::map<std::string, std::string>> objects =
      session.ConfigObjects();
  if (!IsOk(objects)) return session.FailRead(ErrorOf(objects));
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [digest, grant] :
       BuildFleetConfig(ValueOf(objects), 0).keys) {
    list.push_back({{"digest", digest},
                    {"workspace", grant.workspace.Str()},
                    {"label", grant.label}});
    if (!session.Options().json) {
      Print(fmt::format("{}\t{}\t{}\n", digest, grant.workspace.Str(),
                        grant.label));
    }
  }
  if (session.Options().json) PrintJson({{"keys", list}});
  return exit_code::kOk;
}

}  // namespace

exit_code RunKey(ctl_session& session) {
  const std::vector<std::string>& words = session.Words();
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (verb == "grant") return Grant(session);
  if (verb == "withdraw") return Withdraw(session);
  if (verb == "list" && words.size() == 2) return ListKeys(session);
  return session.Usage(kKeyUsage);
}

}  // namespace citron
