#include "citron/policy/fair_queue.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

queued_request Request(const std::string& id, const std::string& workspace,
                       int latest_start_ms, double weight = 1) {
  return {.id = request_id(id),
          .workspace = workspace_id(workspace),
          .weight = weight,
          .cost = milliseconds(40),
          .latest_start = monotonic_time(milliseconds(latest_start_ms))};
}

queued_request LongRequest(const std::string& id, const std::string& workspace,
                           int latest_start_ms) {
  queued_request request = Request(id, workspace, latest_start_ms);
  request.long_running = true;
  request.cost = seconds(4);
  return request;
}

std::string NextId(fair_queue& queue, bool long_allowed = true) {
  const auto next = queue.Pop(long_allowed);
  return next ? next->id.Str() : "";
}

}  // namespace

BOOST_AUTO_TEST_CASE(SharesByWeight) {
  fair_queue queue;
  for (int i = 0; i < 300; ++i) {
    queue.Push(Request("a" + std::to_string(i), "a", i, 1));
    queue.Push(Request("b" + std::to_string(i), "b", i, 3));
  }
  int a = 0;
  for (int i = 0; i < 200; ++i) {
    if (NextId(queue)[0] == 'a') ++a;
  }
  BOOST_TEST(std::abs(a - 50) <= 1);
}

BOOST_AUTO_TEST_CASE(EarliestLatestStartGoesFirst) {
  fair_queue queue;
  queue.Push(Request("late", "a", 500));
  queue.Push(Request("soon", "a", 100));
  queue.Push(LongRequest("report", "a", 50));
  BOOST_TEST(NextId(queue, false) == "soon");
  BOOST_TEST(NextId(queue, true) == "report");
  BOOST_TEST(NextId(queue, true) == "late");
  BOOST_TEST(NextId(queue, true) == "");
}

// Long requests of a workspace were held back for a while, so the workspace
// received no slot time. Its later short requests must not take every slot
// until the workspace has caught up.
BOOST_AUTO_TEST_CASE(HeldBackRequestsAccumulateNoClaim) {
  fair_queue queue;
  queue.Push(LongRequest("report", "held", 100000));
  for (int i = 0; i < 400; ++i) {
    queue.Push(Request("a" + std::to_string(i), "a", i));
  }
  for (int i = 0; i < 200; ++i) NextId(queue, false);
  for (int i = 0; i < 100; ++i) {
    queue.Push(Request("h" + std::to_string(i), "held", i));
  }
  int held = 0;
  for (int i = 0; i < 100; ++i) {
    if (NextId(queue, false)[0] == 'h') ++held;
  }
  BOOST_TEST(std::abs(held - 50) <= 2);
}

BOOST_AUTO_TEST_CASE(CostAheadFollowsShares) {
  fair_queue queue;
  for (int i = 0; i < 10; ++i) queue.Push(Request(std::to_string(i), "a", i));
  const duration cost = milliseconds(40);
  const monotonic_time last{seconds(9)};
  const auto ahead = [&](const char* workspace, monotonic_time start) {
    return queue.CostAhead(workspace_id(workspace), 1, start, cost, true);
  };
  BOOST_TEST((ahead("a", last) == milliseconds(400)));
  BOOST_TEST(
      (ahead("a", monotonic_time(milliseconds(4))) == milliseconds(200)));
  BOOST_TEST((ahead("new", last) == milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(SurplusComesFromLargestWorkspace) {
  fair_queue queue;
  queue.Push(Request("small", "small", 900));
  queue.Push(Request("x", "large", 100));
  queue.Push(Request("y", "large", 200));
  BOOST_TEST(queue.RejectionCandidate()->id.Str() == "y");
  queue.Remove(*queue.RejectionCandidate());
  BOOST_TEST(queue.Size() == 2u);
  BOOST_TEST((queue.TotalCost() == milliseconds(80)));
}

}  // namespace citron
