#include "integration/harness.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>

namespace citron {

namespace {

constexpr std::size_t kPrintedOutput = 20000;

bool TestHasFailed() {
  namespace unit_test = boost::unit_test;
  const auto test = unit_test::framework::current_test_case().p_id;
  return !unit_test::results_collector.results(test).passed();
}

// Keeps the whole of it where CITRON_TEST_LOGS names a directory.
void KeepOutput(const child_process& process) {
  const char* directory = std::getenv("CITRON_TEST_LOGS");
  if (directory == nullptr) return;
  const std::string test =
      boost::unit_test::framework::current_test_case().p_name;
  const std::filesystem::path path =
      std::filesystem::path(directory) /
      fmt::format("{}.{}.{}.log", test, getpid(), process.Name());
  std::ofstream(path, std::ios::binary | std::ios::app) << process.Output();
}

// The end of what a program wrote, where the trouble usually stands.
std::string LastPart(const std::string& text) {
  if (text.size() <= kPrintedOutput) return text;
  return "[...]" + text.substr(text.size() - kPrintedOutput);
}

}  // namespace

harness::harness() {
  std::string name =
      (std::filesystem::temp_directory_path() / "citron_test_XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
  directory_ = name;
}

harness::~harness() {
  const bool failed = TestHasFailed();
  for (const auto& process : processes_) {
    process->Kill();
    if (!failed) continue;
    KeepOutput(*process);
    fmt::print(stderr, "---- {} wrote:\n{}\n", process->Name(),
               LastPart(process->Output()));
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string harness::WriteFile(const std::string& name,
                               const std::string& text) {
  const std::filesystem::path path = directory_ / name;
  std::ofstream(path, std::ios::binary) << text;
  return path.string();
}

std::string harness::WriteFile(const std::string& name,
                               const nlohmann::json& json) {
  return WriteFile(name, json.dump(2));
}

std::string harness::Address(int host) {
  const int id = getpid();
  return fmt::format("127.{}.{}.{}", 16 + id / 256 % 200, id % 256, host);
}

child_process& harness::Start(const std::string& name,
                              const std::string& program,
                              const std::vector<std::string>& arguments) {
  const std::string binary = std::string(CITRON_BINARY_DIR) + "/" + program;
  BOOST_REQUIRE_MESSAGE(std::filesystem::exists(binary), binary);
  processes_.push_back(
      std::make_unique<child_process>(name, binary, arguments));
  return *processes_.back();
}

child_process& harness::StartListening(
    const std::string& name, const std::string& program,
    const std::vector<std::string>& arguments, std::size_t listeners) {
  child_process& process = Start(name, program, arguments);
  BOOST_REQUIRE(caller_.WaitFor([&] {
    return process.ListenAddresses().size() >= listeners ||
           process.Exit().has_value();
  }));
  BOOST_REQUIRE_MESSAGE(!process.Exit(), name + " ended at its start");
  return process;
}

endpoint harness::StartPlatform(
    const nlohmann::json& data,
    const std::vector<std::string>& more_arguments) {
  std::vector<std::string> arguments = {"--listen", Address(1) + ":0", "--data",
                                        WriteFile("platform.json", data)};
  arguments.insert(arguments.end(), more_arguments.begin(),
                   more_arguments.end());
  return StartListening("platform", "standin_platform", arguments)
      .ListenAddresses()
      .front();
}

std::vector<endpoint> harness::StartUpstreams(const nlohmann::json& list) {
  const std::string name = fmt::format("upstreams_{}", processes_.size());
  return StartListening(name, "standin_upstream",
                        {"--config", WriteFile(name + ".json", list)},
                        list.size())
      .ListenAddresses();
}

endpoint harness::StartProxy(const nlohmann::json& routes) {
  const std::string name = fmt::format("proxy_{}", processes_.size());
  const std::string file =
      WriteFile(name + ".json", nlohmann::json{{"routes", routes}});
  return StartListening(name, "standin_fault_proxy",
                        {"--admin", Address(1) + ":0", "--config", file})
      .ListenAddresses()
      .front();
}

child_process& harness::Process(const std::string& name) {
  // The last, for a program may have been started anew.
  const auto found =
      std::find_if(processes_.rbegin(), processes_.rend(),
                   [&](const auto& p) { return p->Name() == name; });
  BOOST_REQUIRE_MESSAGE(found != processes_.rend(), name);
  return **found;
}

}  // namespace citron
