// The parts of a comparison: a far end with one fixed answer, a hop that only
// forwards with libevent's own HTTP, and a closed loop of callers that measures
// whatever chain it is pointed at.

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "citron/net/event_loop.h"
#include "citron/net/http_client.h"
#include "citron/net/http_server.h"

namespace citron {

namespace {

constexpr int kMaxCalls = 2000000;
constexpr duration kCallLimit = std::chrono::seconds(5);
constexpr duration kRunLimit = std::chrono::seconds(60);
constexpr char kHealthy[] =
    R"({"healthy":true,"ready":true,"in_flight":0,"queued":0})";

struct far_end_task {
  std::unique_ptr<event_loop> loop = event_loop::Make();
  std::vector<std::unique_ptr<http_server>> servers;
};

void AnswerFixed(http_exchange& exchange, const std::string& body) {
  const bool is_probe = exchange.Request().Path() == "/health";
  exchange.Reply({{200, {{"Content-Type", "application/octet-stream"}}},
                  is_probe ? kHealthy : body});
}

int RunFarEnd(const std::vector<std::string>& listens, int loops,
              std::size_t bytes) {
  const std::string body(bytes, 'x');
  std::vector<far_end_task> tasks(loops);
  for (far_end_task& task : tasks) {
    for (const std::string& listen : listens) {
      const auto address = ParseEndpoint(listen);
      if (!address) return 2;
      auto made = http_server::Make(
          *task.loop, *address, {},
          [&body](http_exchange& exchange) { AnswerFixed(exchange, body); },
          true);
      if (!IsOk(made)) {
        std::fprintf(stderr, "%s\n", ErrorOf(made).message.c_str());
        return 1;
      }
      task.servers.push_back(std::move(ValueOf(made)));
    }
  }
  std::vector<std::thread> threads;
  threads.reserve(tasks.size());
  for (far_end_task& task : tasks) {
    threads.emplace_back([&task] { task.loop->Run(); });
  }
  for (std::thread& thread : threads) thread.join();
  return 0;
}

// One hop of the bare chain: a loop, a server, and kept connections onward.
class bare_hop {
 public:
  bare_hop(endpoint listen, endpoint to)
      : listen_(std::move(listen)), to_(std::move(to)) {}

  bool Run() {
    base_ = event_base_new();
    evhttp* http = evhttp_new(base_);
    evhttp_set_gencb(
        http,
        [](evhttp_request* request, void* self) {
          static_cast<bare_hop*>(self)->Forward(request);
        },
        this);
    if (!Listen(http)) return false;
    event_base_dispatch(base_);
    return true;
  }

 private:
  struct forward {
    bare_hop* hop;
    evhttp_request* caller;
    evhttp_connection* onward;
  };

  bool Listen(evhttp* http) {
    const evutil_socket_t fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listen_.port);
    evutil_inet_pton(AF_INET, listen_.address.c_str(), &address.sin_addr);
    constexpr int kBacklog = 512;
    return bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
               0 &&
           listen(fd, kBacklog) == 0 && evhttp_accept_socket(http, fd) == 0;
  }

  evhttp_connection* TakeConnection() {
    if (idle_.empty()) {
      return evhttp_connection_base_new(base_, nullptr, to_.address.c_str(),
                                        to_.port);
    }
    evhttp_connection* taken = idle_.back();
    idle_.pop_back();
    return taken;
  }

  static void CopyHeaders(const evkeyvalq* from, evkeyvalq* to) {
    for (const evkeyval* h = from->tqh_first; h != nullptr;
         h = h->next.tqe_next) {
      evhttp_add_header(to, h->key, h->value);
    }
  }

  void Forward(evhttp_request* caller) {
    auto* call = new forward{this, caller, TakeConnection()};
    evhttp_request* onward = evhttp_request_new(OnAnswer, call);
    CopyHeaders(evhttp_request_get_input_headers(caller),
                evhttp_request_get_output_headers(onward));
    evbuffer_add_buffer(evhttp_request_get_output_buffer(onward),
                        evhttp_request_get_input_buffer(caller));
    evhttp_make_request(call->onward, onward,
                        evhttp_request_get_command(caller),
                        evhttp_request_get_uri(caller));
  }

  static void OnAnswer(evhttp_request* answer, void* argument) {
    const std::unique_ptr<forward> call(static_cast<forward*>(argument));
    const int code =
        answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    if (code == 0) {
      evhttp_send_error(call->caller, HTTP_SERVUNAVAIL, nullptr);
      return;
    }
    CopyHeaders(evhttp_request_get_input_headers(answer),
                evhttp_request_get_output_headers(call->caller));
    evhttp_send_reply(call->caller, code, nullptr,
                      evhttp_request_get_input_buffer(answer));
    call->hop->idle_.push_back(call->onward);
  }

  endpoint listen_;
  endpoint to_;
  event_base* base_ = nullptr;
  std::vector<evhttp_connection*> idle_;
};

int RunHop(const std::string& listen, const std::string& to, int loops) {
  const auto from = ParseEndpoint(listen);
  const auto next = ParseEndpoint(to);
  if (!from || !next) return 2;
  std::vector<std::thread> threads;
  threads.reserve(loops);
  for (int i = 0; i < loops; ++i) {
    threads.emplace_back([&] {
      bare_hop hop(*from, *next);
      if (!hop.Run()) std::fprintf(stderr, "%s is taken\n", listen.c_str());
    });
  }
  for (std::thread& thread : threads) thread.join();
  return 1;
}

struct load_result {
  std::vector<double> microseconds;
  int failed = 0;
  int failed_status = 0;  // The last one; 0 where no answer came.
};

// One caller: its next call starts when the last one has ended.
class caller final : public http_call_handler {
 public:
  caller(event_loop& loop, const endpoint& server, const http_request& request,
         int& calls_left, load_result& out, std::function<void()> finished)
      : loop_(loop),
        server_(server),
        request_(request),
        calls_left_(calls_left),
        out_(out),
        finished_(std::move(finished)),
        connection_(std::make_unique<http_connection>(loop, server)) {}

