#include <array>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace {

namespace fs = std::filesystem;

// Names that only the platform's pages have. Words that the field uses anyway
// (zone, region, route, version) say nothing.
constexpr std::array<std::string_view, 33> kPlatformNames = {
    "X-Tenant-Id",    "X-Target-Instance", "X-Upstream-Signature",
    "X-Affinity-Key", "X-Deadline-Ms",     "X-Server-Load",
    "X-Not-Executed", "X-Instance-Id",     "X-Cold-Start-Ms",
    "kv-key",         "kv-range",          "kv-watch",
    "kv-txn",         "kv-lease",          "kv-keep",
    "op/config",      "op/evacuate",       "pathPrefix",
    "routeType",      "weightedServices",  "stickySessions",
    "allowedRegions", "apiKeys",           "ratePerS",
    "coldRemainingS", "targetLatencyS",    "ttlS_time",
    "allowStale",     "nodeName",          "machineClass",
    "internalPorts",  "strictRevocation",  "CITRONWALL_SETTINGS"};

std::string Read(const fs::path& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

// The platform renames a header or a field. Only the adapter may have to
// change; a name that crept in elsewhere would be found on the platform alone.
BOOST_AUTO_TEST_CASE(OnlyTheAdapterKnowsThePlatformsNames) {
  const fs::path root = CITRON_SOURCE_DIR;
  int files = 0;
  for (const char* folder : {"include", "src", "apps", "tools"}) {
    for (const auto& entry : fs::recursive_directory_iterator(root / folder)) {
      if (!entry.is_regular_file()) continue;
      ++files;
      const std::string text = Read(entry.path());
      for (const std::string_view name : kPlatformNames) {
        BOOST_TEST(text.find(name) == std::string::npos,
                   entry.path() << " has " << name);
      }
    }
  }
  BOOST_TEST(files > 100);
}
