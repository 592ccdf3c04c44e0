#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "integration/node_fleet.h"

namespace citron {
namespace {

constexpr int kRate = 1000;
constexpr int kBurst = 1000;
constexpr int kAtOnce = 200;

// Two VMs, of which the second starts again.
class starting_burst_fixture : public node_fleet {
 public:
  starting_burst_fixture() {
    PutDeclaration(1, {"key1"}, {}, kRate, kBurst);
    for (int i = 1; i <= 4; ++i) {
      AddUpstream(fmt::format("u{}", i), [](const std::string& request) {
        return Answer(request, "whole");
      });
    }
    StartVms(2);
    Process("node2").Kill();
    StartNode(2);
  }

  std::shared_ptr<caller_call> Begin() {
    const std::string path = fmt::format("/look/{}", ++sent_);
    return Caller().Start(Callers(2), Request("key1", "GET", path));
  }

 private:
  int sent_ = 0;
};

int CountOverRate(const std::vector<std::shared_ptr<caller_call>>& calls) {
  int refused = 0;
  for (const auto& call : calls) {
    refused += call->response.head.status == 429 ? 1 : 0;
  }
  return refused;
}

BOOST_FIXTURE_TEST_SUITE(starting_burst, starting_burst_fixture)

// Guards against callers of a VM that has just started who all come at once,
// far below the burst of the contract, and are refused.
BOOST_AUTO_TEST_CASE(StartedVmRefusesNoneOfManyAtOnce) {
  std::vector<std::shared_ptr<caller_call>> calls;
  for (int i = 0; i < kAtOnce; ++i) calls.push_back(Begin());
  for (const auto& call : calls) {
    BOOST_REQUIRE(Caller().WaitFor([&] { return call->IsDone(); }));
  }
  BOOST_TEST(CountOverRate(calls) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
