#include "citron/base/log.h"
#include "citron/config/command_line.h"
#include "citron/entry/entry_task.h"
#include "citron/net/task_threads.h"

namespace {

constexpr char kProgram[] = "citron_entry";

int Fail(const citron::error& problem, int exit_status) {
  citron::PrintStartProblem(kProgram, problem.message);
  return exit_status;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace citron;  // NOLINT(google-build-using-namespace)
  const daemon_command command = ParseDaemonCommandLine(
      argc, argv, kProgram,
      "The callers' door: look-up, keys, admission, placement.", CITRON_VERSION,
      DescribeEntrySettings());
  if (command.exit_status) return *command.exit_status;
  const auto settings = LoadEntrySettings(command.config_file);
  if (!IsOk(settings)) return Fail(ErrorOf(settings), kExitUsage);
  const auto secret = LoadSecret(ValueOf(settings).common);
  if (!IsOk(secret)) return Fail(ErrorOf(secret), kExitUsage);
  if (command.check_only) return 0;
  SetDecisionLog(ValueOf(settings).common.log_decisions);
  task_threads<entry_task> tasks;
  const status made = tasks.Make(ValueOf(settings).loops, [&](event_loop& loop,
                                                              int index) {
    return entry_task::Make(loop, ValueOf(settings), ValueOf(secret), index);
  });
  if (!IsOk(made)) return Fail(ErrorOf(made), kExitFailed);
  Log("entry", "listening http={} peer={} metrics={}",
      tasks.First().Address().Str(), tasks.First().PeerAddress().Str(),
      tasks.First().MetricsAddress().Str());
  tasks.Run();
  Log("entry", "stopped");
  return 0;
}
