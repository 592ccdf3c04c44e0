#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "node/node_fixture.h"

namespace citron {
namespace {

constexpr char kBody[] = "of the upstream";

// Asks for an answer of the test's bytes, by a request that may be repeated and
// by one that may not.
class malformed_answer_fixture : public node_fixture {
 public:
  void StartWithUpstream() {
    AddUpstream("u1", [this](const std::string& request) {
      scripted_answer answer;
      answer.bytes = answer_;
      const std::size_t id = answer.bytes.find("{id}");
      if (id != std::string::npos) {
        answer.bytes.replace(id, 4, HeaderIn(request, "X-Id"));
      }
      answer.close = true;
      return answer;
    });
    Start();
  }

  static std::string WithStatusLine(const std::string& line) {
    return fmt::format(
        "{}\r\nX-Id: {{id}}\r\nX-Signature: s\r\nContent-Length: {}\r\n\r\n{}",
        line, sizeof(kBody) - 1, kBody);
  }
  static std::string WithHeader(const std::string& line) {
    return WithStatusLine("HTTP/1.1 200 OK\r\n" + line);
  }
  static std::string InChunks(const std::string& chunks) {
    return "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" +
           chunks;
  }

  std::vector<std::string> AnswersTo(const std::string& bytes) {
    answer_ = bytes;
    return {Ask(Request("GET", "/look/1")),
            Ask(Request("POST", "/book/1", "", "order"))};
  }

  void IsReplaced(const std::string& bytes) {
    for (const std::string& answer : AnswersTo(bytes)) {
      BOOST_TEST_CONTEXT(bytes << "\nbecame\n" << answer) {
        BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
        BOOST_TEST(answer.find("may_have_run") != std::string::npos);
        BOOST_TEST(answer.find("X-Signature") == std::string::npos);
        BOOST_TEST(answer.find(kBody) == std::string::npos);
      }
    }
  }

  void IsPassedOn(const std::string& bytes) {
    for (const std::string& answer : AnswersTo(bytes)) {
      BOOST_TEST_CONTEXT(bytes << "\nbecame\n" << answer) {
        BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
        BOOST_TEST(answer.ends_with(kBody));
      }
    }
  }

  void IsPassedOnWithoutABody(const std::string& bytes) {
    const std::string status = bytes.substr(0, sizeof("HTTP/1.1 200"));
    for (const std::string& answer : AnswersTo(bytes)) {
      BOOST_TEST_CONTEXT(bytes << "\nbecame\n" << answer) {
        BOOST_TEST(answer.starts_with(status));
        BOOST_TEST(answer.ends_with("\r\n\r\n"));
        BOOST_TEST(answer.find(kBody) == std::string::npos);
      }
    }
  }

