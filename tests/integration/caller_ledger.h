#ifndef TESTS_INTEGRATION_CALLER_LEDGER_H_
#define TESTS_INTEGRATION_CALLER_LEDGER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "citron/base/endpoint.h"
#include "citron/net/http_types.h"
#include "integration/http_caller.h"

namespace citron {

// A request of a caller and what became of it.
struct caller_record {
  std::string method;
  std::string upstream_target;  // As an upstream's ledger shows it.
  std::string body;
  std::shared_ptr<caller_call> call;

  int Status() const { return call->response.head.status; }
  std::string Header(const std::string& name) const;
  std::string Verdict() const { return Header("Citron-Verdict"); }
  // Whether the body is the upstream's whole answer to this very request.
  bool IsWhole() const;
};

// All requests that a test sends to service "desk" with its key. Each gets a
// number in its target, by which it is found in the upstreams' ledgers.
class caller_ledger {
 public:
  explicit caller_ledger(http_caller& caller) : caller_(caller) {}

  // `target` is without the service and has a query.
  const caller_record& Begin(const endpoint& entry, const std::string& method,
                             const std::string& target,
                             std::vector<http_header> headers = {},
                             const std::string& body = "");
  const caller_record& Call(const endpoint& entry, const std::string& method,
                            const std::string& target,
                            std::vector<http_header> headers = {},
                            const std::string& body = "");
  bool WaitForAll();

  const std::vector<caller_record>& Records() const { return records_; }
  std::size_t Answered(int status) const;
  std::size_t Open() const;
  // Requests that were answered as not run though an upstream ran them.
  std::vector<std::string> FalselyNotRun(
      const std::vector<nlohmann::json>& upstream_ledger) const;
  // Requests answered with 200 and a body that isn't their whole answer.
  std::vector<std::string> WrongAnswers() const;

 private:
  http_caller& caller_;
  std::vector<caller_record> records_;
};

}  // namespace citron

#endif  // TESTS_INTEGRATION_CALLER_LEDGER_H_
