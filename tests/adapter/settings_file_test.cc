#include "platform/settings_file.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace citron::platform {
namespace {

constexpr char kSample[] = R"(nodeName = "front-north-1"
zone = "n-a"
region = "north"
internalPorts = [7600,7615]
bounds = ["gracePeriodS=1.5","strictRevocation=false","budgetSlack=44","unheardOf=x"]
futureField = { a = 1 }
[zones]
n-a = "north"
s-a = "south"
[listen]
front = "10.1.0.8:8206"
ready = "10.1.0.8:8201"
directory = "10.1.0.8:8209"
[limits]
memoryMb = 260
maxFds = 4100
[provider]
address = "10.200.1.7:8205"
)";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kSample;
  text.replace(text.find(from), from.size(), to);
  return text;
}

std::string ProblemOf(const std::string& text) {
  const result<node_settings> read = ParseSettings(text);
  return IsOk(read) ? "" : ErrorOf(read).message;
}

BOOST_AUTO_TEST_CASE(ReadsWhatAVmNeeds) {
  const result<node_settings> read = ParseSettings(kSample);
  BOOST_REQUIRE(IsOk(read));
  const node_settings& settings = ValueOf(read);
  BOOST_TEST(settings.vm.Str() == "front-north-1");
  BOOST_TEST(settings.zones.at(zone_id("s-a")).Str() == "south");
  BOOST_TEST(settings.callers.Str() == "10.1.0.8:8206");
  BOOST_TEST(settings.peer.Str() == "10.1.0.8:7600");
  BOOST_TEST(settings.tunnels.Str() == "10.1.0.8:7601");
  BOOST_TEST(settings.store.Str() == "10.200.1.7:8205");
  BOOST_TEST(settings.max_descriptors == 4100);
  BOOST_TEST(settings.memory_limit_bytes == std::size_t{260} << 20);
  BOOST_CHECK(settings.bounds.grace_period == FromSeconds(1.5));
  BOOST_TEST(!settings.bounds.strict_revocation);
  BOOST_TEST(settings.bounds.retry_slack == 44);
}

BOOST_AUTO_TEST_CASE(ABadValueIsNamedWithItsPath) {
  BOOST_TEST(ProblemOf(Replaced("10.1.0.8:8206", "nowhere")) ==
             "listen.front is not an address and port: \"nowhere\"");
  BOOST_TEST(ProblemOf(Replaced("nodeName = \"front-north-1\"", "")) ==
             "nodeName is missing");
  BOOST_TEST(ProblemOf(Replaced("maxFds = 4100", "maxFds = \"many\"")) ==
             "limits.maxFds is not a whole number from 256 to 1048576");
  BOOST_TEST(ProblemOf(Replaced("budgetSlack=44", "budgetSlack=lots")) ==
             "bounds has a bad value in \"budgetSlack=lots\"");
  BOOST_TEST(ProblemOf(Replaced("[7600,7615]", "[7600,7600]")) ==
             "internalPorts[1] is not a whole number from 7601 to 65535");
  BOOST_TEST(!ProblemOf("nodeName = ").empty());
}

BOOST_AUTO_TEST_CASE(AMissingFileIsNamed) {
  const result<node_settings> read = LoadSettings("/nonexistent/file.toml");
  BOOST_REQUIRE(!IsOk(read));
  BOOST_TEST(ErrorOf(read).message == "/nonexistent/file.toml: can't be read");
}

}  // namespace
}  // namespace citron::platform
