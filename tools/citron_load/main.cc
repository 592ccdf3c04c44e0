#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iterator>

#include "citron/net/event_loop.h"
#include "tools/citron_load/headroom_sampler.h"
#include "tools/citron_load/load_run.h"
#include "tools/citron_load/report.h"

namespace citron {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitNothingSent = 4;
constexpr double kLongestSeconds = 600;
constexpr double kMostRequests = 1e6;
constexpr double kMostPerSecond = 5000;
constexpr double kMostRepeats = 10;

int Fail(const std::string& problem) {
  std::fprintf(stderr, "citron_load: %s\n", problem.c_str());
  return kExitUsage;
}

cxxopts::Options MakeParser() {
  using cxxopts::value;
  cxxopts::Options parser("citron_load",
                          "Callers of an expanded deployment, on loopback.");
  // Numbers are read as double: this compiler warns about a line inside
  // cxxopts's reader of whole numbers.
  parser.add_options()                                                  //
      ("plan", "load.json of citronctl expand", value<std::string>())   //
      ("keys", "file with lines: WORKSPACE KEY", value<std::string>())  //
      ("seconds", "how long requests arrive, up to 600",
       value<double>()->default_value("10"))  //
      ("max-requests", "up to 1000000",
       value<double>()->default_value("100000"))  //
      ("load", "part of each contract's rate that is offered",
       value<double>()->default_value("0.7"))  //
      ("heavy", "workspace that sends more",
       value<std::string>()->default_value(""))  //
      ("heavy-factor", "how many times as much",
       value<double>()->default_value("3"))  //
      ("retry", "repeats of a request where the answer allows it, up to 10",
       value<double>()->default_value("0"))  //
      ("request-ms", "longest time for one request",
       value<double>()->default_value("20000"))  //
      ("seed", "of arrivals and choices",
       value<double>()->default_value("1"))  //
      ("metrics", "entries' pages of metrics to read headroom from, as A:P,A:P",
       value<std::vector<std::string>>()->default_value(""))  //
      ("csv", "file for the ledger, a line for each request",
       value<std::string>()->default_value(""))  //
      ("json", "answer in JSON")("h,help", "print this");
  return parser;
}

result<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return MakeError(error_code::kInvalid, file + ": can't be read");
  return std::string(std::istreambuf_iterator<char>(in), {});
}

result<load_plan> ReadPlan(const cxxopts::ParseResult& parsed) {
  const auto text = ReadFile(parsed["plan"].as<std::string>());
  if (!IsOk(text)) return ErrorOf(text);
  auto plan = ParseLoadPlan(ValueOf(text));
  if (!IsOk(plan)) return ErrorOf(plan);
  const auto keys = ReadFile(parsed["keys"].as<std::string>());
  if (!IsOk(keys)) return ErrorOf(keys);
  const status added = AddKeys(ValueOf(keys), ValueOf(plan));
  if (!IsOk(added)) return ErrorOf(added);
  return plan;
}

result<load_limits> ReadLimits(const cxxopts::ParseResult& parsed,
                               const load_plan& plan) {
  const auto number = [&](const char* name) {
    return parsed[name].as<double>();
  };
  const auto is_inside = [&](const char* name, double low, double high) {
    return number(name) >= low && number(name) <= high;
  };
  if (!is_inside("seconds", 0.1, kLongestSeconds) ||
      !is_inside("max-requests", 1, kMostRequests) ||
      !is_inside("load", 0, 100) || !is_inside("heavy-factor", 0, 100) ||
      !is_inside("retry", 0, kMostRepeats) || !is_inside("seed", 0, 1e15) ||
      !is_inside("request-ms", 1, kLongestSeconds * 1000)) {
    return MakeError(error_code::kInvalid, "a number is out of its range");
  }
  load_limits limits;
  limits.length = FromSeconds(number("seconds"));
  limits.max_requests = static_cast<std::uint64_t>(number("max-requests"));
  limits.load = number("load");
  limits.heavy_workspace = parsed["heavy"].as<std::string>();
  limits.heavy_factor = number("heavy-factor");
  limits.max_repeats = static_cast<int>(number("retry"));
  limits.request_limit = FromMilliseconds(number("request-ms"));
  limits.seed = static_cast<std::uint64_t>(number("seed"));
  double rate = 0;
  for (const planned_workspace& workspace : plan.workspaces) {
    const bool heavy = workspace.name == limits.heavy_workspace;
    rate +=
        workspace.rate_per_s * limits.load * (heavy ? limits.heavy_factor : 1);
  }
  if (rate > kMostPerSecond) {
    return MakeError(error_code::kInvalid,
                     "the plan asks for more than 5000 requests a second");
  }
  return limits;
}

result<std::vector<endpoint>> ReadPages(const cxxopts::ParseResult& parsed) {
  std::vector<endpoint> pages;
  for (const auto& text : parsed["metrics"].as<std::vector<std::string>>()) {
    if (text.empty()) continue;
    const std::optional<endpoint> page = ParseEndpoint(text);
    if (!page || !IsLoopback(*page)) {
      return MakeError(error_code::kInvalid, text + " is not on loopback");
    }
    pages.push_back(*page);
  }
  return pages;
}

int RunLoad(const cxxopts::ParseResult& parsed) {
  const auto plan = ReadPlan(parsed);
  if (!IsOk(plan)) return Fail(ErrorOf(plan).message);
  const auto limits = ReadLimits(parsed, ValueOf(plan));
  if (!IsOk(limits)) return Fail(ErrorOf(limits).message);
  const auto pages = ReadPages(parsed);
  if (!IsOk(pages)) return Fail(ErrorOf(pages).message);
  const std::unique_ptr<event_loop> loop = event_loop::Make();
  load_run run(*loop, ValueOf(plan), ValueOf(limits));
  for (const int signal_number : {SIGINT, SIGTERM}) {
    loop->OnSignal(signal_number, [&] { loop->Stop(); });
  }
  // Also without a single look-up the tool comes to an end.
  loop_timer last_end(*loop, [&] { loop->Stop(); });
  last_end.Arm(MonotonicNow() + ValueOf(limits).length +
               ValueOf(limits).request_limit + std::chrono::seconds(5));
  headroom_sampler headroom(*loop, ValueOf(pages));
  headroom.Start();
  run.Start([&] { loop->Stop(); });
  loop->Run();
  headroom.Stop();
  run.StopSending();
  const load_result result{run.Ledger(), run.Skipped(), run.Length(),
                           headroom.Series().ByService()};
  const std::string csv = parsed["csv"].as<std::string>();
  if (!csv.empty()) std::ofstream(csv) << run.Ledger().Csv();
  const std::string text = parsed.count("json") > 0
                               ? LoadJson(result).dump(2) + "\n"
                               : LoadTable(result);
  std::fputs(text.c_str(), stdout);
  if (!run.Ledger().Records().empty()) return 0;
  std::fputs("citron_load: no request was sent; no look-up was answered\n",
             stderr);
  return kExitNothingSent;
}

}  // namespace
}  // namespace citron

int main(int argc, char** argv) {
  cxxopts::Options parser = citron::MakeParser();
  try {
    const cxxopts::ParseResult parsed = parser.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::fputs(parser.help().c_str(), stdout);
      return 0;
    }
    if (parsed.count("plan") == 0 || parsed.count("keys") == 0) {
      return citron::Fail("--plan and --keys are needed; see --help");
    }
    return citron::RunLoad(parsed);
  } catch (const cxxopts::exceptions::exception& problem) {
    return citron::Fail(problem.what());
  }
}
