#include <fmt/format.h>

#include <filesystem>
#include <fstream>

#include "apps/citronctl/commands.h"
#include "citron/ctl/declaration.h"
#include "citron/ctl/deployment_files.h"

namespace citron {

namespace {

status WriteFiles(const file_set& files, const std::string& directory) {
  for (const auto& [name, text] : files) {
    const std::filesystem::path file = std::filesystem::path(directory) / name;
    std::error_code problem;
    std::filesystem::create_directories(file.parent_path(), problem);
    std::ofstream out(file, std::ios::binary);
    out << text;
    out.close();
    if (!out) {
      return MakeError(error_code::kInvalid,
                       file.string() + ": can't be written");
    }
  }
  return std::monostate{};
}

}  // namespace

exit_code RunExpand(ctl_session& session) {
  const ctl_options& options = session.Options();
  const bool known_scale = options.scale == "small" || options.scale == "full";
  if (options.words.size() != 2 || options.out.empty() || !known_scale) {
    return session.Usage(
        "expand DEPLOYMENT --out DIR [--scale small|full] "
        "[--address-base 127.N]");
  }
  const result<std::string> text = ReadTextFile(options.words[1]);
  if (!IsOk(text)) return session.FailRead(ErrorOf(text));
  const result<deployment> parsed = ParseDeployment(ValueOf(text));
  if (!IsOk(parsed)) return session.FailRead(ErrorOf(parsed));
  const deployment& full = ValueOf(parsed);
  const result<file_set> files = MakeDeploymentFiles(
      options.scale == "small" ? ScaleDown(full) : full, options.address_base);
  if (!IsOk(files)) return session.FailRead(ErrorOf(files));
  const status written = WriteFiles(ValueOf(files), options.out);
  if (!IsOk(written)) return session.FailRead(ErrorOf(written));
  if (options.json) {
    nlohmann::json names = nlohmann::json::array();
    for (const auto& [name, unused] : ValueOf(files)) names.push_back(name);
    PrintJson({{"files", names}, {"directory", options.out}});
  } else {
    Print(fmt::format("{} files in {}\n", ValueOf(files).size(), options.out));
  }
  return exit_code::kOk;
}

}  // namespace citron
