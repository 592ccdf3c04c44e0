#include "citron/net/peer_socket.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "net/loop_fixture.h"

namespace citron {
namespace {

peer_socket_options Options(const std::string& name) {
  peer_socket_options options;
  options.name = name;
  options.secret = "a secret of the fleet";
  options.listen = {"127.0.0.1", 0};
  return options;
}

std::unique_ptr<peer_socket> Open(event_loop& loop,
                                  const peer_socket_options& options,
                                  peer_socket::on_message handler) {
  auto made = peer_socket::Make(loop, options, std::move(handler));
  BOOST_REQUIRE(IsOk(made));
  return std::move(ValueOf(made));
}

BOOST_FIXTURE_TEST_SUITE(peers, loop_fixture)

BOOST_AUTO_TEST_CASE(MessagesArriveInOrder) {
  std::vector<std::string> received;
  auto receiver = Open(Loop(), Options("a"), [&](const envelope& message) {
    received.push_back(message.sender + message.body);
  });
  auto sender = Open(Loop(), Options("b"), [](const envelope&) {});
  int sent = 0;
  BOOST_REQUIRE(RunUntil([&] {
    if (sent < 20 &&
        sender->Send(receiver->Address(), 1, std::to_string(sent))) {
      ++sent;
    }
    return received.size() == 20;
  }));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(received[static_cast<std::size_t>(i)] ==
               "b" + std::to_string(i));
  }
}

// A stranger on the network who does not know the secret sends messages to a
// daemon. None may reach the daemon's state.
BOOST_AUTO_TEST_CASE(StrangersAreDropped) {
  std::vector<std::string> received;
  auto receiver = Open(Loop(), Options("a"), [&](const envelope& message) {
    received.push_back(message.body);
  });
  peer_socket_options stranger_options = Options("stranger");
  stranger_options.secret = "a guess";
  auto stranger = Open(Loop(), stranger_options, [](const envelope&) {});
  auto friendly = Open(Loop(), Options("b"), [](const envelope&) {});
  BOOST_REQUIRE(RunUntil(
      [&] { return stranger->Send(receiver->Address(), 1, "forged"); }));
  BOOST_REQUIRE(
      RunUntil([&] { return friendly->Send(receiver->Address(), 1, "true"); }));
  BOOST_REQUIRE(RunUntil([&] { return !received.empty(); }));
  BOOST_TEST(received.front() == "true");
}

BOOST_AUTO_TEST_CASE(SendToNobodyDoesNotWait) {
  auto sender = Open(Loop(), Options("b"), [](const envelope&) {});
  bool refused = false;
  for (int i = 0; i < 1000 && !refused; ++i) {
    refused = !sender->Send({"127.0.0.1", 1}, 1, "lost");
  }
  BOOST_TEST(refused);
}

// The two ends run on threads of their own; all that crosses is messages.
BOOST_AUTO_TEST_CASE(TasksOnTwoThreadsTalkByMessages) {
  auto other_loop = event_loop::Make();
  std::unique_ptr<peer_socket> echo;
  echo = Open(*other_loop, Options("echo"), [&](const envelope& message) {
    const auto reply_to = ParseEndpoint(message.body);
    if (reply_to) echo->Send(*reply_to, message.type + 1, "pong");
  });
  int pongs = 0;
  auto caller = Open(Loop(), Options("caller"), [&](const envelope& message) {
    if (message.type == 8) ++pongs;
  });
  const endpoint echo_address = echo->Address();
  std::thread other([&] { other_loop->Run(); });
  const bool ok = RunUntil([&] {
    caller->Send(echo_address, 7, caller->Address().Str());
    return pongs > 0;
  });
  other_loop->Post([&] { other_loop->Stop(); });
  other.join();
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(PostedWorkRunsInOrderOnTheLoop) {
  auto loop = event_loop::Make();
  std::vector<int> order;
  std::thread other([&] {
    for (int i = 0; i < 100; ++i) loop->Post([&, i] { order.push_back(i); });
    loop->Post([&] { loop->Stop(); });
  });
  loop->Run();
  other.join();
  BOOST_REQUIRE(order.size() == 100u);
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(order[static_cast<std::size_t>(i)] == i);
  }
}

}  // namespace
}  // namespace citron
