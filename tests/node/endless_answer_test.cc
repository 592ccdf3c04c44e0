#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "net/held_bytes.h"
#include "node/node_fixture.h"

namespace citron {
namespace {

constexpr char kSigned[] = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";

class endless_fixture : public node_fixture {
 public:
  // Answers bookings without end and look-ups well.
  static scripted_upstream::script Endless(std::string bytes,
                                           std::string endless) {
    return [=](const std::string& request) {
      scripted_answer answer;
      answer.bytes = GoodAnswer(request, "whole");
      if (!request.starts_with("POST")) return answer;
      answer.bytes = bytes;
      answer.endless = endless;
      return answer;
    };
  }

  // A booking fails at once and its connection is closed.
  void BookingIsCut(const std::string& bytes, const std::string& endless,
                    const std::string& cause) {
    scripted_upstream& upstream = AddUpstream("u1", Endless(bytes, endless));
    Start();
    const std::string answer = Ask(Request("POST", "/book/1", "", "order"));
    BOOST_TEST(StatusOf(answer) == "502");
    BOOST_TEST(answer.find("may_have_run") != std::string::npos);
    BOOST_TEST(HasLine("event=answer_cut"));
    BOOST_TEST(HasLine("cause=" + cause));
    BOOST_TEST(HasLine("event=try_failed"));
    BOOST_TEST(RunUntil([&] { return upstream.OpenConnections() == 0; }));
    BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "200");
  }
};

BOOST_FIXTURE_TEST_SUITE(endless, endless_fixture)

// Guards against a header line that never ends.
BOOST_AUTO_TEST_CASE(AHeaderLineIsCut) {
  BookingIsCut("HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa", "endless_heads");
}

// Guards against a head with headers without end.
BOOST_AUTO_TEST_CASE(HeadersAreCut) {
  BookingIsCut("HTTP/1.1 200 OK\r\n", "X-A: b\r\n", "endless_heads");
}

// Guards against interim answers before an answer that never comes.
BOOST_AUTO_TEST_CASE(InterimAnswersAreCut) {
  BookingIsCut("", "HTTP/1.1 102 Processing\r\n\r\n", "endless_heads");
}

// Guards against a body of next to nothing in endless chunk extensions.
BOOST_AUTO_TEST_CASE(ChunkExtensionsAreCut) {
  BookingIsCut(std::string(kSigned) + "Transfer-Encoding: chunked\r\n\r\n",
               "1;" + std::string(4000, 'x') + "\r\na\r\n", "endless_framing");
}

// Guards against trailers without end behind the last chunk.
BOOST_AUTO_TEST_CASE(TrailersAreCut) {
  BookingIsCut(std::string(kSigned) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
               "X-T: y\r\n", "endless_framing");
}

// Guards against a VM that keeps trailers: behind a long body many are allowed,
// and each takes several times its bytes.
BOOST_AUTO_TEST_CASE(TrailersFillNoMemory) {
  constexpr std::size_t kLongBody = std::size_t{4} << 20;
  constexpr std::size_t kMostHeld = std::size_t{32} << 20;
  const std::string head =
      std::string(kSigned) + "Transfer-Encoding: chunked\r\n\r\n";
  AddUpstream("u1", Endless(fmt::format("{}{:x}\r\n{}\r\n0\r\n", head,
                                        kLongBody, std::string(kLongBody, 'b')),
                            "X-T: y\r\n"));
  Start();
  raw_caller caller(settings_.callers);
  caller.Send(Request("POST", "/book/1", "", "order"));
  const std::size_t before = HeldBytes();
  std::size_t most = before;
  BOOST_TEST(RunUntil([&] {
    most = std::max(most, HeldBytes());
    caller.Received();
    return caller.IsClosed();
  }));
  BOOST_TEST(most - before < kMostHeld);
  BOOST_TEST(HasLine("event=try_failed"));
}

// Guards against heads of many headers: each takes far more memory than its
// bytes, for as long as its answer lasts.
BOOST_AUTO_TEST_CASE(HeadsOfManyHeadersFillNoMemory) {
  constexpr int kRequests = 200;
  constexpr std::size_t kHeadBytes = std::size_t{60} << 10;
  constexpr std::size_t kMostHeld = std::size_t{64} << 20;
  std::string head = kSigned;
  while (head.size() < kHeadBytes) head += "a:\r\n";
  AddUpstream("u1", [&](const std::string&) {
    return scripted_answer{head + "Content-Length: 9\r\n\r\nbegin"};
  });
  codec_.upstreams["u1"].slots = kRequests;
  Start();
  std::vector<std::unique_ptr<raw_caller>> callers;
  const std::size_t before = HeldBytes();
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(std::make_unique<raw_caller>(settings_.callers));
    callers.back()->Send(Request("POST", "/book/1", "", "order"));
  }
  std::size_t most = before;
  BOOST_TEST(RunUntil([&] {
    most = std::max(most, HeldBytes());
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return IsWhole(caller->Received());
    });
  }));
  BOOST_TEST(most - before < kMostHeld);
  BOOST_TEST(HasLine("cause=endless_heads"));
}

