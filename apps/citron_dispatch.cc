#include "citron/base/log.h"
#include "citron/config/command_line.h"
#include "citron/dispatch/dispatch_task.h"
#include "citron/net/task_threads.h"

namespace {

constexpr char kProgram[] = "citron_dispatch";

int Fail(const citron::error& problem, int exit_status) {
  citron::PrintStartProblem(kProgram, problem.message);
  return exit_status;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace citron;  // NOLINT(google-build-using-namespace)
  const daemon_command command = ParseDaemonCommandLine(
      argc, argv, kProgram,
      "Owner of upstreams: queues requests and sends them.", CITRON_VERSION,
      DescribeDispatchSettings());
  if (command.exit_status) return *command.exit_status;
  const auto settings = LoadDispatchSettings(command.config_file);
  if (!IsOk(settings)) return Fail(ErrorOf(settings), kExitUsage);
  const auto secret = LoadSecret(ValueOf(settings).common);
  if (!IsOk(secret)) return Fail(ErrorOf(secret), kExitUsage);
  if (command.check_only) return 0;
  SetDecisionLog(ValueOf(settings).common.log_decisions);
  task_threads<dispatch_task> tasks;
  const status made = tasks.Make(ValueOf(settings).loops, [&](event_loop& loop,
                                                              int index) {
    return dispatch_task::Make(loop, ValueOf(settings), ValueOf(secret), index);
  });
  if (!IsOk(made)) return Fail(ErrorOf(made), kExitFailed);
  Log("dispatch", "listening http={} peer={} metrics={}",
      tasks.First().Address().Str(), tasks.First().PeerAddress().Str(),
      tasks.First().MetricsAddress().Str());
  tasks.Run();
  Log("dispatch", "stopped");
  return 0;
}
