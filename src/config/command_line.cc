#include "citron/config/command_line.h"

#include <fmt/format.h>

#include <cstdio>
#include <cxxopts.hpp>

#include "citron/base/log.h"

namespace citron {

namespace {

void PrintSettings(const std::vector<setting_description>& settings) {
  fmt::print("| setting | type | range | default | meaning |\n");
  fmt::print("| --- | --- | --- | --- | --- |\n");
  for (const setting_description& s : settings) {
    fmt::print("| `{}` | {} | {} | {} | {} |\n", s.name, s.type, s.range,
               s.default_value, s.help);
  }
}

}  // namespace

daemon_command ParseDaemonCommandLine(
    int argc, const char* const* argv, const std::string& program,
    const std::string& purpose, const std::string& version,
    const std::vector<setting_description>& settings,
    const std::string& default_file) {
  daemon_command command;
  command.config_file = default_file;
  cxxopts::Options options(program, purpose);
  options.add_options()("config", "settings file",
                        cxxopts::value<std::string>(command.config_file),
                        "FILE")("check", "check the settings and stop")(
      "settings", "print every setting with unit, range and default")(
      "version", "print the version")("help", "print this help");
  // The library reports a wrong command line by throwing.
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      fmt::print("{}\n", options.help());
      command.exit_status = 0;
    } else if (parsed.count("version") != 0) {
      fmt::print("{} {}\n", program, version);
      command.exit_status = 0;
    } else if (parsed.count("settings") != 0) {
      PrintSettings(settings);
      command.exit_status = 0;
    } else if (command.config_file.empty()) {
      PrintStartProblem(program, "--config FILE is missing; see --help");
      command.exit_status = kExitUsage;
    }
    command.check_only = parsed.count("check") != 0;
  } catch (const cxxopts::exceptions::exception& problem) {
    PrintStartProblem(program, problem.what());
    command.exit_status = kExitUsage;
  }
  return command;
}

void PrintStartProblem(const std::string& program, const std::string& problem) {
  WriteErrorLine(program, problem);
}

}  // namespace citron
