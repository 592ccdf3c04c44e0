#ifndef APPS_CITRONCTL_OPTIONS_H_
#define APPS_CITRONCTL_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/base/time.h"
#include "citron/platform/platform_store.h"

namespace citron {

struct ctl_options {
  // The command and what follows it, without options.
  std::vector<std::string> words;
  std::optional<endpoint> platform;
  std::vector<endpoint> controls;
  std::string fleet_file;
  bool json = false;
  bool show_help = false;
  bool show_version = false;
  duration wait_limit{};
  duration call_limit{};
  duration change_limit{};
  std::optional<store_revision> expected;
  std::string label;
  std::string workspace;
  bool key_on_stdin = false;
  std::string from;
  std::string to;
  double fraction = 1;
  double cap_per_s = 0;
  std::string scale;
  std::string address_base;
  std::string out;
};

// The command line, then the environment: CITRON_PLATFORM, CITRON_CONTROLS
// (ip:port,...) and CITRON_FLEET.
result<ctl_options> ParseCtlOptions(int argc, char** argv);

std::string CtlUsage();

}  // namespace citron

#endif  // APPS_CITRONCTL_OPTIONS_H_
