#include "citron/node/peer_exchange.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "citron/base/digest.h"
#include "citron/node/crash_report.h"
#include "citron/node/peer_datagram.h"
#include "citron/node/peer_report.h"
#include "citron/node/reach_report.h"
#include "citron/node/region_report.h"
#include "citron/node/upstream_signal_report.h"
#include "citron/node/vm_listing.h"
#include "citron/policy/request_fingerprint.h"
#include "citron/wire/codec.h"
#include "node/node_fixture.h"
#include "node/socket_address.h"

namespace citron {
namespace {

scripted_answer Good(const std::string& request) {
  return {GoodAnswer(request, "whole"), false};
}

// The place of another VM, which the test plays.
class peer_socket_of_test {
 public:
  peer_socket_of_test()
      : descriptor_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
    const sockaddr_in any = SocketAddress({"127.0.0.1", 0});
    BOOST_REQUIRE(bind(descriptor_, reinterpret_cast<const sockaddr*>(&any),
                       sizeof(any)) == 0);
  }
  ~peer_socket_of_test() { close(descriptor_); }
  peer_socket_of_test(const peer_socket_of_test&) = delete;
  peer_socket_of_test& operator=(const peer_socket_of_test&) = delete;

  endpoint Address() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    return {"127.0.0.1", ntohs(address.sin_port)};
  }
  template <class T>
  void Tell(const endpoint& to, const T& report) {
    const std::string bytes = EncodeWire(report);
    const sockaddr_in address = SocketAddress(to);
    sendto(descriptor_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
  // The next report that has come; none if there is none.
  std::optional<peer_report> Take() {
    std::array<char, 4096> buffer{};
    const ssize_t got = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (got <= 0) return std::nullopt;
    const result<peer_report> report =
        DecodeWire<peer_report>({buffer.data(), static_cast<std::size_t>(got)});
    BOOST_REQUIRE(IsOk(report));
    return ValueOf(report);
  }
  // The next region report among what has come; none if there is none.
  std::optional<region_report> TakeRegionReport() {
    std::array<char, 4096> buffer{};
    while (true) {
      const ssize_t got = recv(descriptor_, buffer.data(), buffer.size(), 0);
      if (got <= 0) return std::nullopt;
      const result<peer_datagram> read =
          ReadPeerDatagram({buffer.data(), static_cast<std::size_t>(got)});
      BOOST_REQUIRE(IsOk(read));
      if (const auto* report = std::get_if<region_report>(&ValueOf(read))) {
        return *report;
      }
    }
  }

 private:
  int descriptor_;
};

class peer_fixture : public node_fixture {
 public:
  peer_fixture() {
    Start();
    store_.Set("vms/vm2", EncodeVmListing({vm_id("vm2"), zone_id("z1"),
                                           region_id("r1"), peer_.Address(),
                                           peer_.Address(), 10, "secret"}));
    report_.vm = vm_id("vm2");
    report_.incarnation = 1;
  }

  void Tell() {
    ++report_.sequence;
    report_.told_at = static_cast<std::int64_t>(report_.sequence);
    peer_.Tell(settings_.peer, report_);
  }
  // The VM has heard what was told last.
  bool IsHeard() {
    while (const auto report = peer_.Take()) {
      if (report->has_heard == report_.told_at) return true;
    }
    return false;
  }

  peer_socket_of_test peer_;
  peer_report report_;
};

BOOST_FIXTURE_TEST_SUITE(peer_exchange_of_a_vm, peer_fixture)

BOOST_AUTO_TEST_CASE(AReportTellsWhatWasHeardOfItsReader) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  Tell();
  BOOST_TEST(RunUntil([this] { return IsHeard(); }));
  Tell();
  BOOST_TEST(RunUntil([this] { return IsHeard(); }));
}

// A VM that the others don't tell any more takes a flood at itself for callers
// who moved there, since it knows nothing of the rest.
BOOST_AUTO_TEST_CASE(AVmThatTellsIsToldAfterItsRecordLapsed) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  Tell();
  BOOST_REQUIRE(RunUntil([this] { return IsHeard(); }));
  store_.Erase("vms/vm2");
  BOOST_REQUIRE(RunUntil([this] { return HasLine("event=vm_gone vm=vm2"); }));
  Tell();
  BOOST_TEST(RunUntil([this] { return IsHeard(); }));
}

