#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "citron/net/http_client.h"
#include "net/held_bytes.h"
#include "net/loop_fixture.h"
#include "node/scripted_upstream.h"

namespace citron {
namespace {

constexpr char kBody[] = "of the server";

// Calls a server that answers with the test's bytes.
class answer_fixture : public loop_fixture {
 public:
  static std::string WithStatusLine(const std::string& line) {
    return fmt::format("{}\r\nContent-Length: {}\r\n\r\n{}", line,
                       sizeof(kBody) - 1, kBody);
  }
  static std::string WithHeader(const std::string& line) {
    return WithStatusLine("HTTP/1.1 200 OK\r\n" + line);
  }
  static std::string InChunks(const std::string& chunks) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
  }

  // The answer that a call gets, or none if it fails.
  std::optional<http_response> Call(const scripted_answer& answer,
                                    const std::string& method = "GET") {
    answer_ = answer;
    const monotonic_time start = MonotonicNow();
    std::optional<http_response> got;
    bool done = false;
    client_.Call(server_.Address(), {method, "/", {}, ""}, start + kDeadline,
                 [&](const http_response* response, const call_failure&) {
                   done = true;
                   if (response != nullptr) got = *response;
                 });
    const std::size_t before = HeldBytes();
    BOOST_TEST(RunUntil([&] {
      if (HeldBytes() > before) {
        held_ = std::max(held_, HeldBytes() - before);
      }
      return done;
    }));
    BOOST_TEST(ToSeconds(MonotonicNow() - start) < ToSeconds(kDeadline) / 2);
    return got;
  }

  void Fails(const std::string& bytes) {
    BOOST_TEST_CONTEXT(bytes) {
      BOOST_TEST(!Call({bytes}).has_value());
      BOOST_TEST(client_.IdleConnections() == 0);
    }
  }

  void Succeeds(const std::string& bytes) {
    BOOST_TEST_CONTEXT(bytes) {
      const auto got = Call({bytes});
      BOOST_TEST(got.has_value());
      if (got) BOOST_TEST(got->head.status == 200);
      if (got) BOOST_TEST(got->body == kBody);
    }
  }

  static constexpr duration kDeadline = std::chrono::seconds(10);
  // More than the longest answer that a client takes, and its copies.
  static constexpr std::size_t kMostHeld = 4 * kDefaultMaxAnswerBytes;

  scripted_answer answer_;
  std::size_t held_ = 0;
  scripted_upstream server_{Loop(),
                            [this](const std::string&) { return answer_; }};
  http_client client_{Loop()};
};

BOOST_FIXTURE_TEST_SUITE(answers, answer_fixture)

// Guards against a malformed status line that is taken for an answer.
BOOST_AUTO_TEST_CASE(MalformedStatusLinesFail) {
  for (const char* line :
       {"HTTP/1.1 000 X",   "HTTP/1.1 0 X",        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",  "HTTP/1.1 0200 OK",    "HTTP/1.1 600 X",
        "HTTP/1.1 999",     "HTTP/1.1 -200 X",     "HTTP/1.1 200abc",
        "HTTP/1.1 2x0 X",   "HTTP/1.1 ",           "HTTP/1.1 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200\tOK",
        "HTTP/2.0 200 OK",  "HTTP/0.9 200 OK",     "HTTP/1.10 200 OK",
        "HTTP/1.1 103 X",   "ICY 200 OK"}) {
    Fails(WithStatusLine(line));
  }
}

// Guards against a malformed header that is passed on, or that hides the
// framing of the body.
BOOST_AUTO_TEST_CASE(MalformedHeadersFail) {
  for (const char* line :
       {"X A: b", "X-A : b", "X-A\t: b", "X-A\x01: b", "X-A\x7f: b",
        "X-A\xff: b", "X(A): b", ": b", "X-A", "X-A: b\x01", "X-A: b\r\n c",
        "Transfer-Encoding : chunked", "Transfer-Encoding\x01: chunked",
        "Transfer-Encoding: chunked", "Content-Length : 3",
        "Content-Length: 3"}) {
    Fails(WithHeader(line));
  }
  Fails(std::string("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"));
}

// Guards against a body that another reader would end elsewhere.
BOOST_AUTO_TEST_CASE(MalformedChunksFail) {
  const std::string size = fmt::format("{:x}", sizeof(kBody) - 1);
  const std::string data = std::string("\r\n") + kBody + "\r\n";
  for (const char* suffix : {" ", " x", ";", ";a\x01=b", ";a b", "g"}) {
    Fails(InChunks(size + suffix + data + "0\r\n\r\n"));
  }
  for (const char* prefix : {" ", "0x", "+", "-"}) {
    Fails(InChunks(prefix + size + data + "0\r\n\r\n"));
  }
  Fails(InChunks(size + "\r\n" + kBody + "XX0\r\n\r\n"));
  Fails(InChunks(size + data + "0\r\nX T: b\r\n\r\n"));
}

// Guards against a server whose bytes go on without end: the caller would wait
// for its deadline, or keep them until its memory is full.
BOOST_AUTO_TEST_CASE(EndlessAnswersFailSoon) {
  struct endless_answer {
    std::string begin;
    std::string repeated;
  };
  const std::string piece(1024, 'x');
  const endless_answer answers[] = {
      {"", "\r\n"},
      {"HTTP/1.1 200 ", "a"},
      {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-T: b\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "400\r\n" + piece + "\r\n"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", piece},
      {"HTTP/1.1 200 OK\r\n\r\n", piece},
  };
  for (const endless_answer& answer : answers) {
    BOOST_TEST_CONTEXT(answer.begin << answer.repeated) {
      scripted_answer endless{answer.begin};
      endless.endless = answer.repeated;
      held_ = 0;
      BOOST_TEST(!Call(endless).has_value());
      BOOST_TEST(held_ < kMostHeld);
      BOOST_TEST(RunUntil([this] { return server_.OpenConnections() == 0; }));
    }
  }
}

BOOST_AUTO_TEST_CASE(WellFormedAnswersSucceed) {
  const std::string size = fmt::format("{:x}", sizeof(kBody) - 1);
  const std::string data = std::string("\r\n") + kBody + "\r\n";
  for (int i = 0; i < 2; ++i) {
    Succeeds(WithStatusLine("HTTP/1.1 200"));
    Succeeds(WithStatusLine("HTTP/1.1 200 "));
    Succeeds(WithStatusLine("HTTP/1.1 200 d\xe9j\xe0"));
    Succeeds(WithHeader("X-A: b \xff c"));
    Succeeds(WithStatusLine("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"));
    Succeeds(InChunks(size + data + "0\r\nX-T: c\r\n\r\n"));
  }
  BOOST_TEST(server_.Accepted() == 1);
  const auto none = Call({"HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"});
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST(none->head.status == 204);
  const auto head =
      Call({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"}, "HEAD");
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->body.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
