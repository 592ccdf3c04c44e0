#ifndef CITRON_CONFIG_COMMAND_LINE_H_
#define CITRON_CONFIG_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <vector>

#include "citron/config/settings.h"

namespace citron {

// Exit status for a wrong command line or a bad setting.
inline constexpr int kExitUsage = 2;
// Exit status for an address that can't be bound and the like.
inline constexpr int kExitFailed = 1;

struct daemon_command {
  std::string config_file;
  bool check_only = false;
  // Set when the process is done already, as after --help.
  std::optional<int> exit_status;
};

// Parses what every daemon takes: --help, --version, --config FILE, --check
// and --settings, which prints the table of settings. Without --config the
// default file is taken, if there is one.
daemon_command ParseDaemonCommandLine(
    int argc, const char* const* argv, const std::string& program,
    const std::string& purpose, const std::string& version,
    const std::vector<setting_description>& settings,
    const std::string& default_file = "");

// One line to standard error: "program: problem".
void PrintStartProblem(const std::string& program, const std::string& problem);

}  // namespace citron

#endif  // CITRON_CONFIG_COMMAND_LINE_H_
