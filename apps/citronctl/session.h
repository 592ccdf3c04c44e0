#ifndef APPS_CITRONCTL_SESSION_H_
#define APPS_CITRONCTL_SESSION_H_

#include <fmt/format.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "apps/citronctl/options.h"
#include "citron/ctl/config_writer.h"
#include "citron/ctl/fleet_status.h"
#include "citron/platform/http_platform_store.h"

namespace citron {

// What one call of the program works with, and how it answers.
class ctl_session {
 public:
  // Fails if the fleet's file can't be read.
  static result<std::unique_ptr<ctl_session>> Make(const ctl_options& options);

  const ctl_options& Options() const { return options_; }
  const std::vector<std::string>& Words() const { return options_.words; }

  // Reads the objects under a prefix.
  result<store_range> Range(const std::string& prefix);
  result<std::vector<vm_record>> ListVms();
  // The configuration as it stands, keys to JSON.
  result<std::map<std::string, std::string>> ConfigObjects();

  // Makes one change by compare-and-swap.
  change_report Change(const config_change& change);

  // Waits until the changes are in force and tells of each; answers with the
  // exit code. `extra` goes into the answer in JSON.
  exit_code Finish(const std::vector<change_report>& changes,
                   nlohmann::json extra = nlohmann::json::object());

  // Refuses the change if it leaves a problem between objects that was not
  // there before; a null value removes the key.
  status CheckTogether(
      const std::map<std::string, std::optional<std::string>>& changes);

  fleet_reader& Fleet() { return *fleet_; }

  // Problems go to standard error as "citronctl: sentence".
  exit_code Fail(exit_code code, const std::string& message) const;
  exit_code FailRead(const error& problem) const;
  exit_code Usage(const std::string& expected) const;

 private:
  explicit ctl_session(const ctl_options& options);
  spread_report WaitFor(store_revision revision);
  void PrintChanges(const std::vector<change_report>& changes) const;

  ctl_options options_;
  std::unique_ptr<event_loop> loop_;
  loop_waiter waiter_;
  std::unique_ptr<http_platform_store> store_;
  http_status_source status_source_;
  std::unique_ptr<fleet_reader> fleet_;
};

void Print(const std::string& text);
// Indented; bytes that are not UTF-8 are replaced.
std::string Pretty(const nlohmann::json& value);
void PrintJson(const nlohmann::json& value);

}  // namespace citron

#endif  // APPS_CITRONCTL_SESSION_H_
