#include "citron/node/tunnel_messages.h"

#include <event2/buffer.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

namespace citron {
namespace {

class head_keeper : public http1_listener {
 public:
  void OnHead(http1_head head) override { head_ = std::move(head); }
  void OnBody(std::string_view) override {}
  const http1_head& Head() const { return *head_; }

 private:
  std::optional<http1_head> head_;
};

http1_head Read(http1_reader::direction what, const std::string& text) {
  head_keeper keeper;
  http1_reader reader(what, 4096, keeper);
  evbuffer* input = evbuffer_new();
  evbuffer_add(input, text.data(), text.size());
  BOOST_CHECK(reader.Read(input) == http1_reader::progress::kMessageComplete);
  // What follows is the upstream's.
  BOOST_TEST(evbuffer_get_length(input) == 0u);
  evbuffer_free(input);
  return keeper.Head();
}

http1_head ReadRequest(const std::string& text) {
  return Read(http1_reader::direction::kRequests, text);
}

const tunnel_request kRequest{upstream_id("u1"), {"10.0.0.1", 80}};

BOOST_AUTO_TEST_CASE(ARequestIsReadAsItWasWritten) {
  const result<tunnel_request> read = ReadTunnelRequest(
      ReadRequest(MakeTunnelRequest(kRequest, "secret")), "secret");
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(ValueOf(read).upstream.Str() == "u1");
  BOOST_TEST(ValueOf(read).address.Str() == "10.0.0.1:80");
}

// Guards against a request that was changed on its way.
BOOST_AUTO_TEST_CASE(TheSealCoversUpstreamAndAddress) {
  const std::string text = MakeTunnelRequest(kRequest, "secret");
  std::string other = text;
  other.replace(other.find("u1"), 2, "u2");
  BOOST_TEST(!IsOk(ReadTunnelRequest(ReadRequest(other), "secret")));
  other = text;
  other.replace(other.find("10.0.0.1"), 8, "10.0.0.2");
  BOOST_TEST(!IsOk(ReadTunnelRequest(ReadRequest(other), "secret")));
  BOOST_TEST(!IsOk(ReadTunnelRequest(ReadRequest(text), "")));
  BOOST_TEST(!IsOk(ReadTunnelRequest(ReadRequest(text), "guess")));
}

BOOST_AUTO_TEST_CASE(AnAnswerCarriesItsStatus) {
  for (const int status : {kTunnelOpen, kTunnelUnsealed, kTunnelUpstreamRefused,
                           kTunnelUnavailable, kTunnelUpstreamTimedOut}) {
    BOOST_TEST(Read(http1_reader::direction::kAnswers, MakeTunnelAnswer(status))
                   .status == status);
  }
}

}  // namespace
}  // namespace citron
