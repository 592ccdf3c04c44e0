#include <boost/test/unit_test.hpp>
#include <string>

#include "node/node_fixture.h"

namespace citron {
namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: ";

enum class framing { kLength, kChunks, kNone };
enum class ending { kClose, kReset };

class broken_answer_fixture : public node_fixture {
 public:
  static std::string WholeAnswer(const std::string& request, framing how) {
    const std::string head = kHead + HeaderIn(request, "X-Id") + "\r\n";
    switch (how) {
      case framing::kLength:
        return head + "Content-Length: 10\r\n\r\n0123456789";
      case framing::kChunks:
        return head +
               "Transfer-Encoding: chunked\r\n\r\n"
               "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n";
      case framing::kNone:
        return head + "\r\n0123456789";
    }
    return head;
  }

  // Answers of each length up to the whole one, but for those that end with
  // the connection and have their head.
  void BreakOffEverywhere(framing how, ending end) {
    std::size_t kept = 0;
    AddUpstream("u1", [&](const std::string& request) {
      scripted_answer answer;
      answer.bytes = WholeAnswer(request, how).substr(0, kept);
      answer.close = true;
      answer.reset = end == ending::kReset;
      return answer;
    });
    Start();
    const std::string whole = WholeAnswer("\r\nX-Id: 100\r\n", how);
    const std::size_t head = whole.find("\r\n\r\n") + 4;
    const bool ends_unseen = how == framing::kNone && end == ending::kClose;
    const std::size_t most = ends_unseen ? head : whole.size();
    for (kept = 0; kept < most; ++kept) {
      const std::string answer =
          Ask(Request("POST", fmt::format("/book/{}", kept), "", "order"));
      BOOST_TEST(StatusOf(answer) == "502",
                 "broken off after " << kept << ": " << answer);
    }
    BOOST_TEST(upstreams_[0]->Requests().size() == most);
  }
};

BOOST_FIXTURE_TEST_SUITE(broken_answer, broken_answer_fixture)

// Guards against the beginning of an answer that is passed on as a whole one.
BOOST_AUTO_TEST_CASE(WithALength) {
  BreakOffEverywhere(framing::kLength, ending::kClose);
}
BOOST_AUTO_TEST_CASE(WithALengthByAReset) {
  BreakOffEverywhere(framing::kLength, ending::kReset);
}
BOOST_AUTO_TEST_CASE(InChunks) {
  BreakOffEverywhere(framing::kChunks, ending::kClose);
}
BOOST_AUTO_TEST_CASE(InChunksByAReset) {
  BreakOffEverywhere(framing::kChunks, ending::kReset);
}
BOOST_AUTO_TEST_CASE(WithoutALength) {
  BreakOffEverywhere(framing::kNone, ending::kClose);
}
BOOST_AUTO_TEST_CASE(WithoutALengthByAReset) {
  BreakOffEverywhere(framing::kNone, ending::kReset);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