  std::string answer_;
};

BOOST_FIXTURE_TEST_SUITE(malformed_answer, malformed_answer_fixture)

// Guards against a client that gets a status of 000 or another invalid one.
BOOST_AUTO_TEST_CASE(InvalidStatusesAreReplaced) {
  StartWithUpstream();
  for (const char* status :
       {"000", "0", "099", "0200", "00200", "20", "2", "2000", "20000", "600",
        "999", "-200", "+200", "2x0", "0x200", "200.0", "", "OK"}) {
    IsReplaced(WithStatusLine(fmt::format("HTTP/1.1 {} X", status)));
    IsReplaced(WithStatusLine(fmt::format("HTTP/1.1 {}", status)));
  }
}

// Guards against a malformed status line that becomes a success.
BOOST_AUTO_TEST_CASE(MalformedStatusLinesAreReplaced) {
  StartWithUpstream();
  const std::vector<std::string> lines = {"HTTP/1.1  200 OK",
                                          "HTTP/1.1\t200 OK",
                                          "HTTP/1.1 200\tOK",
                                          "HTTP/1.1 200OK",
                                          " HTTP/1.1 200 OK",
                                          "\r\nHTTP/1.1 200 OK",
                                          "HTTP/1.1 200 O\x01K",
                                          std::string("HTTP/1.1 200 O\0K", 16),
                                          "HTTP/1.1 200 OK\x7f",
                                          "HTTP/1.1 200 \x1b[1mOK",
                                          "HTTP/1.1 200 OK\rX",
                                          "http/1.1 200 OK",
                                          "HTTP/2.0 200 OK",
                                          "HTTP/2 200 OK",
                                          "HTTP/0.9 200 OK",
                                          "HTTP/1 200 OK",
                                          "HTTP/1. 200 OK",
                                          "HTTP/1.10 200 OK",
                                          "HTTP/01.1 200 OK",
                                          "HTTP/1.1.1 200 OK",
                                          "HTTP /1.1 200 OK",
                                          "ICY 200 OK",
                                          "200 OK"};
  for (const std::string& line : lines) {
    IsReplaced(WithStatusLine(line));
  }
}

// Guards against a malformed interim answer that is skipped.
BOOST_AUTO_TEST_CASE(MalformedInterimAnswersAreReplaced) {
  StartWithUpstream();
  for (const char* line :
       {"HTTP/1.1 000 X", "HTTP/1.1 10 X", "HTTP/1.1 0100 Continue",
        "HTTP/1.1 100 Con\x01tinue", "HTTP/2.0 100 Continue"}) {
    IsReplaced(fmt::format("{}\r\n\r\n", line) +
               WithStatusLine("HTTP/1.1 200 OK"));
  }
}

// Guards against bytes of another protocol that are taken for an answer.
BOOST_AUTO_TEST_CASE(ASwitchOfProtocolsIsReplaced) {
  StartWithUpstream();
  for (const char* headers :
       {"", "Upgrade: h2c\r\nConnection: Upgrade\r\n", "Upgrade: h2c\r\n"}) {
    IsReplaced(fmt::format("HTTP/1.1 101 Switching Protocols\r\n{}\r\n{}",
                           headers, WithStatusLine("HTTP/1.1 200 OK")));
  }
}

// Guards against a check that rejects what servers in the field send.
BOOST_AUTO_TEST_CASE(UsualStatusLinesArePassedOn) {
  StartWithUpstream();
  for (const char* line :
       {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 O K",
        "HTTP/1.1 200  OK", "HTTP/1.1 200 O\tK", "HTTP/1.1 200 d\xc3\xa9j\xe0",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 103\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK"}) {
    IsPassedOn(WithStatusLine(line));
  }
}

// Guards against a malformed header that is passed on, or that hides the
// framing of the body.
BOOST_AUTO_TEST_CASE(MalformedHeadersAreReplaced) {
  StartWithUpstream();
  std::string bytes = "\"(),/;<=>?@[\\]{}\x7f\x80\xff";
  for (char control = 0; control <= ' '; ++control) bytes += control;
  for (const char byte : bytes) {
    // These end a line.
    if (byte == '\r' || byte == '\n') continue;
    const std::string bad(1, byte);
    IsReplaced(WithHeader("X-A" + bad + ": b"));
    IsReplaced(WithHeader(bad + "X-A: b"));
    IsReplaced(WithHeader("X-" + bad + "A: b"));
    IsReplaced(WithHeader("Transfer-Encoding" + bad + ": chunked"));
    IsReplaced("HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length" + bad +
               ": 3\r\n\r\n" + kBody);
  }
  IsReplaced(WithHeader(": b"));
  IsReplaced(WithHeader("X-A"));
  IsReplaced(WithHeader("X-A: b\r\n c"));
  IsReplaced(WithHeader("X-A: b\x01"));
}

// Guards against a body behind an answer that has none: its caller would take
// it for the next answer.
BOOST_AUTO_TEST_CASE(ABodyOfAnAnswerWithoutOneIsNotPassedOn) {
  StartWithUpstream();
  const std::string signed_by = "\r\nX-Signature: s\r\n";
  const std::string length = "Content-Length: 15\r\n\r\n";
  const std::string chunks =
      "Transfer-Encoding: chunked\r\n\r\nf\r\nof the upstream\r\n0\r\n\r\n";
  const std::string no_content = "HTTP/1.1 204 No Content" + signed_by;
  IsReplaced(no_content + length + kBody);
  IsReplaced(no_content + length);
  IsReplaced(no_content + chunks);
  IsPassedOnWithoutABody(no_content + "\r\n");
  IsPassedOnWithoutABody(no_content + "Content-Length: 0\r\n\r\n");
  IsPassedOnWithoutABody(no_content + "\r\n" + kBody);
  const std::string not_modified = "HTTP/1.1 304 Not Modified" + signed_by;
  IsPassedOnWithoutABody(not_modified + "\r\n");
  IsPassedOnWithoutABody(not_modified + length);
  IsPassedOnWithoutABody(not_modified + length + kBody);
  IsPassedOnWithoutABody(not_modified + chunks);
}

// Guards against a body that another reader would end elsewhere.
BOOST_AUTO_TEST_CASE(MalformedChunksAreReplaced) {
  StartWithUpstream();
  const std::string size = fmt::format("{:x}", sizeof(kBody) - 1);
  const std::string data = std::string("\r\n") + kBody + "\r\n";
  const std::string end = "0\r\n\r\n";
  for (const char* suffix :
       {" ", "\t", " x", ";", ";=b", ";a=", ";a b", ";a\x01=b", ";a=\x7f",
        ";a=\"b", ";a=\"\x01\"", ";a ", ";a=b ", "g"}) {
    IsReplaced(InChunks(size + suffix + data + end));
  }
  for (const char* prefix : {" ", "0x", "+", "-", "1000000000000000"}) {
    IsReplaced(InChunks(prefix + size + data + end));
  }
  for (const char* line : {"", "x", ";a"}) {
    IsReplaced(InChunks(line + data + end));
  }
  IsReplaced(InChunks(size + "\n" + kBody + "\r\n" + end));
  IsReplaced(InChunks(size + "\r\n" + kBody + "\n" + end));
  IsReplaced(InChunks(size + "\r\n" + kBody + "XX" + end));
  for (const char* trailers :
       {"X-T : b\r\n", " X-T: b\r\n", "X T: b\r\n", "X-T\x01: b\r\n",
        "X-T\x7f: b\r\n", "X-T: \x01\r\n", "X-T\r\n", ": b\r\n", "X-T: b\n",
        "X-T: b\r\n c\r\n", "X-T: b\rX-U: c\r\n"}) {
    IsReplaced(InChunks(size + data + fmt::format("0\r\n{}\r\n", trailers)));
  }
  IsReplaced(InChunks(size + data + "0 \r\n\r\n"));
  IsReplaced(InChunks(size + data + "0\r\n\n"));
}

// Guards against a check that rejects well-formed chunks.
BOOST_AUTO_TEST_CASE(WellFormedChunksArePassedOn) {
  StartWithUpstream();
  const std::string size = fmt::format("{:X}", sizeof(kBody) - 1);
  const std::string data = std::string("\r\n") + kBody + "\r\n";
  IsPassedOn(InChunks("000" + size + data + "0\r\n\r\n"));
  for (const char* extension : {"", ";a", ";a=b;c", " ; a = b", ";\ta\t=\tb",
                                ";a=\"b;\\\"c\"", ";a=\"\" ;b"}) {
    IsPassedOn(InChunks(size + extension + data + "0\r\n\r\n"));
  }
  for (const char* trailers : {"X-T: b\r\n", "X-T:\r\n", "X-T: b c\xe9 \r\n"}) {
    IsPassedOn(
        InChunks(size + data + fmt::format("000;a\r\n{}\r\n", trailers)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
