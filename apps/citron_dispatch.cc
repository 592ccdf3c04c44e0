#include "apps/daemon_main.h"
#include "citron/dispatch/dispatch_task.h"

int main(int argc, char** argv) {
  const citron::daemon_description daemon{
      "citron_dispatch", "dispatch",
      "Owner of upstreams: queues requests and sends them.",
      citron::DescribeDispatchSettings()};
  const auto prepared = citron::PrepareDaemon<citron::dispatch_settings>(
      argc, argv, daemon, citron::LoadDispatchSettings);
  if (const int* exit_status = std::get_if<int>(&prepared)) return *exit_status;
  return citron::RunTasks<citron::dispatch_task>(daemon, std::get<0>(prepared));
}
