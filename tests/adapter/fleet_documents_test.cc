#include "platform/fleet_documents.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron::platform {
namespace {

constexpr char kDeclaration[] =
    R"({"version":7,"routes":{"columns":["name","host",
"pathPrefix","routeType","timeoutS","targetLatencyS","priority","weightedServices",
"attempts","public","stickySessions","allowedRegions","service"],"rows":[
["r1","a.example","/x/","idempotent",2,0.5,2,[{"service":"s1","weight":90},
{"service":"s2","weight":10}],2,false,true,["north"],null],
["r2","b.example","/y/","non_idempotent",2.5,0.6,1,null,3,true,false,[],"s3"],
["r3","b.example","/z/","download",2.5,null,1,null,2,false,false,[],"s3"]]},
"services":{"columns":["name","healthPath","maxConnections","coldStartS","coldPerS"],
"rows":[["s1","/health",360,3.0,5.9]]},
"limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutS":3,"idleTimeoutS":15},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst","allowedRegions"],
"rows":[["depot",["k1","k2"],1,141,70,["south"]]]},"baseVersion":5})";

constexpr char kEntry[] =
    R"({"address":"10.128.0.9:8080","born":1700000000000,"info":{"service":"s1",
"version":"v1","zone":"n-a","slots":4},"status":{"state":"draining","seq":4,
"coldRemainingS":1.5}})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

bool IsRead(const std::string& entry) {
  return IsOk(fleet_documents().ReadUpstream(upstream_id("u"), entry));
}

// Guards against large bodies that take another path than those that run once.
BOOST_AUTO_TEST_CASE(UploadsAreTheirOwnKind) {
  const result<routing_config> read = fleet_documents().ReadRouting(
      Replaced(kDeclaration, "non_idempotent", "upload"));
  BOOST_REQUIRE(IsOk(read));
  BOOST_CHECK(ValueOf(read).MatchRoute("b.example", "/y/1")->repeats ==
              repetition::kUpload);
}

// Guards against an entry of another writer that ends the VM or names an
// upstream that can't be one.
BOOST_AUTO_TEST_CASE(OddEntriesNameNoUpstream) {
  constexpr int kDepth = 200'000;
  const std::string deep(kDepth, '[');
  BOOST_REQUIRE(IsRead(kEntry));
  for (const char* address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999",
        "10.0.0.1", "0.0.0.0:80", "[::1]:80", "a:80"}) {
    BOOST_TEST(!IsRead(Replaced(kEntry, "10.128.0.9:8080", address)), address);
  }
  for (const char* number : {"1e999", "1e300", "-1e300", "1e18"}) {
    BOOST_TEST(!IsRead(Replaced(kEntry, "1.5}", std::string(number) + "}")),
               number);
  }
  for (const char* number :
       {"18446744073709551615", "1e300", "99999999999999999999999"}) {
    BOOST_TEST(!IsRead(Replaced(kEntry, "1700000000000", number)), number);
    BOOST_TEST(!IsRead(Replaced(kEntry, "\"slots\":4",
                                std::string("\"slots\":") + number)),
               number);
  }
  BOOST_TEST(!IsRead(deep));
  BOOST_TEST(!IsRead(deep + std::string(kDepth, ']')));
  BOOST_TEST(!IsRead(Replaced(
      kEntry, "1.5}", "1.5},\"more\":" + deep + std::string(kDepth, ']'))));
}

// Guards against an id that would add headers to the requests to its upstream.
BOOST_AUTO_TEST_CASE(AnIdThatIsNoTokenNamesNoUpstream) {
  for (const char* id : {"", "i 1", "i\r\nX-Tenant-Id: other", "i\x7f"}) {
    BOOST_TEST(!IsOk(fleet_documents().ReadUpstream(upstream_id(id), kEntry)));
  }
}

BOOST_AUTO_TEST_CASE(KeysAreToldApart) {
  const fleet_documents codec;
  BOOST_CHECK(codec.ReadKey("op/config").kind == store_key_kind::kRouting);
  BOOST_CHECK(codec.ReadKey("op/evacuate/n-a").kind ==
              store_key_kind::kClosedZone);
  BOOST_TEST(codec.ReadKey("op/evacuate/n-a").name == "n-a");
  BOOST_CHECK(codec.ReadKey("servers/i-1").kind == store_key_kind::kUpstream);
  BOOST_CHECK(codec.ReadKey(codec.VmKey(vm_id("vm1"))).kind ==
              store_key_kind::kVm);
  BOOST_CHECK(codec.ReadKey("op/other").kind == store_key_kind::kOther);
}

