#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "node/node_fixture.h"

namespace citron {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
// A quarter of it may be held for requests.
constexpr std::size_t kMemoryLimit = kMegabyte;
constexpr std::size_t kPartOfABody = 10 * kKilobyte;

scripted_answer Good(const std::string& request) {
  return {GoodAnswer(request, "whole"), false};
}

std::string Text(std::size_t size) {
  std::string text;
  for (int i = 0; text.size() < size; ++i) {
    text += fmt::format("{:08x}", i * 2654435761u);
  }
  return text;
}

class held_bytes_fixture : public node_fixture {
 public:
  // Callers whose bodies have begun to come and don't end.
  void Hold(std::size_t bytes) {
    const std::string body(kPartOfABody, 'b');
    for (std::size_t held = 0; held < bytes; held += kPartOfABody) {
      holders_.push_back(std::make_unique<raw_caller>(settings_.callers));
      const std::string text = Request("POST", "/book/1", "", body + "end");
      holders_.back()->Send(text.substr(0, text.size() - 3));
    }
    BOOST_REQUIRE(RunUntil([&] { return Gauge("held_bytes") >= bytes; }));
  }
  std::string Post(std::size_t body_bytes, const char* target = "/book/2") {
    return Ask(Request("POST", target, "", std::string(body_bytes, 'b')));
  }

