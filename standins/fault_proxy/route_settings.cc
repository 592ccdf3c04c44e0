#include "standins/fault_proxy/route_settings.h"

#include "citron/config/json_reader.h"

namespace citron {

namespace {

constexpr double kMaxMs = 3600e3;

void ReadCut(json_reader& reader, route_faults& faults) {
  bool cut = false;
  bool freeze = false;
  std::string direction = "both";
  reader.Bool("cut", cut);
  reader.Bool("freeze", freeze);
  reader.String("cut_direction", direction);
  reader.Bool("refuse", faults.refuse);
  reader.Bool("drop_connects", faults.drop_connects);
  if (direction != "both" && direction != "to_target" &&
      direction != "to_source") {
    reader.Fail("cut_direction", "expected both, to_target or to_source");
  }
  faults.cut_to_target = freeze || (cut && direction != "to_source");
  faults.cut_to_source = freeze || (cut && direction != "to_target");
}

void ReadByteCount(json_reader& reader, const char* name,
                   std::optional<std::uint64_t>& out) {
  std::int64_t count = -1;
  reader.Integer(name, count, 0, INT64_MAX);
  if (count >= 0) out = static_cast<std::uint64_t>(count);
}

}  // namespace

result<std::vector<route_settings>> ParseRoutes(const nlohmann::json& json) {
  std::vector<route_settings> routes;
  json_reader reader(json, "");
  reader.Each(
      "routes",
      [&](json_reader& one) {
        route_settings route;
        one.String("name", route.name, true);
        one.Endpoint("listen", route.listen, true);
        one.Endpoint("target", route.target, true);
        routes.push_back(route);
      },
      true);
  const status read = reader.Finish();
  if (!IsOk(read)) return ErrorOf(read);
  return routes;
}

result<fault_command> ParseFaultCommand(const nlohmann::json& json) {
  fault_command command;
  json_reader reader(json, "");
  reader.String("route", command.route, true);
  reader.Bool("reset", command.reset);
  ReadCut(reader, command.faults);
  reader.Bool("lose_answer", command.faults.lose_answer);
  reader.Milliseconds("delay_ms", command.faults.delay, 0, kMaxMs);
  ReadByteCount(reader, "drop_after_bytes_to_source",
                command.faults.reset_after);
  ReadByteCount(reader, "truncate_answer_at", command.faults.truncate_at);
  const status read = reader.Finish();
  if (!IsOk(read)) return ErrorOf(read);
  return command;
}

}  // namespace citron
