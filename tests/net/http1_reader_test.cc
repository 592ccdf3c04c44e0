#include "citron/net/http1_reader.h"

#include <event2/buffer.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace citron {
namespace {

constexpr std::size_t kMaxHead = 1024;

class recorder : public http1_listener {
 public:
  void OnHead(http1_head head) override { heads.push_back(std::move(head)); }
  void OnBody(std::string_view bytes) override { body.append(bytes); }

  std::vector<http1_head> heads;
  std::string body;
};

class reader_fixture {
 public:
  using direction = http1_reader::direction;
  using progress = http1_reader::progress;

  explicit reader_fixture(direction what = direction::kRequests)
      : input_(evbuffer_new(), &evbuffer_free),
        reader_(what, kMaxHead, seen_) {}

  progress Read(std::string_view bytes) {
    evbuffer_add(input_.get(), bytes.data(), bytes.size());
    return reader_.Read(input_.get());
  }

  std::size_t Left() const { return evbuffer_get_length(input_.get()); }

  recorder seen_;
  std::unique_ptr<evbuffer, decltype(&evbuffer_free)> input_;
  http1_reader reader_;
};

class answer_fixture : public reader_fixture {
 public:
  answer_fixture() : reader_fixture(direction::kAnswers) {}
};

BOOST_FIXTURE_TEST_SUITE(requests, reader_fixture)

BOOST_AUTO_TEST_CASE(ReadsARequestThatComesInPieces) {
  BOOST_CHECK(Read("POST /a?b=1 HTTP/1.1\r\nHost: x\r\nContent-Le") ==
              progress::kNeedsMore);
  BOOST_CHECK(Read("ngth: 5\r\n\r\nab") == progress::kNeedsMore);
  BOOST_CHECK(Read("cde") == progress::kMessageComplete);
  BOOST_REQUIRE(seen_.heads.size() == 1u);
  BOOST_TEST(seen_.heads[0].method == "POST");
  BOOST_TEST(seen_.heads[0].target == "/a?b=1");
  BOOST_TEST(*seen_.heads[0].body_length == 5u);
  BOOST_TEST(seen_.body == "abcde");
}

// A caller sends its next request before the answer to the first. The two must
// not flow into each other.
BOOST_AUTO_TEST_CASE(StopsAtTheEndOfARequest) {
  const std::string next = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_CHECK(Read("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n" + next) ==
              progress::kMessageComplete);
  BOOST_TEST(seen_.heads.size() == 1u);
  BOOST_TEST(Left() == next.size());
  reader_.Reset();
  BOOST_CHECK(Read("") == progress::kMessageComplete);
  BOOST_REQUIRE(seen_.heads.size() == 2u);
  BOOST_TEST(seen_.heads[1].target == "/2");
}

BOOST_AUTO_TEST_CASE(ReadsChunksAndLeavesWhatFollows) {
  BOOST_CHECK(Read("PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET") ==
              progress::kMessageComplete);
  BOOST_TEST(seen_.body == "abcde");
  BOOST_TEST(Left() == 3u);
  BOOST_TEST(seen_.heads[0].chunked);
}

// Two readers in a row that see different ends of one request let a second
// request be hidden in the first. Whatever can be read in two ways is refused.
BOOST_AUTO_TEST_CASE(RefusesWhatCanBeReadInTwoWays) {
  const std::string start = "POST /s HTTP/1.1\r\nHost: x\r\n";
  for (const std::string& rest : {
           std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
           std::string("Content-Length: 4\r\nContent-Length: 5\r\n"),
           std::string("Content-Length: 4\r\nContent-Length: 4\r\n"),
           std::string("Transfer-Encoding: chunked, identity\r\n"),
           std::string("Transfer-Encoding: x\r\n"),
           std::string("Content-Length: +4\r\n"),
           std::string("Content-Length: 4, 4\r\n"),
           std::string("Content-Length : 4\r\n"),
           std::string("A: b\r\n folded: c\r\n"),
           std::string("A: b\nTransfer-Encoding: chunked\r\n"),
           std::string("A: b\rB: c\r\n"),
       }) {
    reader_fixture other;
    BOOST_TEST_CONTEXT(rest) {
      BOOST_CHECK(other.Read(start + rest + "\r\n0\r\n\r\n") ==
                  progress::kFault);
      BOOST_CHECK(other.reader_.Fault() == http1_fault::kMalformed);
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusesAHeadThatIsTooLarge) {
  const std::string large(kMaxHead, 'a');
  BOOST_CHECK(Read("GET / HTTP/1.1\r\nHost: x\r\nA: " + large) ==
              progress::kFault);
  BOOST_CHECK(reader_.Fault() == http1_fault::kHeadTooLarge);
}

BOOST_AUTO_TEST_CASE(TakesAnOfferOfAnotherProtocolAsARequest) {
  BOOST_CHECK(Read("GET / HTTP/1.1\r\nHost: x\r\nConnection: "
                   "Upgrade\r\nUpgrade: h2c\r\n\r\n") ==
              progress::kMessageComplete);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(answers, answer_fixture)

BOOST_AUTO_TEST_CASE(ReadsAnAnswerAndLeavesASecondOne) {
  BOOST_CHECK(Read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 ") ==
              progress::kMessageComplete);
  BOOST_TEST(seen_.body == "ok");
  BOOST_TEST(Left() == 9u);
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthEndsWithItsConnection) {
  BOOST_CHECK(Read("HTTP/1.1 200 OK\r\n\r\nabc") == progress::kNeedsMore);
  BOOST_TEST(reader_.CompletesAtEnd());
}

BOOST_AUTO_TEST_CASE(AnAnswerThatBreaksOffDoesNotCompleteAtTheEnd) {
  BOOST_CHECK(Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") ==
              progress::kNeedsMore);
  BOOST_TEST(!reader_.CompletesAtEnd());
}

BOOST_AUTO_TEST_CASE(PassesOverInterimAnswers) {
  BOOST_CHECK(Read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No "
                   "Content\r\n\r\n") == progress::kMessageComplete);
  BOOST_REQUIRE(seen_.heads.size() == 1u);
  BOOST_TEST(seen_.heads[0].status == 204);
}

// Guards against a head that is short in bytes and long in memory.
BOOST_AUTO_TEST_CASE(RefusesAHeadOfTooManyHeaders) {
  const auto read = [](int headers) {
    std::string head = "HTTP/1.1 204 No Content\r\n";
    for (int i = 0; i < headers; ++i) head += "a: b\r\n";
    answer_fixture other;
    const progress made = other.Read(head + "\r\n");
    return std::pair(made, other.reader_.Fault());
  };
  BOOST_CHECK(read(30) ==
              std::pair(progress::kMessageComplete, http1_fault::kNone));
  BOOST_CHECK(read(31) ==
              std::pair(progress::kFault, http1_fault::kHeadTooLarge));
}

BOOST_AUTO_TEST_CASE(TheAnswerToHeadHasNoBody) {
  reader_.ExpectNoBody();
  BOOST_CHECK(Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n") ==
              progress::kMessageComplete);
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoAnswerAreAFault) {
  BOOST_CHECK(Read("\x16\x03\x01 nonsense\r\n\r\n") == progress::kFault);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
