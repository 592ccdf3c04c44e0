#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

namespace {

namespace fs = std::filesystem;

// Names that only the platform's pages have. Words that the field uses anyway
// (zone, region, route, version) say nothing.
const std::regex& PlatformName() {
  static const std::regex names(
      "X-Tenant-Id|X-Target-Instance|X-Upstream-Signature|X-Affinity-Key|"
      "X-Deadline-Ms|X-Server-Load|X-Not-Executed|X-Instance-Id|"
      "X-Cold-Start-Ms|CITRONWALL_SETTINGS|kv-(key|range|watch|txn|lease|keep)|"
      "op/config|op/evacuate|pathPrefix|routeType|weightedServices|"
      "stickySessions|allowedRegions|apiKeys|ratePerS|coldRemainingS|"
      "targetLatencyS|ttlS_time|allowStale|nodeName|machineClass");
  return names;
}

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
      std::smatch found;
      const bool named = std::regex_search(text, found, PlatformName());
      BOOST_TEST(!named, entry.path() << " has " << (named ? found.str() : ""));
    }
  }
  BOOST_TEST(files > 100);
}
