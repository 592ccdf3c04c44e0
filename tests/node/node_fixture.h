#ifndef TESTS_NODE_NODE_FIXTURE_H_
#define TESTS_NODE_NODE_FIXTURE_H_

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citron/node/node_task.h"
#include "net/loop_fixture.h"
#include "net/raw_caller.h"
#include "node/memory_store.h"
#include "node/plain_codec.h"
#include "node/scripted_upstream.h"

namespace citron {

// A port that the kernel has just chosen and given back.
inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

// One VM with a store in memory and upstreams that do as the test says.
class node_fixture : public loop_fixture {
 public:
  node_fixture()
      : log_([this](std::string_view line) {
          lines_.emplace_back(line);
          return true;
        }),
        store_(Loop()) {
    settings_.vm = vm_id("vm1");
    settings_.zone = zone_id("z1");
    settings_.region = region_id("r1");
    settings_.zones = {{zone_id("z1"), region_id("r1")}};
    settings_.bounds.grace_period = FromSeconds(2);
    names_.request_id = "X-Id";
    names_.deadline_ms = "X-Deadline";
    names_.affinity = "X-Object";
    names_.signature = "X-Signature";
    names_.workspace = "X-Workspace";
    names_.expected_upstream = "X-Expected";
    names_.load = "X-Load";
    names_.rate_limit = "X-Rate-Limit";
    names_.pause = "Retry-After";
    names_.leaving = "X-Leaving";
    names_.not_run = "X-Not-Run";
    names_.upstream = "X-Upstream";
    names_.cold_ms = "X-Cold";
    names_.key_scheme = "Bearer";
    routing_.version = 1;
    AddRoute("look", "/look/", repetition::kIdempotent);
    AddRoute("book", "/book/", repetition::kOnce);
    routing_.services[service_id("s")] = {service_id("s"), "/health", 100,
                                          FromSeconds(3), 5};
    routing_.workspaces.push_back(
        {workspace_id("depot"), {"key1"}, 0, 0, 0, {}});
  }

  void AddRoute(const char* id, const char* prefix, repetition repeats) {
    route_config route;
    route.id = route_id(id);
    route.host = "a.example";
    route.path_prefix = prefix;
    route.repeats = repeats;
    route.timeout = FromSeconds(5);
    route.services = {{service_id("s"), 1}};
    route.max_upstreams = 3;
    route.has_affinity = true;
    routing_.routes.push_back(route);
  }

  scripted_upstream& AddUpstream(const std::string& id,
                                 scripted_upstream::script script) {
    upstreams_.push_back(
        std::make_unique<scripted_upstream>(Loop(), std::move(script)));
    upstream_record record;
    record.service = service_id("s");
    record.zone = zone_id("z1");
    record.address = upstreams_.back()->Address();
    record.slots = 4;
    codec_.upstreams[id] = record;
    store_.Set("upstreams/" + id, id);
    return *upstreams_.back();
  }

  void PutRouting() {
    const std::string name = fmt::format("v{}", routing_.version);
    codec_.routings[name] = routing_;
    store_.Set("routing", name);
  }

  // A VM on ports that are free. One that was given back may be taken by a
  // connection before the VM listens there; then others are tried.
  std::unique_ptr<node_task> MakeNode(node_settings& settings,
                                      platform_store& store) {
    const node_platform platform{
        names_,
        {"/ready", "/lookup", "zone", "region", "addresses", "lifetime"},
        &codec_,
        &store};
    constexpr int kMostTries = 10;
    for (int i = 0; i < kMostTries; ++i) {
      for (endpoint* address :
           {&settings.callers, &settings.readiness, &settings.lookup,
            &settings.peer, &settings.tunnels}) {
        *address = {"127.0.0.1", FreePort()};
      }
      settings.metrics = settings.peer;
      auto made = node_task::Make(Loop(), settings, platform, log_);
      if (IsOk(made)) return std::move(ValueOf(made));
    }
    BOOST_REQUIRE_MESSAGE(false, "no free ports");
    return nullptr;
  }
  void StartNode() { node_ = MakeNode(settings_, store_); }
  void Start() {
    PutRouting();
    StartNode();
    BOOST_REQUIRE(RunUntil([this] { return node_->IsReady(); }));
  }

