#include "apps/daemon_main.h"
#include "citron/control/control_task.h"
#include "citron/platform/http_platform_store.h"

namespace citron {
namespace {

int Run(const daemon_description& daemon,
        const daemon_start<control_settings>& start) {
  const auto loop = event_loop::Make();
  auto task = control_task::Make(
      *loop, start.settings, start.secret,
      std::make_unique<http_platform_store>(*loop, start.settings.platform));
  if (!IsOk(task)) return FailToStart(daemon, ErrorOf(task), kExitFailed);
  control_task& control = *ValueOf(task);
  Log(daemon.part, "listening peer={} metrics={}", control.PeerAddress().Str(),
      control.MetricsAddress().Str());
  monotonic_time told_at;
  RunUntilSignal(*loop, [&](std::function<void()> done) {
    told_at = MonotonicNow();
    control.Leave(std::move(done));
  });
  LogStopped(daemon, MonotonicNow() - told_at);
  return 0;
}

}  // namespace
}  // namespace citron

int main(int argc, char** argv) {
  const citron::daemon_description daemon{
      "citron_control", "control",
      "The VM's client of the platform: configuration, membership, shares.",
      citron::DescribeControlSettings()};
  const auto prepared = citron::PrepareDaemon<citron::control_settings>(
      argc, argv, daemon, citron::LoadControlSettings);
  if (const int* exit_status = std::get_if<int>(&prepared)) return *exit_status;
  return citron::Run(daemon, std::get<0>(prepared));
}
