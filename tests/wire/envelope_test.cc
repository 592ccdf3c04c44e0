#include "citron/wire/envelope.h"

#include <boost/test/unit_test.hpp>

namespace citron {
namespace {

envelope Sample() { return {"vm/control/0", 5, 9, "127.0.0.1:7", 3, "body"}; }

BOOST_AUTO_TEST_CASE(SealedMessageOpens) {
  const std::string sealed = SealEnvelope("secret", Sample());
  const auto opened = OpenEnvelope("secret", "127.0.0.1:7", sealed);
  BOOST_REQUIRE(IsOk(opened));
  BOOST_TEST(ValueOf(opened).sender == "vm/control/0");
  BOOST_TEST(ValueOf(opened).sequence == 9u);
  BOOST_TEST(ValueOf(opened).body == "body");
}

// Any byte that was changed or cut on the way must make an error, never
// another message.
BOOST_AUTO_TEST_CASE(ChangedBytesAreRefused) {
  const std::string sealed = SealEnvelope("secret", Sample());
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string changed = sealed;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    BOOST_TEST(!IsOk(OpenEnvelope("secret", "127.0.0.1:7", changed)));
    BOOST_TEST(
        !IsOk(OpenEnvelope("secret", "127.0.0.1:7", sealed.substr(0, i))));
  }
}

// A message recorded on the way to one daemon is played to another.
BOOST_AUTO_TEST_CASE(MessageForAnotherIsRefused) {
  const std::string sealed = SealEnvelope("secret", Sample());
  BOOST_TEST(!IsOk(OpenEnvelope("secret", "127.0.0.2:7", sealed)));
  BOOST_TEST(!IsOk(OpenEnvelope("other", "127.0.0.1:7", sealed)));
}

// A recorded message is played again, or a message of a dead process arrives
// after its successor's first.
BOOST_AUTO_TEST_CASE(RepeatsAreDropped) {
  replay_guard guard;
  envelope message = Sample();
  BOOST_TEST(guard.Accept(message));
  BOOST_TEST(!guard.Accept(message));
  message.sequence = 10;
  BOOST_TEST(guard.Accept(message));
  message.incarnation = 6;
  message.sequence = 1;
  BOOST_TEST(guard.Accept(message));
  message.incarnation = 5;
  message.sequence = 11;
  BOOST_TEST(!guard.Accept(message));
}

}  // namespace
}  // namespace citron
