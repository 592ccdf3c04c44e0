#include <boost/test/unit_test.hpp>
#include <string>

#include "integration/harness.h"

namespace citron {
namespace {

constexpr int kExitWrongSettings = 2;
constexpr int kExitCannotStart = 1;

// Starts real daemons with settings files, good and bad.
class settings_fixture : public harness {
 public:
  nlohmann::json Good(const std::string& role) {
    nlohmann::json settings = {
        {"vm", "a"},
        {"zone", "z1"},
        {"region", "r1"},
        {"secret_file",
         WriteFile("secret", std::string("a secret of enough bytes"))},
        {"peer_listen", Address(10) + ":7001"},
        {"metrics_listen", Address(10) + ":7002"}};
    if (role == "control") {
      settings["platform"] = Address(1) + ":7000";
    } else {
      settings["control"] = Address(10) + ":7011";
      settings["listen"] = Address(10) + ":7003";
    }
    return settings;
  }

  // Runs a daemon to its end; what it wrote is left in Output().
  child_exit Run(const std::string& role,
                 const std::vector<std::string>& arguments) {
    child_process& daemon = Start(role, "citron_" + role, arguments);
    BOOST_REQUIRE(Caller().WaitFor([&] { return daemon.Exit().has_value(); }));
    // The end of the output may be read after the end of the process.
    Caller().WaitFor([&] { return daemon.HasWritten("\n"); });
    output_ = daemon.Output();
    return *daemon.Exit();
  }

  child_exit RunWith(const std::string& role, const nlohmann::json& settings) {
    file_ = WriteFile("bad.json", settings);
    return Run(role, {"--config", file_});
  }

  const std::string& Output() const { return output_; }
  const std::string& File() const { return file_; }

  // One line that begins with the program and names the file and the problem.
  void ExpectRefused(const std::string& role, const nlohmann::json& settings,
                     const std::string& problem) {
    const child_exit exit = RunWith(role, settings);
    BOOST_TEST(exit.status == kExitWrongSettings);
    BOOST_TEST(exit.signal == 0);
    BOOST_TEST(Output() ==
               "citron_" + role + ": " + File() + ": " + problem + "\n");
  }

 private:
  std::string output_;
  std::string file_;
};

constexpr const char* kRoles[] = {"control", "entry", "dispatch"};

BOOST_FIXTURE_TEST_SUITE(settings, settings_fixture)

BOOST_AUTO_TEST_CASE(GoodFilePassesTheCheck) {
  for (const std::string role : kRoles) {
    const std::string file = WriteFile("good.json", Good(role));
    child_process& daemon =
        Start(role, "citron_" + role, {"--config", file, "--check"});
    BOOST_REQUIRE(Caller().WaitFor([&] { return daemon.Exit().has_value(); }));
    BOOST_TEST(daemon.Exit()->status == 0);
  }
}

BOOST_AUTO_TEST_CASE(HelpVersionAndTableAreShown) {
  for (const std::string role : kRoles) {
    BOOST_TEST(Run(role, {"--help"}).status == 0);
    BOOST_TEST(Output().find("--config") != std::string::npos);
    BOOST_TEST(Run(role, {"--version"}).status == 0);
    BOOST_TEST(Output().starts_with("citron_" + role + " "));
    BOOST_TEST(Run(role, {"--settings"}).status == 0);
    BOOST_TEST(Output().find("| `vm` |") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(WrongCommandLineIsOneLine) {
  for (const std::string role : kRoles) {
    for (const std::vector<std::string>& arguments :
         {std::vector<std::string>{}, {"--nonsense"}, {"--config"}}) {
      BOOST_TEST(Run(role, arguments).status == kExitWrongSettings);
      BOOST_TEST(Output().find('\n') == Output().size() - 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(BadSettingIsNamedWithItsValue) {
  for (const std::string role : kRoles) {
    nlohmann::json unknown = Good(role);
    unknown["zome"] = 7;
    ExpectRefused(role, unknown, "zome: unknown field, with value 7");
    nlohmann::json wrong_type = Good(role);
    wrong_type["log_decisions"] = "yes";
    ExpectRefused(role, wrong_type,
                  "log_decisions: expected true or false, got \"yes\"");
    nlohmann::json missing = Good(role);
    missing.erase("zone");
    ExpectRefused(role, missing, "zone: missing");
    nlohmann::json twice = Good(role);
    twice["metrics_listen"] = twice["peer_listen"];
    ExpectRefused(role, twice,
                  "metrics_listen: " + twice["peer_listen"].get<std::string>() +
                      " is used twice");
    nlohmann::json no_secret = Good(role);
    no_secret.erase("secret_file");
    ExpectRefused(role, no_secret, "secret_file: missing, and secret_env too");
    nlohmann::json no_address = Good(role);
    no_address["peer_listen"] = "localhost:1";
    ExpectRefused(role, no_address,
                  "peer_listen: expected \"address:port\" with an IPv4 "
                  "address, got \"localhost:1\"");
  }
  nlohmann::json out_of_range = Good("entry");
  out_of_range["loops"] = 65;
  ExpectRefused("entry", out_of_range, "loops: 65 is outside 1 to 64");
  nlohmann::json late = Good("control");
  late["share_lease_ms"] = 1;
  ExpectRefused("control", late, "share_lease_ms: 1 is outside 500 to 3600000");
}

// A line break in a field's name must not make a second line of the error.
BOOST_AUTO_TEST_CASE(ErrorStaysOneLine) {
  nlohmann::json forged = Good("entry");
  forged["a\nentry: listening"] = 1;
  BOOST_TEST(RunWith("entry", forged).status == kExitWrongSettings);
  BOOST_TEST(Output().find('\n') == Output().size() - 1);
}

BOOST_AUTO_TEST_CASE(MissingFilesAreNamed) {
  for (const std::string role : kRoles) {
    const std::string absent = WriteFile("absent", std::string()) + ".none";
    BOOST_TEST(Run(role, {"--config", absent}).status == kExitWrongSettings);
    BOOST_TEST(Output() ==
               "citron_" + role + ": " + absent + ": can't be read\n");
    nlohmann::json no_secret = Good(role);
    no_secret["secret_file"] = absent;
    BOOST_TEST(RunWith(role, no_secret).status == kExitWrongSettings);
    BOOST_TEST(Output() == "citron_" + role + ": secret_file: " + absent +
                               " can't be read\n");
  }
}

BOOST_AUTO_TEST_CASE(ShortSecretIsNotShown) {
  nlohmann::json settings = Good("entry");
  settings["secret_file"] = WriteFile("short", std::string("tiny-secret"));
  BOOST_TEST(RunWith("entry", settings).status == kExitWrongSettings);
  BOOST_TEST(Output().find("fewer than 16 bytes") != std::string::npos);
  BOOST_TEST(Output().find("tiny-secret") == std::string::npos);
}

// A daemon is started beside another that holds its addresses.
BOOST_AUTO_TEST_CASE(SecondDaemonOnTheSamePortsEnds) {
  for (const std::string role : kRoles) {
    const std::string file = WriteFile("good.json", Good(role));
    child_process& first =
        Start(role + "-1", "citron_" + role, {"--config", file});
    BOOST_REQUIRE(
        Caller().WaitFor([&] { return first.HasWritten("listening "); }));
    const child_exit exit = Run(role, {"--config", file});
    BOOST_TEST(exit.status == kExitCannotStart);
    BOOST_TEST(Output().starts_with("citron_" + role + ": "));
    BOOST_TEST(Output().find("in use") != std::string::npos);
    BOOST_TEST(Output().find('\n') == Output().size() - 1);
    first.Kill();
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace citron
