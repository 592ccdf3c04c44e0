#include <cxxopts.hpp>
#include <memory>
#include <string>

#include "standins/command_line.h"
#include "standins/fault_proxy/proxy_server.h"
#include "standins/fault_proxy/route_settings.h"

namespace citron {
namespace {

int Run(int argc, char** argv) {
  cxxopts::Options options("standin_fault_proxy",
                           "Passes TCP connections on, with faults");
  options.add_options()  //
      ("config", "JSON file with the routes",
       cxxopts::value<std::string>())  //
      ("admin", "ip:port for commands", cxxopts::value<std::string>());
  const auto parsed = options.parse(argc, argv);
  const auto admin = ParseEndpoint(parsed["admin"].as<std::string>());
  if (!admin) return PrintFailure("--admin: expected ip:port");
  const auto json = ReadJsonFile(parsed["config"].as<std::string>());
  if (!IsOk(json)) return PrintFailure(ErrorOf(json).message);
  const auto routes = ParseRoutes(ValueOf(json));
  if (!IsOk(routes)) return PrintFailure(ErrorOf(routes).message);
  const std::unique_ptr<event_loop> loop = event_loop::Make();
  const auto server = proxy_server::Make(*loop, *admin, ValueOf(routes));
  if (!IsOk(server)) return PrintFailure(ErrorOf(server).message);
  StopOnSignals(*loop);
  PrintListening(ValueOf(server)->Address());
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
