#ifndef APPS_DAEMON_MAIN_H_
#define APPS_DAEMON_MAIN_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "citron/base/log.h"
#include "citron/base/time.h"
#include "citron/config/command_line.h"
#include "citron/net/task_threads.h"

namespace citron {

struct daemon_description {
  const char* program = "";
  const char* part = "";  // Prefix of its log lines.
  const char* purpose = "";
  std::vector<setting_description> settings;
};

template <class Settings>
struct daemon_start {
  Settings settings;
  std::string secret;
};

inline int FailToStart(const daemon_description& daemon, const error& problem,
                       int exit_status) {
  PrintStartProblem(daemon.program, problem.message);
  return exit_status;
}

// Reads the command line, the settings and the secret; or the status to exit
// with, when one of them is wrong or nothing more was asked for.
template <class Settings>
std::variant<daemon_start<Settings>, int> PrepareDaemon(
    int argc, const char* const* argv, const daemon_description& daemon,
    result<Settings> (*load)(const std::string& file)) {
  const daemon_command command =
      ParseDaemonCommandLine(argc, argv, daemon.program, daemon.purpose,
                             CITRON_VERSION, daemon.settings);
  if (command.exit_status) return *command.exit_status;
  result<Settings> settings = load(command.config_file);
  if (!IsOk(settings)) {
    return FailToStart(daemon, ErrorOf(settings), kExitUsage);
  }
  result<std::string> secret = LoadSecret(ValueOf(settings).common);
  if (!IsOk(secret)) return FailToStart(daemon, ErrorOf(secret), kExitUsage);
  if (command.check_only) return 0;
  SetDecisionLog(ValueOf(settings).common.log_decisions);
  return daemon_start<Settings>{std::move(ValueOf(settings)),
                                std::move(ValueOf(secret))};
}

// The last line: from the signal until the last request and message were out.
inline void LogStopped(const daemon_description& daemon, duration took) {
  Log(daemon.part, "stopped; drained after {:.0f} ms", ToMilliseconds(took));
}

// Runs a daemon whose loops are tasks of one kind, until it is told to stop.
template <class Task, class Settings>
int RunTasks(const daemon_description& daemon,
             const daemon_start<Settings>& start) {
  task_threads<Task> tasks;
  const status made =
      tasks.Make(start.settings.loops, [&](event_loop& loop, int index) {
        return Task::Make(loop, start.settings, start.secret, index);
      });
  if (!IsOk(made)) return FailToStart(daemon, ErrorOf(made), kExitFailed);
  Log(daemon.part, "listening http={} peer={} metrics={}",
      tasks.First().Address().Str(), tasks.First().PeerAddress().Str(),
      tasks.First().MetricsAddress().Str());
  LogStopped(daemon, tasks.Run());
  return 0;
}

}  // namespace citron

#endif  // APPS_DAEMON_MAIN_H_
