#include "apps/daemon_main.h"
#include "citron/entry/entry_task.h"

int main(int argc, char** argv) {
  const citron::daemon_description daemon{
      "citron_entry", "entry",
      "The callers' door: look-up, keys, admission, placement.",
      citron::DescribeEntrySettings()};
  const auto prepared = citron::PrepareDaemon<citron::entry_settings>(
      argc, argv, daemon, citron::LoadEntrySettings);
  if (const int* exit_status = std::get_if<int>(&prepared)) return *exit_status;
  return citron::RunTasks<citron::entry_task>(daemon, std::get<0>(prepared));
}