// Guards against a body without an end in an answer that isn't the upstream's.
BOOST_AUTO_TEST_CASE(AForgedBodyIsCut) {
  BookingIsCut("HTTP/1.1 200 OK\r\n\r\n", "false", "endless_unused");
}

// Guards against a failure that goes on, and against a part of it that would
// look whole.
BOOST_AUTO_TEST_CASE(AFailureIsCut) {
  BookingIsCut("HTTP/1.1 500 Bad\r\nX-Signature: s\r\n\r\n", "failed",
               "endless_unused");
}

// Guards against an endless answer to an earlier request.
BOOST_AUTO_TEST_CASE(ALateAnswerIsCut) {
  BookingIsCut(std::string(kSigned) + "X-Id: 1\r\n\r\n", "late",
               "endless_unused");
}

// Guards against answers to earlier requests, one after the other.
BOOST_AUTO_TEST_CASE(LateAnswersWithoutABodyAreCut) {
  BookingIsCut("",
               std::string(kSigned) + "X-Id: 1\r\nContent-Length: 0\r\n\r\n",
               "endless_unused");
}

// Guards against a refusal that loses its meaning by what follows its head.
BOOST_AUTO_TEST_CASE(ARefusalCountsAsNotRun) {
  int seen = 0;
  const auto refuses_first = [&seen](const std::string& request) {
    if (seen++ > 0) return scripted_answer{GoodAnswer(request, "whole"), false};
    scripted_answer answer;
    answer.bytes = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n";
    answer.endless = "full";
    return answer;
  };
  scripted_upstream& first = AddUpstream("u1", refuses_first);
  scripted_upstream& second = AddUpstream("u2", refuses_first);
  Start();
  BOOST_TEST(StatusOf(Ask(Request("POST", "/book/1", "", "order"))) == "200");
  BOOST_TEST(seen == 2);
  BOOST_TEST(RunUntil(
      [&] { return first.OpenConnections() + second.OpenConnections() == 1; }));
}

// Guards against a refusal whose body stops coming: it would hold its request
// until the deadline and then look like one that may have run.
BOOST_AUTO_TEST_CASE(ARefusalThatStallsCountsAsNotRun) {
  AddUpstream("u1", [](const std::string&) {
    return scripted_answer{
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\nfull",
        false};
  });
  Start();
  const std::string answer = Ask(Request("POST", "/book/1", "", "order"));
  BOOST_TEST(StatusOf(answer) == "503");
  BOOST_TEST(answer.find("not_run") != std::string::npos);
  BOOST_TEST(HasLine("cause=slow_unused"));
}

// Guards against the belief that a request crashes the upstreams that send
// without end.
BOOST_AUTO_TEST_CASE(NoRequestIsSuspectedOfACrash) {
  const auto endless = [](const std::string&) {
    scripted_answer answer;
    answer.bytes = "HTTP/1.1 200 OK\r\nX-A: ";
    answer.endless = "aaaaaaaa";
    return answer;
  };
  for (const char* id : {"u1", "u2", "u3"}) AddUpstream(id, endless);
  Start();
  for (int i = 0; i < 2; ++i) {
    const std::string answer = Ask(Request("GET", "/look/1"));
    BOOST_TEST(StatusOf(answer) == "502");
    BOOST_TEST(answer.find("endless_heads") != std::string::npos);
  }
  BOOST_TEST(!HasLine("poison"));
  BOOST_TEST(!HasLine("suspect"));
}

// Guards against a VM that is kept busy or filled by those who send without
// end, while others' requests wait.
BOOST_AUTO_TEST_CASE(TenAtOnceHarmNobodyElse) {
  routing_.routes[0].latency_goal = FromSeconds(1);
  scripted_upstream& upstream =
      AddUpstream("u1", Endless("HTTP/1.1 200 OK\r\n\r\n", "false"));
  codec_.upstreams["u1"].slots = 20;
  Start();
  std::vector<std::unique_ptr<raw_caller>> bookings;
  std::vector<std::unique_ptr<raw_caller>> lookups;
  const monotonic_time start = MonotonicNow();
  for (int i = 0; i < 10; ++i) {
    bookings.push_back(std::make_unique<raw_caller>(settings_.callers));
    bookings.back()->Send(Request("POST", "/book/1", "", "order"));
    lookups.push_back(std::make_unique<raw_caller>(settings_.callers));
    lookups.back()->Send(Request("GET", "/look/1"));
  }
  for (const auto& caller : lookups) {
    BOOST_TEST(StatusOf(Wait(*caller)) == "200");
  }
  BOOST_TEST(ToSeconds(MonotonicNow() - start) <
             ToSeconds(routing_.routes[0].latency_goal));
  for (const auto& caller : bookings) {
    BOOST_TEST(StatusOf(Wait(*caller)) == "502");
  }
  BOOST_TEST(upstream.Requests().size() == 20u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
