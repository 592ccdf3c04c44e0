#include "citron/base/log.h"
#include "citron/config/command_line.h"
#include "citron/control/control_task.h"
#include "citron/net/daemon_runner.h"
#include "citron/platform/http_platform_store.h"

namespace {

constexpr char kProgram[] = "citron_control";

int Fail(const citron::error& problem, int exit_status) {
  citron::PrintStartProblem(kProgram, problem.message);
  return exit_status;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace citron;  // NOLINT(google-build-using-namespace)
  const daemon_command command = ParseDaemonCommandLine(
      argc, argv, kProgram,
      "The VM's client of the platform: configuration, membership, shares.",
      CITRON_VERSION, DescribeControlSettings());
  if (command.exit_status) return *command.exit_status;
  const auto settings = LoadControlSettings(command.config_file);
  if (!IsOk(settings)) return Fail(ErrorOf(settings), kExitUsage);
  const auto secret = LoadSecret(ValueOf(settings).common);
  if (!IsOk(secret)) return Fail(ErrorOf(secret), kExitUsage);
  if (command.check_only) return 0;
  SetDecisionLog(ValueOf(settings).common.log_decisions);
  const auto loop = event_loop::Make();
  auto task = control_task::Make(
      *loop, ValueOf(settings), ValueOf(secret),
      std::make_unique<http_platform_store>(*loop, ValueOf(settings).platform));
  if (!IsOk(task)) return Fail(ErrorOf(task), kExitFailed);
  control_task& control = *ValueOf(task);
  Log("control", "listening peer={} metrics={}", control.PeerAddress().Str(),
      control.MetricsAddress().Str());
  RunUntilSignal(*loop, [&](std::function<void()> done) {
    control.Leave(std::move(done));
  });
  Log("control", "stopped");
  return 0;
}
