#ifndef STANDINS_COMMAND_LINE_H_
#define STANDINS_COMMAND_LINE_H_

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "citron/base/endpoint.h"
#include "citron/base/result.h"
#include "citron/config/json_reader.h"
#include "citron/net/event_loop.h"

namespace citron {

inline result<nlohmann::json> ReadJsonFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return MakeError(error_code::kNotFound, "cannot read " + path);
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ParseJson(text);
}

// The line that whoever started the program waits for.
inline void PrintListening(const endpoint& address) {
  fmt::print(stderr, "listening on {}\n", address.Str());
}

inline int PrintFailure(const std::string& problem) {
  fmt::print(stderr, "{}\n", problem);
  return 1;
}

inline void StopOnSignals(event_loop& loop) {
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal_number, [&loop] { loop.Stop(); });
  }
}

}  // namespace citron

#endif  // STANDINS_COMMAND_LINE_H_