// Anybody can write a datagram; only VMs that were listed get an answer.
BOOST_AUTO_TEST_CASE(AVmThatWasNeverListedIsToldNothing) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  peer_socket_of_test stranger;
  peer_report report = report_;
  report.vm = vm_id("vm3");
  report.sequence = 1;
  stranger.Tell(settings_.peer, report);
  Tell();
  BOOST_REQUIRE(RunUntil([this] { return IsHeard(); }));
  Tell();
  BOOST_REQUIRE(RunUntil([this] { return IsHeard(); }));
  BOOST_TEST(!stranger.Take().has_value());
}

// Guards against a stranger who keeps callers away from a VM, or starves a
// workspace, with reports in the VM's name.
BOOST_AUTO_TEST_CASE(AReportInAListedVmsNameIsRefused) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  Tell();
  BOOST_REQUIRE(RunUntil([this] { return IsHeard(); }));
  peer_socket_of_test stranger;
  peer_report report = report_;
  report.sequence += 100;
  stranger.Tell(settings_.peer, report);
  BOOST_REQUIRE(
      RunUntil([this] { return HasLine("event=report_refused vm=vm2"); }));
  Tell();
  BOOST_TEST(RunUntil([this] { return IsHeard(); }));
}

// Guards against a VM's memory that strangers fill with VMs that don't exist.
BOOST_AUTO_TEST_CASE(VmsThatAreNotListedAreBounded) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  peer_socket_of_test stranger;
  peer_report report = report_;
  report.sequence = 1;
  int told = 0;
  BOOST_REQUIRE(RunUntil([&] {
    // A socket buffer holds so many.
    for (int i = 0; i < 50; ++i) {
      report.vm = vm_id(fmt::format("none{}", ++told));
      stranger.Tell(settings_.peer, report);
    }
    return HasLine("event=report_refused vm=none");
  }));
  BOOST_TEST(told < 2000);
  Tell();
  BOOST_TEST(RunUntil([this] { return IsHeard(); }));
}

// Guards against a request that crashes a third upstream at this VM after two
// others at another one, and against a stranger who gets requests refused.
BOOST_AUTO_TEST_CASE(OnlyAListedVmTellsOfCrashes) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  const std::uint64_t fingerprint =
      RequestFingerprint(workspace_id("depot"), "GET", "/look/1", "");
  const crash_report crashes{vm_id("vm2"),
                             {{fingerprint, upstream_id("u1"), 0},
                              {fingerprint, upstream_id("u2"), 0}}};
  peer_socket_of_test stranger;
  stranger.Tell(settings_.peer, crashes);
  BOOST_REQUIRE(RunUntil([this] { return HasLine("crash_report_refused"); }));
  BOOST_TEST(!HasLine("event=convicted"));
  peer_.Tell(settings_.peer, crashes);
  BOOST_REQUIRE(RunUntil([this] { return HasLine("event=convicted"); }));
  const std::string answer = Ask(Request("GET", "/look/1"));
  BOOST_TEST(StatusOf(answer) == "503");
  BOOST_TEST(answer.find("poison") != std::string::npos);
  BOOST_TEST(!HeaderIn(answer, "Retry-After").empty());
}

// Guards against a stranger who sends all objects to one upstream.
BOOST_AUTO_TEST_CASE(OnlyAListedVmTellsOfPlacements) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  const region_report report{vm_id("vm2"), {{7, upstream_id("u1")}}, {}};
  peer_socket_of_test stranger;
  stranger.Tell(settings_.peer, report);
  BOOST_TEST(RunUntil([this] { return HasLine("region_report_refused"); }));
}

// Guards against a VM that begins to serve callers and runs all objects cold
// at upstreams of its own choice.
BOOST_AUTO_TEST_CASE(AVmThatBeginsToServeIsToldThePlacements) {
  AddUpstream("u1", Good);
  BOOST_REQUIRE(RunUntil(
      [this] { return StatusOf(Ask(Request("GET", "/look/1"))) == "200"; }));
  while (peer_.Take()) continue;
  report_.quotas.push_back({workspace_id("depot"), 10, 1});
  Tell();
  std::optional<region_report> told;
  BOOST_REQUIRE(RunUntil([&] {
    told = peer_.TakeRegionReport();
    return told && !told->placements.empty();
  }));
  BOOST_TEST(told->placements[0].upstream.Str() == "u1");
}

