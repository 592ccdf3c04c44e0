#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "integration/node_fleet.h"
#include "net/raw_caller.h"

namespace citron {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAnswerBytes = 540'000;
constexpr int kCallers = 8;

class slow_caller_fixture : public node_fleet {
 public:
  slow_caller_fixture() {
    grace_s_ = 1;
    PutDeclaration(1, {"key"});
    AddUpstream("u1", [](const std::string& request) {
      return Answer(request, std::string(kAnswerBytes, 'a'));
    });
    StartVms(1);
    for (int i = 0; i < kCallers; ++i) {
      callers_.push_back(std::make_unique<raw_caller>(
          Callers(1), raw_caller::buffers::kSmall));
    }
  }

  static bool IsWhole(raw_caller& caller) {
    return caller.Received().size() > kAnswerBytes;
  }

  std::vector<std::unique_ptr<raw_caller>> callers_;
};

BOOST_FIXTURE_TEST_SUITE(slow_caller, slow_caller_fixture)

// Guards against a stopped process that takes whole answers with it.
BOOST_AUTO_TEST_CASE(AnswersOutliveTheProcess) {
  for (int i = 0; i < kCallers; ++i) {
    callers_[i]->Send(
        fmt::format("GET /look/1 HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\n"
                    "X-Deadline-Ms: 4000\r\nAuthorization: Bearer key\r\n\r\n",
                    VmAddress(1), i));
  }
  // All has been answered, and hardly anything is read.
  for (const auto& caller : callers_) {
    BOOST_REQUIRE(
        Caller().WaitFor([&] { return !caller->Received().empty(); }));
  }
  Process("node1").Signal(SIGTERM);
  const monotonic_time killed_at =
      MonotonicNow() + std::chrono::seconds(grace_s_);
  Caller().WaitFor([&] { return MonotonicNow() >= killed_at; });
  Process("node1").Kill();
  for (const auto& caller : callers_) {
    BOOST_TEST(!IsWhole(*caller));
    Caller().WaitFor([&] { return IsWhole(*caller) || caller->IsClosed(); });
    BOOST_TEST(IsWhole(*caller));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
