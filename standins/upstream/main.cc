#include <sys/resource.h>

#include <cxxopts.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/command_line.h"
#include "standins/upstream/upstream_server.h"
#include "standins/upstream/upstream_settings.h"

namespace citron {
namespace {

cxxopts::Options Options() {
  using cxxopts::value;
  cxxopts::Options options("standin_upstream",
                           "Upstreams of one zone, for tests");
  // Numbers are read as double: this compiler warns about a line inside
  // cxxopts's reader of whole numbers.
  options.add_options()  //
      ("config", "JSON file with a list of upstreams",
       value<std::string>()->default_value(""))  //
      ("listen", "ip:port, for one upstream",
       value<std::string>()->default_value(""))                             //
      ("id", "its name", value<std::string>()->default_value("upstream"))   //
      ("service", "its service", value<std::string>()->default_value(""))   //
      ("slots", "requests at a time", value<double>()->default_value("4"))  //
      ("max-connections", "", value<double>()->default_value("350"))        //
      ("cold-start-ms", "", value<double>()->default_value("0"))            //
      ("base-ms", "service time", value<double>()->default_value("10"))     //
      ("report-lag-ms", "age of reports",
       value<double>()->default_value("0"))  //
      ("restart-after-ms", "0: a crash ends the process",
       value<double>()->default_value("0"))  //
      ("seed", "of the jitter", value<double>()->default_value("1"));
  return options;
}

upstream_settings OneUpstream(const cxxopts::ParseResult& parsed) {
  const auto number = [&](const char* name) {
    return parsed[name].as<double>();
  };
  const auto milliseconds = [&](const char* name) {
    return FromMilliseconds(number(name));
  };
  upstream_settings settings;
  settings.id = parsed["id"].as<std::string>();
  settings.service = parsed["service"].as<std::string>();
  settings.slots = static_cast<int>(number("slots"));
  settings.max_connections = static_cast<int>(number("max-connections"));
  settings.cold_start = milliseconds("cold-start-ms");
  settings.base_times[""] = milliseconds("base-ms");
  settings.report_lag = milliseconds("report-lag-ms");
  settings.restart_after = milliseconds("restart-after-ms");
  settings.seed = static_cast<std::uint64_t>(number("seed"));
  return settings;
}

result<std::vector<upstream_settings>> Settings(
    const cxxopts::ParseResult& parsed) {
  const auto config = parsed["config"].as<std::string>();
  if (!config.empty()) {
    const result<nlohmann::json> json = ReadJsonFile(config);
    if (!IsOk(json)) return ErrorOf(json);
    return ParseUpstreams(ValueOf(json));
  }
  const auto listen = ParseEndpoint(parsed["listen"].as<std::string>());
  if (!listen) {
    return MakeError(error_code::kInvalid, "--listen: expected ip:port");
  }
  upstream_settings settings = OneUpstream(parsed);
  settings.listen = *listen;
  return std::vector<upstream_settings>{settings};
}

int Run(int argc, char** argv) {
  cxxopts::Options options = Options();
  const auto settings = Settings(options.parse(argc, argv));
  if (!IsOk(settings)) return PrintFailure(ErrorOf(settings).message);
  // A crash on purpose leaves no file behind.
  const rlimit no_core{0, 0};
  setrlimit(RLIMIT_CORE, &no_core);
  const std::unique_ptr<event_loop> loop = event_loop::Make();
  std::vector<std::unique_ptr<upstream_server>> upstreams;
  for (const upstream_settings& one : ValueOf(settings)) {
    auto made = upstream_server::Make(*loop, one);
    if (!IsOk(made)) return PrintFailure(ErrorOf(made).message);
    upstreams.push_back(std::move(ValueOf(made)));
  }
  StopOnSignals(*loop);
  for (const auto& upstream : upstreams) PrintListening(upstream->Address());
  loop->Run();
  return 0;
}

}  // namespace
}  // namespace citron

int main(int argc, char** argv) {
  try {
    return citron::Run(argc, argv);
  } catch (const std::exception& problem) {
    return citron::PrintFailure(problem.what());
  }
}
