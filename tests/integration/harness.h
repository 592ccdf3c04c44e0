#ifndef TESTS_INTEGRATION_HARNESS_H_
#define TESTS_INTEGRATION_HARNESS_H_

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "integration/child_process.h"
#include "integration/http_caller.h"

namespace citron {

// Starts real programs for one test and ends them with it; if the test failed,
// what they wrote is printed.
class harness {
 public:
  harness();
  ~harness();
  harness(const harness&) = delete;
  harness& operator=(const harness&) = delete;

  http_caller& Caller() { return caller_; }

  // A file in the test's own directory; the path.
  std::string WriteFile(const std::string& name, const std::string& text);
  std::string WriteFile(const std::string& name, const nlohmann::json& json);

  // An address of this test process alone, so that fixed ports don't meet
  // those of another test. `host` is 1 to 250.
  static std::string Address(int host);

  // Starts one of the project's programs. No wait.
  child_process& Start(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments);
  // Starts a program that says where it listens, and waits until it does.
  child_process& StartListening(const std::string& name,
                                const std::string& program,
                                const std::vector<std::string>& arguments,
                                std::size_t listeners = 1);

  // Starts a stand-in of the platform with the given data; its address.
  endpoint StartPlatform(const nlohmann::json& data,
                         const std::vector<std::string>& more_arguments = {});
  // Starts the upstreams of a list; their addresses in its order.
  std::vector<endpoint> StartUpstreams(const nlohmann::json& list);
  // Starts a proxy with {"name", "listen", "target"} routes; its commands'
  // address.
  endpoint StartProxy(const nlohmann::json& routes);

  // The program must have been started under that name.
  child_process& Process(const std::string& name);

 private:
  std::filesystem::path directory_;
  http_caller caller_;
  std::vector<std::unique_ptr<child_process>> processes_;
};

}  // namespace citron

#endif  // TESTS_INTEGRATION_HARNESS_H_
