#include "citron/policy/answer_guard.h"

#include <boost/test/unit_test.hpp>
#include <functional>

namespace citron {
namespace {

constexpr std::size_t kPiece = 4096;
constexpr int kNever = 10'000;

// After how many calls the answer is ended.
int CallsUntilCut(const std::function<bool()>& may_go_on) {
  for (int calls = 1; calls < kNever; ++calls) {
    if (!may_go_on()) return calls;
  }
  return kNever;
}

BOOST_AUTO_TEST_CASE(InterimAnswersEnd) {
  answer_guard guard;
  BOOST_TEST(CallsUntilCut([&] { return guard.OnInterimBytes(kPiece); }) == 17);
}

// Guards against chunks that consist of their framing.
BOOST_AUTO_TEST_CASE(FramingEndsWithoutABodyOnly) {
  answer_guard guard;
  BOOST_TEST(CallsUntilCut([&] { return guard.OnFramingBytes(kPiece); }) == 17);
  guard.Reset();
  BOOST_TEST(CallsUntilCut([&] {
               return guard.OnBodyBytes(kPiece / 16, true) &&
                      guard.OnFramingBytes(kPiece);
             }) == kNever);
}

// Guards against the end of a long answer that its caller reads.
BOOST_AUTO_TEST_CASE(OnlyABodyThatNobodyGetsEnds) {
  answer_guard guard;
  BOOST_TEST(CallsUntilCut([&] { return guard.OnBodyBytes(kPiece, true); }) ==
             kNever);
  BOOST_TEST(CallsUntilCut([&] { return guard.OnBodyBytes(kPiece, false); }) ==
             257);
  guard.Reset();
  BOOST_TEST(guard.OnBodyBytes(kPiece, false));
}

}  // namespace
}  // namespace citron