  void Next() {
    if (calls_left_ <= 0) return finished_();
    --calls_left_;
    status_ = 0;
    started_ = MonotonicNow();
    connection_->Start(request_, started_ + kCallLimit, *this);
  }

  void OnHead(const http_response_head& head) override {
    status_ = head.status;
  }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnDone() override {
    constexpr int kOk = 200;
    if (status_ != kOk) {
      ++out_.failed;
      out_.failed_status = status_;
    }
    out_.microseconds.push_back(ToMilliseconds(MonotonicNow() - started_) *
                                1000);
    loop_.Defer([this] { Next(); });
  }
  void OnFailed(const call_failure& /*failure*/) override {
    ++out_.failed;
    loop_.Defer([this] {
      connection_ = std::make_unique<http_connection>(loop_, server_);
      Next();
    });
  }

 private:
  event_loop& loop_;
  const endpoint& server_;
  const http_request& request_;
  int& calls_left_;
  load_result& out_;
  std::function<void()> finished_;
  std::unique_ptr<http_connection> connection_;
  monotonic_time started_{};
  int status_ = 0;
};

load_result RunCallers(const endpoint& server, const http_request& request,
                       int connections, int calls) {
  load_result out;
  out.microseconds.reserve(calls);
  const auto loop = event_loop::Make();
  int running = connections;
  std::vector<std::unique_ptr<caller>> callers;
  for (int i = 0; i < connections; ++i) {
    callers.push_back(
        std::make_unique<caller>(*loop, server, request, calls, out, [&] {
          if (--running == 0) loop->Stop();
        }));
  }
  loop_timer limit(*loop, [&] { loop->Stop(); });
  limit.Arm(MonotonicNow() + kRunLimit);
  for (const auto& c : callers) loop->Post([&c] { c->Next(); });
  loop->Run();
  return out;
}

double Quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(part * last)];
}

int RunLoad(const cxxopts::ParseResult& options) {
  const auto server = ParseEndpoint(options["to"].as<std::string>());
  if (!server) return 2;
  http_request request{"GET", options["path"].as<std::string>(), {}, ""};
  const auto key = options["key"].as<std::string>();
  if (!key.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + key});
  }
  const int threads = options["threads"].as<int>();
  const int connections = options["connections"].as<int>();
  const int calls = std::min(options["calls"].as<int>(), kMaxCalls);
  std::vector<load_result> parts(threads);
  std::vector<std::thread> running;
  running.reserve(threads);
  const monotonic_time start = MonotonicNow();
  for (load_result& part : parts) {
    running.emplace_back([&] {
      part =
          RunCallers(*server, request, connections / threads, calls / threads);
    });
  }
  for (std::thread& thread : running) thread.join();
  const double seconds = ToSeconds(MonotonicNow() - start);
  load_result all;
  for (const load_result& part : parts) {
    all.failed += part.failed;
    all.failed_status = std::max(all.failed_status, part.failed_status);
    all.microseconds.insert(all.microseconds.end(), part.microseconds.begin(),
                            part.microseconds.end());
  }
  std::sort(all.microseconds.begin(), all.microseconds.end());
  std::printf(
      "{\"per_s\":%.0f,\"p50_us\":%.1f,\"p99_us\":%.1f,\"calls\":%zu,"
      "\"failed\":%d,\"failed_status\":%d}\n",
      static_cast<double>(all.microseconds.size()) / seconds,
      Quantile(all.microseconds, 0.5), Quantile(all.microseconds, 0.99),
      all.microseconds.size(), all.failed, all.failed_status);
  return 0;
}

int Run(int argc, char** argv) {
  cxxopts::Options options("forward_chain", "far | hop | load");
  options.add_options()("mode", "far, hop or load",
                        cxxopts::value<std::string>())(
      "listen", "address, several by comma for far",
      cxxopts::value<std::vector<std::string>>())(
      "to", "where to send", cxxopts::value<std::string>()->default_value(""))(
      "path", "request path",
      cxxopts::value<std::string>()->default_value("/"))(
      "key", "key of the workspace",
      cxxopts::value<std::string>()->default_value(""))(
      "loops", "event loops", cxxopts::value<int>()->default_value("1"))(
      "threads", "threads of callers",
      cxxopts::value<int>()->default_value("1"))(
      "connections", "callers", cxxopts::value<int>()->default_value("1"))(
      "calls", "calls in all", cxxopts::value<int>()->default_value("1000"))(
      "bytes", "bytes of an answer",
      cxxopts::value<std::size_t>()->default_value("256"));
  options.parse_positional({"mode"});
  const auto given = options.parse(argc, argv);
  const auto mode = given["mode"].as<std::string>();
  if (mode == "load") return RunLoad(given);
  const auto listens = given["listen"].as<std::vector<std::string>>();
  const int loops = given["loops"].as<int>();
  if (mode == "far") {
    return RunFarEnd(listens, loops, given["bytes"].as<std::size_t>());
  }
  return RunHop(listens.front(), given["to"].as<std::string>(), loops);
}

}  // namespace

}  // namespace citron

int main(int argc, char** argv) { return citron::Run(argc, argv); }