BOOST_AUTO_TEST_CASE(ReadsADeclaration) {
  const result<routing_config> read =
      fleet_documents().ReadRouting(kDeclaration);
  BOOST_REQUIRE(IsOk(read));
  const routing_config& config = ValueOf(read);
  BOOST_TEST(config.version == 7u);
  const route_config* first = config.MatchRoute("a.example", "/x/1");
  BOOST_REQUIRE(first != nullptr);
  BOOST_CHECK(first->repeats == repetition::kIdempotent);
  BOOST_CHECK(first->timeout == FromSeconds(2));
  BOOST_TEST(first->services.size() == 2u);
  BOOST_TEST(first->services[1].weight == 10);
  BOOST_TEST(first->homes.contains(region_id("north")));
  BOOST_TEST(first->needs_key);
  BOOST_TEST(first->has_affinity);
  const route_config* second = config.MatchRoute("b.example", "/y/");
  BOOST_REQUIRE(second != nullptr);
  BOOST_CHECK(second->repeats == repetition::kOnce);
  BOOST_TEST(!second->needs_key);
  BOOST_TEST(second->services.at(0).service.Str() == "s3");
  BOOST_CHECK(config.MatchRoute("b.example", "/z/")->repeats ==
              repetition::kDownload);
  BOOST_TEST(config.FindWorkspace("k2")->rate_per_s == 141);
  BOOST_TEST(config.FindService(service_id("s1"))->cold_rate_per_s == 5.9);
  BOOST_TEST(config.limits.max_head_bytes == 1000u);
}

// Without a list of workspaces nobody can show a key.
BOOST_AUTO_TEST_CASE(WithoutWorkspacesNoRouteNeedsAKey) {
  const result<routing_config> read = fleet_documents().ReadRouting(
      Replaced(kDeclaration, "\"tenants\"", "\"others\""));
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(!ValueOf(read).routes[0].needs_key);
}

BOOST_AUTO_TEST_CASE(ADeclarationThatCantBeReadGivesAnError) {
  for (const char* text : {"", "[]", "{}", "nonsense", R"({"version":"x"})",
                           R"({"version":1,"routes":[]})",
                           R"({"version":1,"routes":{"columns":["name"],
                               "rows":[["a","b"]]}})"}) {
    BOOST_TEST(!IsOk(fleet_documents().ReadRouting(text)));
  }
}

BOOST_AUTO_TEST_CASE(ReadsAnEntry) {
  const result<upstream_record> read =
      fleet_documents().ReadUpstream(upstream_id("i-1"), kEntry);
  BOOST_REQUIRE(IsOk(read));
  const upstream_record& record = ValueOf(read);
  BOOST_TEST(record.id.Str() == "i-1");
  BOOST_TEST(record.address.Str() == "10.128.0.9:8080");
  BOOST_TEST(record.slots == 4);
  BOOST_TEST(record.draining);
  BOOST_CHECK(record.cold_left == FromSeconds(1.5));
  BOOST_TEST(record.born_ms == 1700000000000);
}

// An entry may come from another writer. It names no upstream to use.
BOOST_AUTO_TEST_CASE(AnEntryThatIsNotRightNamesNoUpstream) {
  BOOST_TEST(IsRead(kEntry));
  for (const auto& [from, to] :
       {std::pair("\"draining\"", "\"dreaming\""),
        std::pair("\"slots\":4", "\"slots\":\"4\""),
        std::pair("\"slots\":4", "\"slots\":0"),
        std::pair("\"service\":\"s1\",", ""),
        std::pair("10.128.0.9:8080", "10.128.0.9"), std::pair("\"seq\":4,", ""),
        std::pair("1700000000000", "1.5"), std::pair("\"status\"", "\"st\"")}) {
    BOOST_TEST(!IsRead(Replaced(kEntry, from, to)));
  }
  BOOST_TEST(!IsRead("\xff\xfe"));
  BOOST_TEST(!IsRead("[1]"));
}

}  // namespace
}  // namespace citron::platform
