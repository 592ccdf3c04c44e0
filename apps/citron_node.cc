#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <memory>

#include "citron/base/event_log.h"
#include "citron/config/command_line.h"
#include "citron/net/daemon_runner.h"
#include "citron/net/event_loop.h"
#include "citron/node/file_watch.h"
#include "citron/node/node_task.h"
#include "platform/fleet_documents.h"
#include "platform/kv_platform_store.h"
#include "platform/settings_file.h"
#include "platform/wire_names.h"

namespace {

constexpr char kProgram[] = "citron_node";
// How often the settings file is looked at; a change of bounds is in force well
// inside the time that a change of the declaration has.
constexpr citron::duration kSettingsInterval = std::chrono::seconds(1);

std::string DefaultFile() {
  const char* file = std::getenv(citron::platform::kSettingsVariable);
  return file == nullptr ? "" : file;
}

int Fail(const citron::error& problem, int exit_status) {
  citron::PrintStartProblem(kProgram, problem.message);
  return exit_status;
}

}  // namespace

int main(int argc, char** argv) {
  const citron::daemon_command command = citron::ParseDaemonCommandLine(
      argc, argv, kProgram, "A whole entry VM in one process.", CITRON_VERSION,
      {}, DefaultFile());
  if (command.exit_status) return *command.exit_status;
  const citron::result<citron::node_settings> settings =
      citron::platform::LoadSettings(command.config_file);
  if (!citron::IsOk(settings)) {
    return Fail(citron::ErrorOf(settings), citron::kExitUsage);
  }
  if (command.check_only) return 0;

  citron::event_log log(citron::event_log::StandardOutput());
  const std::unique_ptr<citron::event_loop> loop = citron::event_loop::Make();
  const citron::platform::fleet_documents codec;
  citron::platform::kv_platform_store store(*loop,
                                            citron::ValueOf(settings).store);
  const citron::node_platform platform{citron::platform::PlatformHeaders(),
                                       citron::platform::PlatformPages(),
                                       &codec, &store};
  const auto task =
      citron::node_task::Make(*loop, citron::ValueOf(settings), platform, log);
  if (!citron::IsOk(task)) {
    return Fail(citron::ErrorOf(task), citron::kExitFailed);
  }
  citron::node_task& node = *citron::ValueOf(task);
  const auto reload = [&] {
    const citron::result<citron::node_settings> read =
        citron::platform::LoadSettings(command.config_file);
    if (citron::IsOk(read)) return node.Reload(citron::ValueOf(read));
    log.Write("node", "reload_rejected",
              {{"problem", citron::ErrorOf(read).message}},
              citron::MonotonicNow());
  };
  loop->OnSignal(SIGHUP, reload);
  const citron::file_watch settings_watch(*loop, command.config_file,
                                          kSettingsInterval, reload);
  log.Write("node", "started",
            {{"vm", citron::ValueOf(settings).vm.Str()},
             {"version", CITRON_VERSION},
             {"callers", citron::ValueOf(settings).callers.Str()}},
            citron::MonotonicNow());
  citron::RunUntilSignal(
      *loop,
      [&node](std::function<void()> stopped) { node.Stop(std::move(stopped)); },
      [&log](int signal_number) {
        log.Write("node", "signal_repeated", {{"signal", signal_number}},
                  citron::MonotonicNow());
      });
  return 0;
}
