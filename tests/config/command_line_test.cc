#include "citron/config/command_line.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace citron {
namespace {

daemon_command Parse(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "program");
  return ParseDaemonCommandLine(static_cast<int>(arguments.size()),
                                arguments.data(), "program", "A purpose.",
                                "1.2.3", {});
}

BOOST_AUTO_TEST_CASE(ConfigFileIsTaken) {
  const daemon_command command = Parse({"--config", "a file.json"});
  BOOST_TEST(command.config_file == "a file.json");
  BOOST_TEST(!command.check_only);
  BOOST_TEST(!command.exit_status.has_value());
  BOOST_TEST(Parse({"--config=x", "--check"}).check_only);
}

BOOST_AUTO_TEST_CASE(HelpVersionAndSettingsEndWell) {
  for (const char* option : {"--help", "--version", "--settings"}) {
    BOOST_TEST((Parse({option}).exit_status == 0), option);
  }
}

BOOST_AUTO_TEST_CASE(WrongCommandLineEndsWithItsOwnStatus) {
  BOOST_TEST((Parse({}).exit_status == kExitUsage));
  BOOST_TEST((Parse({"--check"}).exit_status == kExitUsage));
  BOOST_TEST((Parse({"--config"}).exit_status == kExitUsage));
  BOOST_TEST((Parse({"--nonsense"}).exit_status == kExitUsage));
}

}  // namespace
}  // namespace citron
