#include <cxxopts.hpp>
#include <memory>
#include <string>

#include "standins/command_line.h"
#include "standins/platform/platform_server.h"

namespace citron {
namespace {

struct platform_options {
  std::string listen;
  std::string data;
  std::size_t history = 0;
};

platform_options ParseOptions(int argc, char** argv) {
  cxxopts::Options options("standin_platform",
                           "Key-value service and list of VMs for tests");
  // Numbers are read as double: this compiler warns about a line inside
  // cxxopts's reader of whole numbers.
  options.add_options()  //
      ("listen", "ip:port to listen on", cxxopts::value<std::string>())(
          "data", "JSON file with the first keys and VMs",
          cxxopts::value<std::string>()->default_value(""))(
          "history", "events kept for watches",
          cxxopts::value<double>()->default_value("10000"));
  const auto parsed = options.parse(argc, argv);
  return {parsed["listen"].as<std::string>(), parsed["data"].as<std::string>(),
          static_cast<std::size_t>(parsed["history"].as<double>())};
}

int Run(const platform_options& options) {
  const std::optional<endpoint> listen = ParseEndpoint(options.listen);
  if (!listen) return PrintFailure("--listen: expected ip:port");
  const std::unique_ptr<event_loop> loop = event_loop::Make();
  auto server = platform_server::Make(*loop, *listen, options.history);
  if (!IsOk(server)) return PrintFailure(ErrorOf(server).message);
  if (!options.data.empty()) {
    const result<nlohmann::json> data = ReadJsonFile(options.data);
    if (!IsOk(data)) return PrintFailure(ErrorOf(data).message);
    const status loaded = ValueOf(server)->Load(ValueOf(data));
    if (!IsOk(loaded)) return PrintFailure(ErrorOf(loaded).message);
  }
  StopOnSignals(*loop);
  PrintListening(ValueOf(server)->Address());
  loop->Run();
  return 0;
}

}  // namespace
}  // namespace citron

int main(int argc, char** argv) {
  try {
    return citron::Run(citron::ParseOptions(argc, argv));
  } catch (const std::exception& problem) {
    return citron::PrintFailure(problem.what());
  }
}
