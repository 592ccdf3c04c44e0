#include "apps/citronctl/options.h"

#include <fmt/format.h>

#include <cstdlib>
#include <cxxopts.hpp>

namespace citron {

namespace {

constexpr char kCommands[] = R"(Commands:
  validate PATH...            check declarations (files, directories)
  diff PATH...                what apply would change
  apply PATH...               write declarations, wait until in force
  show KIND [NAME]            one object
  list KIND                   all objects of a kind
  delete KIND [NAME]          remove one object
  key grant WORKSPACE         make a key; printed once, stored as a digest
  key withdraw DIGEST         or --key-stdin, or --workspace W for all of its
  key list                    digests with workspace and label
  drain KIND NAME             upstream, vm or region: no new work
  undrain KIND NAME
  gone VM                     the VM is dead; its shares may be given on
  ungone VM                   takes the word back
  shift SERVICE               --from R --to R --cap N [--fraction F]
  unshift SERVICE
  status                      every control that is known
  expand DEPLOYMENT           files of a scaled-down fleet on loopback

Kinds: topology (without a name), upstream, contract, shift; show and list
also take key, drain (NAME as vm/v1) and gone.

Exit codes: 0 done, 2 usage or invalid input, 3 lost a race, 4 platform not
reached and nothing changed, 5 unknown whether in force, 6 accepted but not
in force everywhere in time.
)";

cxxopts::Options MakeParser() {
  cxxopts::Options parser("citronctl", "Configures and watches a fleet.");
  // Numbers are read as double: this compiler warns about a line inside
  // cxxopts's reader of whole numbers.
  parser.add_options()("platform", "platform's ip:port",
                       cxxopts::value<std::string>())(
      "control", "ip:port of a control's status page; repeatable",
      cxxopts::value<std::vector<std::string>>())(
      "fleet", "file with the status pages' addresses",
      cxxopts::value<std::string>())("json", "answer in JSON")(
      "wait-ms", "how long to wait until a change is in force; 0: not at all",
      cxxopts::value<double>()->default_value("6000"))(
      "call-ms", "limit of one call",
      cxxopts::value<double>()->default_value("1500"))(
      "change-ms", "limit of one change, with its repeats",
      cxxopts::value<double>()->default_value("10000"))(
      "expect", "revision that the object must have; 0: must not exist",
      cxxopts::value<double>())("label", "what the key is for",
                                cxxopts::value<std::string>())(
      "workspace", "all keys of this workspace", cxxopts::value<std::string>())(
      "key-stdin", "read the key to withdraw from standard input")(
      "from", "region", cxxopts::value<std::string>())(
      "to", "region", cxxopts::value<std::string>())(
      "fraction", "part of the traffic, 0 to 1",
      cxxopts::value<double>()->default_value("1"))(
      "cap", "requests a second that may be added", cxxopts::value<double>())(
      "scale", "full or small",
      cxxopts::value<std::string>()->default_value("small"))(
      "address-base", "first two numbers of the loopback addresses",
      cxxopts::value<std::string>()->default_value("127.20"))(
      "out", "directory for the files", cxxopts::value<std::string>())(
      "version", "print the version")("h,help", "print this")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  parser.parse_positional({"words"});
  parser.positional_help("COMMAND [ARGUMENTS]");
  return parser;
}

std::string TextOf(const cxxopts::ParseResult& parsed, const char* name,
                   const char* variable = nullptr) {
  if (parsed.count(name) > 0) return parsed[name].as<std::string>();
  const char* value = variable == nullptr ? nullptr : std::getenv(variable);
  return value == nullptr ? "" : value;
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

status ReadAddresses(const cxxopts::ParseResult& parsed, ctl_options& options) {
  const std::string platform = TextOf(parsed, "platform", "CITRON_PLATFORM");
  options.platform = ParseEndpoint(platform);
  if (!platform.empty() && !options.platform) {
    return MakeError(error_code::kInvalid,
                     fmt::format("--platform: \"{}\" is no ip:port", platform));
  }
  std::vector<std::string> controls;
  if (parsed.count("control") > 0) {
    controls = parsed["control"].as<std::vector<std::string>>();
  } else if (const char* listed = std::getenv("CITRON_CONTROLS")) {
    controls = SplitAtCommas(listed);
  }
  for (const std::string& text : controls) {
    const std::optional<endpoint> control = ParseEndpoint(text);
    if (!control) {
      return MakeError(error_code::kInvalid,
                       fmt::format("--control: \"{}\" is no ip:port", text));
    }
    options.controls.push_back(*control);
  }
  options.fleet_file = TextOf(parsed, "fleet", "CITRON_FLEET");
  return std::monostate{};
}

result<duration> LimitOf(const cxxopts::ParseResult& parsed, const char* name) {
  constexpr double kLongestMs = 3600.0 * 1000;
  const double ms = parsed[name].as<double>();
  if (!(ms >= 0 && ms <= kLongestMs)) {
    return MakeError(
        error_code::kInvalid,
        fmt::format("--{}: {} is outside 0 to {}", name, ms, kLongestMs));
  }
  return FromMilliseconds(ms);
}

status ReadLimits(const cxxopts::ParseResult& parsed, ctl_options& options) {
  const std::pair<const char*, duration*> limits[] = {
      {"wait-ms", &options.wait_limit},
      {"call-ms", &options.call_limit},
      {"change-ms", &options.change_limit}};
  for (const auto& [name, out] : limits) {
    const result<duration> limit = LimitOf(parsed, name);
    if (!IsOk(limit)) return ErrorOf(limit);
    *out = ValueOf(limit);
  }
  return std::monostate{};
}

status ReadExpected(const cxxopts::ParseResult& parsed, ctl_options& options) {
  if (parsed.count("expect") == 0) return std::monostate{};
  constexpr double kLargest = 9e15;  // Whole numbers fit a double up to here.
  const double revision = parsed["expect"].as<double>();
  if (!(revision >= 0 && revision <= kLargest)) {
    return MakeError(error_code::kInvalid, "--expect: not a revision");
  }
  options.expected = static_cast<store_revision>(revision);
  return std::monostate{};
}

result<ctl_options> ReadOptions(const cxxopts::ParseResult& parsed) {
  ctl_options options;
  if (parsed.count("words") > 0) {
    options.words = parsed["words"].as<std::vector<std::string>>();
  }
  const status addresses = ReadAddresses(parsed, options);
  if (!IsOk(addresses)) return ErrorOf(addresses);
  const status limits = ReadLimits(parsed, options);
  if (!IsOk(limits)) return ErrorOf(limits);
  const status expected = ReadExpected(parsed, options);
  if (!IsOk(expected)) return ErrorOf(expected);
  options.json = parsed.count("json") > 0;
  options.show_help = parsed.count("help") > 0;
  options.show_version = parsed.count("version") > 0;
  options.key_on_stdin = parsed.count("key-stdin") > 0;
  options.label = TextOf(parsed, "label");
  options.workspace = TextOf(parsed, "workspace");
  options.from = TextOf(parsed, "from");
  options.to = TextOf(parsed, "to");
  options.fraction = parsed["fraction"].as<double>();
  options.cap_per_s =
      parsed.count("cap") > 0 ? parsed["cap"].as<double>() : -1.0;
  options.scale = parsed["scale"].as<std::string>();
  options.address_base = parsed["address-base"].as<std::string>();
  options.out = TextOf(parsed, "out");
  return options;
}

}  // namespace

result<ctl_options> ParseCtlOptions(int argc, char** argv) {
  cxxopts::Options parser = MakeParser();
  try {
    return ReadOptions(parser.parse(argc, argv));
  } catch (const cxxopts::exceptions::exception& problem) {
    return MakeError(error_code::kInvalid, problem.what());
  }
}

std::string CtlUsage() { return MakeParser().help() + "\n" + kCommands; }

}  // namespace citron
