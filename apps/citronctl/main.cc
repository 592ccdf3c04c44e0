#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

#include "apps/citronctl/commands.h"

namespace citron {
namespace {

struct command {
  std::string_view name;
  exit_code (*run)(ctl_session&);
};

constexpr std::array kCommandTable = {
    command{"validate", RunValidate}, command{"diff", RunDiff},
    command{"apply", RunApply},       command{"show", RunShow},
    command{"list", RunList},         command{"delete", RunDelete},
    command{"key", RunKey},           command{"drain", RunDrain},
    command{"undrain", RunUndrain},   command{"gone", RunGone},
    command{"ungone", RunUngone},     command{"shift", RunShift},
    command{"unshift", RunUnshift},   command{"status", RunStatus},
    command{"expand", RunExpand},
};

exit_code UsageError(const std::string& problem) {
  std::fprintf(stderr, "citronctl: %s; see citronctl --help\n",
               problem.c_str());
  return exit_code::kInvalid;
}

exit_code Run(int argc, char** argv) {
  const result<ctl_options> options = ParseCtlOptions(argc, argv);
  if (!IsOk(options)) return UsageError(ErrorOf(options).message);
  if (ValueOf(options).show_help) {
    Print(CtlUsage());
    return exit_code::kOk;
  }
  if (ValueOf(options).show_version) {
    Print("citronctl " CITRON_VERSION "\n");
    return exit_code::kOk;
  }
  if (ValueOf(options).words.empty()) return UsageError("no command");
  const std::string& name = ValueOf(options).words.front();
  const auto* found =
      std::find_if(kCommandTable.begin(), kCommandTable.end(),
                   [&](const command& known) { return known.name == name; });
  if (found == kCommandTable.end()) return UsageError("no command " + name);
  const auto session = ctl_session::Make(ValueOf(options));
  if (!IsOk(session)) return UsageError(ErrorOf(session).message);
  return found->run(*ValueOf(session));
}

}  // namespace
}  // namespace citron

int main(int argc, char** argv) {
  return static_cast<int>(citron::Run(argc, argv));
}