  std::vector<std::unique_ptr<raw_caller>> holders_;
};

BOOST_FIXTURE_TEST_SUITE(held_bytes, held_bytes_fixture)

// Guards against a VM that takes bodies until it is killed for its memory.
BOOST_AUTO_TEST_CASE(AtTheLimitOnlyLargeBodiesAreRejected) {
  settings_.memory_limit_bytes = kMemoryLimit;
  scripted_upstream& upstream = AddUpstream("u1", Good);
  codec_.upstreams["u1"].slots = 40;
  Start();
  Hold(kMemoryLimit / 4);
  const std::string large = Post(40 * kKilobyte);
  BOOST_TEST(StatusOf(large) == "503");
  BOOST_TEST(large.find("not_run") != std::string::npos);
  BOOST_TEST(!HeaderIn(large, "Retry-After").empty());
  BOOST_TEST(upstream.Requests().empty());
  BOOST_TEST(StatusOf(Post(kKilobyte)) == "200");
  for (const auto& holder : holders_) holder->Send("end");
  for (const auto& holder : holders_) {
    BOOST_TEST(StatusOf(Wait(*holder)) == "200");
  }
  BOOST_TEST(StatusOf(Post(40 * kKilobyte)) == "200");
}

// Guards against a limit of its own where the settings name none.
BOOST_AUTO_TEST_CASE(WithoutALimitLargeBodiesAreHeld) {
  AddUpstream("u1", Good);
  Start();
  Hold(kMemoryLimit / 4);
  BOOST_TEST(StatusOf(Post(200 * kKilobyte)) == "200");
  BOOST_TEST(!HasLine("event=streamed_early"));
}

// Guards against bodies and answers that are held where there is little room,
// and against bytes that are lost when they go on early.
BOOST_AUTO_TEST_CASE(AboveHalfTheLimitBytesGoOnAsTheyCome) {
  settings_.memory_limit_bytes = kMemoryLimit;
  AddRoute("send", "/send/", repetition::kUpload);
  const std::string text = Text(200 * kKilobyte);
  scripted_upstream& upstream =
      AddUpstream("u1", [&](const std::string& request) {
        return scripted_answer{GoodAnswer(request, text), false};
      });
  Start();
  Hold(kMemoryLimit / 5);
  raw_caller caller(settings_.callers);
  std::string rest = Request("POST", "/send/1", "", text);
  BOOST_REQUIRE(RunUntil([&] {
    rest.erase(0, caller.SendSome(rest));
    return rest.empty();
  }));
  const std::string answer = Wait(caller);
  BOOST_TEST(answer.ends_with(text));
  BOOST_TEST(upstream.Requests().at(0).ends_with(text));
  BOOST_TEST(HasLine("what=body"));
  BOOST_TEST(HasLine("what=answer"));
}

// Guards against an upload that is sent again after a part of it went out.
BOOST_AUTO_TEST_CASE(AnUploadReachesOneUpstream) {
  AddRoute("send", "/send/", repetition::kUpload);
  int seen = 0;
  const auto dies = [&seen](const std::string&) {
    ++seen;
    return scripted_answer{"", true};
  };
  AddUpstream("u1", dies);
  AddUpstream("u2", dies);
  Start();
  const std::string answer = Post(20 * kKilobyte, "/send/1");
  BOOST_TEST(StatusOf(answer) == "502");
  BOOST_TEST(answer.find("may_have_run") != std::string::npos);
  BOOST_TEST(seen == 1);
}

// Guards against an answer that gathers for a slow caller, and against other
// callers who wait for it.
BOOST_AUTO_TEST_CASE(ASlowCallerFillsNoMemory) {
  const std::string text = Text(24 * kMegabyte);
  AddUpstream("u1", [&](const std::string& request) {
    return request.starts_with("POST")
               ? Good(request)
               : scripted_answer{GoodAnswer(request, text), false};
  });
  Start();
  raw_caller slow(settings_.callers);
  slow.Send(Request("GET", "/look/1"));
  for (int i = 0; i < 20; ++i) BOOST_TEST(StatusOf(Post(10)) == "200");
  const std::string answer = Wait(slow);
  BOOST_TEST(answer.ends_with(text));
  BOOST_REQUIRE(RunUntil([&] { return Gauge("held_peak_bytes") > 0; }));
  BOOST_TEST(Gauge("held_peak_bytes") < 4 * kMegabyte);
}

// Guards against a slow caller's answer that its upstream cuts and that would
// look whole.
BOOST_AUTO_TEST_CASE(ASlowCallerSeesThatItsAnswerBroke) {
  const std::string text = Text(3 * kMegabyte);
  AddUpstream("u1", [&](const std::string& request) {
    std::string whole = GoodAnswer(request, text);
    whole.resize(whole.size() - 1);
    return scripted_answer{whole, true};
  });
  Start();
  const std::string answer = Ask(Request("GET", "/look/1"));
  BOOST_TEST(!IsWhole(answer));
  BOOST_TEST(HasLine("outcome=connection_lost"));
}

// Guards against a caller whose end isn't seen while its body has to wait for a
// slow upstream, and against a body that gathers meanwhile.
BOOST_AUTO_TEST_CASE(ACallerThatWaitsForASlowUpstreamMayLeave) {
  routing_.routes[1].timeout = FromSeconds(60);
  scripted_upstream& upstream = AddUpstream("u1", Good);
  upstream.StopReading();
  Start();
  std::size_t sent = 0;
  {
    raw_caller caller(settings_.callers);
    caller.ResetAtEnd();
    caller.Send(
        "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 7\r\n"
        "Authorization: Bearer key1\r\nContent-Length: 60000000\r\n\r\n");
    const std::string piece(64 * kKilobyte, 'b');
    int turns_without = 0;
    BOOST_REQUIRE(RunUntil([&] {
      const std::size_t before = sent;
      while (const std::size_t taken = caller.SendSome(piece)) sent += taken;
      turns_without = sent > before ? 0 : turns_without + 1;
      return turns_without > 10;
    }));
    BOOST_TEST(caller.Received() == "");
    BOOST_TEST(sent < 60000000u);
  }
  BOOST_TEST(RunUntil([&] { return HasLine("outcome=caller_gone"); }));
  BOOST_REQUIRE(RunUntil([&] { return Gauge("held_peak_bytes") > 0; }));
  BOOST_TEST(Gauge("held_peak_bytes") < kMegabyte);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