  std::string Request(const std::string& method, const std::string& target,
                      const std::string& more = "",
                      const std::string& body = "") {
    std::string text = fmt::format(
        "{} {} HTTP/1.1\r\nHost: a.example\r\nX-Id: {}\r\nX-Object: "
        "7\r\nX-Deadline: 4000\r\nAuthorization: Bearer key1\r\n{}",
        method, target, ++last_id_, more);
    if (!body.empty())
      text += fmt::format("Content-Length: {}\r\n", body.size());
    return text + "\r\n" + body;
  }

  // For an object of the test's choice.
  std::string RequestForObject(const std::string& target, int object) {
    std::string text = Request("GET", target);
    const std::string own = "X-Object: 7";
    text.replace(text.find(own), own.size(),
                 fmt::format("X-Object: {}", object));
    return text;
  }

  // Sends the requests that `next` makes at an even rate, one at a time, and
  // returns how many weren't served.
  int SendEvenly(double seconds, double per_s,
                 const std::function<std::string(int)>& next) {
    const monotonic_time start = MonotonicNow();
    int failed = 0;
    for (int i = 0; i < per_s * seconds; ++i) {
      const monotonic_time due = start + FromSeconds(i / per_s);
      RunUntil([due] { return MonotonicNow() >= due; });
      if (!Ask(next(i)).starts_with("HTTP/1.1 200 ")) ++failed;
    }
    return failed;
  }

  // The whole answer to one request on a connection of its own.
  std::string Ask(const std::string& request) {
    raw_caller caller(settings_.callers);
    caller.Send(request);
    return Wait(caller);
  }
  // The same for a body that the kernel doesn't take at once.
  std::string Upload(const std::string& target, const std::string& body) {
    raw_caller caller(settings_.callers);
    const std::string text = Request("POST", target, "", body);
    std::size_t sent = 0;
    BOOST_REQUIRE(RunUntil([&] {
      sent += caller.SendSome(std::string_view(text).substr(sent));
      return sent == text.size() || caller.IsClosed();
    }));
    return Wait(caller);
  }
  std::string Wait(raw_caller& caller) {
    BOOST_CHECK(RunUntil(
        [&] { return IsWhole(caller.Received()) || caller.IsClosed(); }));
    return caller.Received();
  }
  static bool IsWhole(const std::string& text) {
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    const std::string length = HeaderIn(text, "Content-Length");
    if (length.empty()) return text.ends_with("0\r\n\r\n");
    return text.size() >= end + 4 + std::stoul(length);
  }
  std::string Page(const endpoint& where, const std::string& target) {
    raw_caller caller(where);
    caller.Send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return Wait(caller);
  }
  // A gauge of the VM, 0 before it is first shown.
  std::size_t Gauge(const std::string& name) {
    const std::string page = Page(settings_.metrics, "/metrics");
    const std::string start = "\ncitron_" + name + " ";
    const std::size_t at = page.find(start);
    if (at == std::string::npos) return 0;
    return static_cast<std::size_t>(std::stod(page.substr(at + start.size())));
  }
  void Pass(duration time) {
    const monotonic_time until = MonotonicNow() + time;
    RunUntil([until] { return MonotonicNow() >= until; });
  }
  // Stops the VM and ends it as the process does.
  void EndNode() {
    bool stopped = false;
    node_->Stop([&] { stopped = true; });
    BOOST_REQUIRE(RunUntil([&] { return stopped; }));
    node_.reset();
  }
  bool HasLine(const std::string& part) const {
    for (const std::string& line : lines_) {
      if (line.find(part) != std::string::npos) return true;
    }
    return false;
  }

  std::vector<std::string> lines_;
  event_log log_;
  memory_store store_;
  plain_codec codec_;
  node_settings settings_;
  header_names names_;
  routing_config routing_;
  std::vector<std::unique_ptr<scripted_upstream>> upstreams_;
  std::unique_ptr<node_task> node_;
  int last_id_ = 100;
};

// The status of an answer's text.
inline std::string StatusOf(const std::string& text) {
  return text.size() > 12 ? text.substr(9, 3) : "none";
}

}  // namespace citron

#endif  // TESTS_NODE_NODE_FIXTURE_H_
