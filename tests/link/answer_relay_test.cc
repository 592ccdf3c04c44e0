#include "citron/link/answer_relay.h"

#include <boost/test/unit_test.hpp>
#include <trompeloeil.hpp>

namespace citron {
namespace {

using trompeloeil::_;

class mock_exchange : public trompeloeil::mock_interface<http_exchange> {
 public:
  IMPLEMENT_CONST_MOCK0(Request);
  IMPLEMENT_CONST_MOCK0(ShareRequest);
  IMPLEMENT_CONST_MOCK0(PeerAddress);
  IMPLEMENT_MOCK1(Reply);
  IMPLEMENT_MOCK1(StartReply);
  IMPLEMENT_MOCK1(StartPassedReply);
  IMPLEMENT_MOCK1(SendBody);
  IMPLEMENT_MOCK0(FinishBody);
  IMPLEMENT_MOCK0(Abort);
  IMPLEMENT_CONST_MOCK0(PendingBytes);
  IMPLEMENT_MOCK1(OnDrained);
  IMPLEMENT_MOCK1(OnGone);
};

class relay_fixture {
 public:
  relay_fixture() {
    ALLOW_CALL(asker_, OnGone(_)).LR_SIDE_EFFECT(hang_up_ = _1);
    ALLOW_CALL(asker_, OnDrained(_));
    relay_ = std::make_unique<answer_relay>(asker_, [this] { ++gone_; });
  }

  mock_exchange asker_;
  std::function<void()> hang_up_;
  int gone_ = 0;
  std::unique_ptr<answer_relay> relay_;
};

BOOST_FIXTURE_TEST_SUITE(relays, relay_fixture)

BOOST_AUTO_TEST_CASE(AnswerIsPassedOnInOrder) {
  trompeloeil::sequence order;
  REQUIRE_CALL(asker_, StartReply(_)).WITH(_1.status == 200).IN_SEQUENCE(order);
  REQUIRE_CALL(asker_, SendBody("ab")).IN_SEQUENCE(order);
  REQUIRE_CALL(asker_, SendBody("c")).IN_SEQUENCE(order);
  REQUIRE_CALL(asker_, FinishBody()).IN_SEQUENCE(order);
  relay_->Start({200, {}});
  relay_->Body("ab");
  relay_->Body("c");
  BOOST_TEST(relay_->BodyBytes() == 3u);
  relay_->Finish();
  BOOST_TEST(!relay_->IsOpen());
}

// A head that is passed on counts as the beginning of the answer: no other
// answer may follow it, and its body is let through.
BOOST_AUTO_TEST_CASE(PassedHeadBeginsTheAnswer) {
  const http_response_head head{201, {{"A", "1"}}};
  const http_headers added = {{"B", "2"}};
  REQUIRE_CALL(asker_, StartPassedReply(_))
      .LR_WITH(&_1.from == &head && &_1.added == &added);
  REQUIRE_CALL(asker_, SendBody("ab"));
  REQUIRE_CALL(asker_, FinishBody());
  relay_->StartPassed({head, [](std::string_view) { return true; }, added});
  BOOST_TEST(relay_->IsStarted());
  relay_->Body("ab");
  relay_->Finish();
}

// The asker hung up while the head was on its way.
BOOST_AUTO_TEST_CASE(PassedHeadIsDroppedAfterAHangUp) {
  const http_response_head head{200, {}};
  hang_up_();
  relay_->StartPassed({head, [](std::string_view) { return true; }, {}});
  BOOST_TEST(!relay_->IsStarted());
}

// The source is lost in the middle of the body. The asker sees a broken
// answer, and nothing is sent after it.
BOOST_AUTO_TEST_CASE(BrokenAnswerIsNeverFinished) {
  REQUIRE_CALL(asker_, StartReply(_));
  REQUIRE_CALL(asker_, SendBody(_));
  REQUIRE_CALL(asker_, Abort());
  relay_->Start({200, {}});
  relay_->Body("ab");
  relay_->Break();
  relay_->Body("c");
  relay_->Finish();
  relay_->Reply({{503, {}}, ""});
}

// The asker hangs up. It is told once, and nothing is sent to it any more.
BOOST_AUTO_TEST_CASE(NothingIsSentAfterAHangUp) {
  REQUIRE_CALL(asker_, StartReply(_));
  relay_->Start({200, {}});
  hang_up_();
  BOOST_TEST(gone_ == 1);
  BOOST_TEST(!relay_->IsOpen());
  relay_->Body("ab");
  relay_->Finish();
  relay_->Break();
}

BOOST_AUTO_TEST_CASE(BodyWithoutAHeadIsDropped) {
  relay_->Body("ab");
  BOOST_TEST(!relay_->IsStarted());
  BOOST_TEST(relay_->BodyBytes() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