// Guards against an object that runs at several upstreams, since VMs weigh them
// differently.
BOOST_AUTO_TEST_CASE(RequestsFollowThePlacementOfAnotherVm) {
  scripted_upstream* upstreams[] = {&AddUpstream("u1", Good),
                                    &AddUpstream("u2", Good)};
  BOOST_REQUIRE(RunUntil([this] {
    return HasLine("event=upstream_ready upstream=u1") &&
           HasLine("event=upstream_ready upstream=u2");
  }));
  Ask(Request("GET", "/look/1"));
  const bool first = !upstreams[0]->Requests().empty();
  scripted_upstream& other = *upstreams[first ? 1 : 0];
  BOOST_REQUIRE(other.Requests().empty());
  const std::uint64_t object = HashBytes("7", HashBytes("look"));
  const upstream_id told(first ? "u2" : "u1");
  BOOST_TEST(RunUntil([&] {
    peer_.Tell(settings_.peer,
               region_report{vm_id("vm2"), {{object, told}}, {}});
    Ask(Request("GET", "/look/1"));
    return !other.Requests().empty();
  }));
}

// Guards against look-ups that name a VM that says that it reaches no upstream,
// against a stranger who says so for it, and against a VM that stays left out
// after its restart.
BOOST_AUTO_TEST_CASE(AVmThatReachesNoUpstreamIsNotNamed) {
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  report_.ready = true;
  const auto is_named = [this] {
    Tell();
    return Page(settings_.lookup, "/lookup?zone=z1&region=r1")
               .find(peer_.Address().Str()) != std::string::npos;
  };
  BOOST_REQUIRE(RunUntil(is_named));
  const reach_report lost{vm_id("vm2"), 1, 100, false};
  peer_socket_of_test stranger;
  stranger.Tell(settings_.peer, lost);
  BOOST_REQUIRE(RunUntil([this] { return HasLine("reach_report_refused"); }));
  BOOST_TEST(is_named());
  peer_.Tell(settings_.peer, lost);
  BOOST_TEST(RunUntil([&] { return !is_named(); }));
  peer_.Tell(settings_.peer, reach_report{vm_id("vm2"), 1, 101, true});
  BOOST_TEST(RunUntil(is_named));
  peer_.Tell(settings_.peer, reach_report{vm_id("vm2"), 1, 102, false});
  BOOST_REQUIRE(RunUntil([&] { return !is_named(); }));
  report_.incarnation = 2;
  BOOST_TEST(RunUntil(is_named));
}

// Guards against requests that go on to an upstream which asked this VM for a
// pause with the answer to another VM's request, against a stranger who says
// so, and against the word to a VM that this one does not send through.
BOOST_AUTO_TEST_CASE(WhatAnUpstreamSaidInATunnelIsKept) {
  scripted_upstream& upstream = AddUpstream("u1", Good);
  BOOST_REQUIRE(RunUntil([this] { return peer_.Take().has_value(); }));
  BOOST_REQUIRE(RunUntil(
      [this] { return StatusOf(Ask(Request("GET", "/look/1"))) == "200"; }));
  const upstream_signal_report told{
      vm_id("vm2"), vm_id("vm1"), upstream_id("u1"), 0, 60000, false};
  peer_socket_of_test stranger;
  stranger.Tell(settings_.peer, told);
  BOOST_REQUIRE(
      RunUntil([this] { return HasLine("upstream_signal_refused"); }));
  upstream_signal_report of_another = told;
  of_another.asked = vm_id("vm3");
  peer_.Tell(settings_.peer, of_another);
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "200");
  peer_.Tell(settings_.peer, told);
  BOOST_REQUIRE(RunUntil([this] { return HasLine("event=signal_told"); }));
  const std::size_t before = upstream.Requests().size();
  BOOST_TEST(StatusOf(Ask(Request("GET", "/look/1"))) == "503");
  BOOST_TEST(upstream.Requests().size() == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
