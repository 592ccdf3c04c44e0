#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "integration/node_fleet.h"

namespace citron {
namespace {

using json = nlohmann::json;

// One VM: settings, declaration, upstreams that announce themselves, requests.
class node_path : public node_fleet {
 public:
  node_path() { PutDeclaration(1, {"key1"}); }

  scripted_upstream& AddUpstream(const std::string& id) {
    return node_fleet::AddUpstream(
        id, [id](const std::string& request) { return Answer(request, id); });
  }
  caller_call Ask(const std::string& key = "key1",
                  const std::string& method = "GET",
                  const std::string& path = "/look/1") {
    return Caller().Call(Callers(1), Request(key, method, path));
  }
  int Status(const std::string& key = "key1") {
    return Ask(key).response.head.status;
  }
};

BOOST_FIXTURE_TEST_SUITE(path, node_path)

BOOST_AUTO_TEST_CASE(ARequestIsServedFromEndToEnd) {
  scripted_upstream& upstream = AddUpstream("u1");
  StartNode();
  const caller_call call = Ask("key1", "POST", "/book/1");
  BOOST_TEST(call.response.head.status == 200);
  BOOST_TEST(call.response.body == "u1");
  BOOST_REQUIRE(upstream.Requests().size() == 1u);
  const std::string& seen = upstream.Requests()[0];
  BOOST_TEST(HeaderIn(seen, "X-Tenant-Id") == "depot");
  BOOST_TEST(HeaderIn(seen, "X-Target-Instance") == "u1");
  BOOST_TEST(HeaderIn(seen, "Authorization").empty());
  BOOST_TEST(seen.ends_with("order"));
  BOOST_TEST(Caller().WaitFor([this] {
    const json found = Caller().GetJson(
        At(8209), "/-/resolve?name=a.example&region=r1&zone=z1");
    return found.is_object() && found["addresses"].size() == 1 &&
           found["addresses"][0] == At(8206).Str();
  }));
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyIsRefused) {
  AddUpstream("u1");
  StartNode();
  BOOST_TEST(Status() == 200);
  PutDeclaration(2, {"key2"});
  BOOST_TEST(Caller().WaitFor([this] { return Status() == 401; }));
  BOOST_TEST(Status("key2") == 200);
}

// An upstream announces that it leaves. New requests go to the other one.
BOOST_AUTO_TEST_CASE(ALeavingUpstreamGetsNothingNew) {
  scripted_upstream& leaving = AddUpstream("u1");
  AddUpstream("u2");
  child_process& node = StartNode();
  BOOST_TEST(Status() == 200);
  Announce("u1", leaving.Address(), "draining");
  BOOST_REQUIRE(Caller().WaitFor(
      [&] { return node.HasWritten("event=upstream_draining upstream=u1"); }));
  const std::size_t before = leaving.Requests().size();
  for (int i = 0; i < 20; ++i) BOOST_TEST(Ask().response.body == "u2");
  BOOST_TEST(leaving.Requests().size() == before);
}

// The store is away for longer than a withdrawn key may go on working. The VM
// refuses, says that it isn't ready, and is back with the store, listed anew
// although its lease has lapsed.
BOOST_AUTO_TEST_CASE(AnOutageOfTheStoreEndsInARefusalAndIsRecovered) {
  AddUpstream("u1");
  child_process& node = StartNode();
  BOOST_REQUIRE(Caller().WaitFor([this] { return IsListed(); }));
  SetFault({{"outage", true}});
  BOOST_TEST(Caller().WaitFor([this] { return Status() == 503; }));
  BOOST_TEST(!IsReady());
  BOOST_TEST(node.HasWritten("part=store event=lost"));
  SetFault({{"outage", false}});
  BOOST_TEST(Caller().WaitFor([this] { return Status() == 200; }));
  BOOST_TEST(Caller().WaitFor([this] { return IsListed(); }));
}

// Answers to writes are lost while the VM lists itself. It must be listed all
// the same.
BOOST_AUTO_TEST_CASE(LostAnswersDelayTheListingOnly) {
  AddUpstream("u1");
  SetFault({{"lose_answers", 2}});
  StartNode();
  BOOST_TEST(Caller().WaitFor([this] { return IsListed(); }));
}

BOOST_AUTO_TEST_CASE(APlannedStopLeavesTheListAndEndsWell) {
  AddUpstream("u1");
  child_process& node = StartNode();
  BOOST_REQUIRE(Caller().WaitFor([this] { return IsListed(); }));
  node.Signal(SIGTERM);
  BOOST_TEST(Caller().WaitFor([this] { return !IsListed(); }));
  BOOST_REQUIRE(Caller().WaitFor([&] { return node.Exit().has_value(); }));
  BOOST_TEST(node.Exit()->signal == 0);
  BOOST_TEST(node.Exit()->status == 0);
}

// A setting that can't be right ends the start with one line that names it.
BOOST_AUTO_TEST_CASE(ABadSettingIsNamed) {
  std::string text = Settings();
  text.replace(text.find("maxFds = 4100"), 13, "maxFds = \"x\"");
  child_process& node =
      Start("node", "citron_node",
            {"--check", "--config", WriteFile("bad.toml", text)});
  BOOST_REQUIRE(Caller().WaitFor([&] { return node.Exit().has_value(); }));
  BOOST_TEST(node.Exit()->status == 2);
  BOOST_TEST(node.HasWritten(
      "bad.toml: limits.maxFds is not a whole number from 256 to 1048576"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
