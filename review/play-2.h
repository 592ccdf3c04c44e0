#ifndef REVIEW_PLAY_2_H_
#define REVIEW_PLAY_2_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Stand-ins of the platform's store, of a server and of a client, and the
// project's program as a process. All on loopback and by the real clock.
namespace play {

using headers = std::map<std::string, std::string>;  // Names in lower case.

double Now();  // Seconds since the start.
void Sleep(double seconds);

// Writes record.txt.
class record {
 public:
  explicit record(const std::string& file) : out_(file) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// Says which of the answers of faulty servers are touched: at the most so large
// a part of those that they have made.
class dose {
 public:
  explicit dose(double most) : most_(most) {}
  void OnAnswer() { ++answers_; }
  bool Take();
  std::string Text() const;

 private:
  const double most_;
  mutable std::mutex mutex_;
  std::atomic<int> answers_{0};
  int taken_ = 0;
};

// A connected socket, closed with the object.
class connection {
 public:
  explicit connection(int descriptor) : descriptor_(descriptor) {}
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { Close(); }
  static int Dial(int port, int receive_buffer = 0);

  bool Send(const std::string& bytes);
  // False if the peer takes nothing for `limit_s`, too.
  bool SendWithin(const std::string& bytes, double limit_s);
  // Appends what comes; false at the end or after `limit_s` without a byte.
  bool Receive(double limit_s, std::size_t most = 65536);
  std::string& Input() { return input_; }
  bool WasReset() const { return was_reset_; }
  void Close();

 private:
  int descriptor_;
  bool was_reset_ = false;
  std::string input_;
};

struct message {
  std::string first_line;
  headers fields;
  std::string body;
  // "whole", "cut" (ended before its end), "reset", "silent".
  std::string end;
};

// Reads the head of a message; its body stays in the input.
message ReadHead(connection& from, double limit_s);

// Reads one message with a length, in chunks or, as an answer, up to the end of
// the connection.
message ReadMessage(connection& from, bool is_answer, double limit_s,
                    const std::function<void(std::size_t)>& before_read = {});

std::string Base64(const std::string& bytes);

// A listening socket with a thread for each connection.
class listener {
 public:
  explicit listener(std::function<void(connection&)> serve);
  ~listener();
  int Port() const { return port_; }

 private:
  std::function<void(connection&)> serve_;
  int descriptor_ = -1;
  int port_ = 0;
  std::atomic<bool> ends_{false};
  std::thread accepts_;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
};

// The platform's store, as PROTOCOL has it.
class store {
 public:
  store();
  ~store();
  int Port() const { return listener_->Port(); }
  // As the operator or a server; returns when it is acknowledged.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Has(const std::string& prefix);

 private:
  struct item {
    std::string value;  // In base64.
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct event {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<item> written;
  };
  struct lease {
    double ttl_s = 0;
    double ends_at = 0;
  };
  void Serve(connection& from);
  std::string Answer(const message& call, int* status);
  std::string Watch(const std::string& target);
  std::string Transact(const std::string& body, int* status);
  void PutItem(const std::string& key, const std::string& base64,
               std::uint64_t lease);
  void RemoveItem(const std::string& key);
  void EndLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<event> events_;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t revision_ = 100;
  std::uint64_t last_lease_ = 500;
  bool ends_ = false;
  std::unique_ptr<listener> listener_;
};

// Writes the entry of a server that is ready.
void WriteEntry(store& registry, const std::string& id,
                const std::string& service, const std::string& zone, int port,
                int seq);

// A server of a service; `answer` writes the whole answer to a request.
class server {
 public:
  using answer = std::function<bool(const message&, connection&)>;
  server(store& registry, std::string id, std::string service, std::string zone,
         answer make);
  ~server();
  int Port() const { return listener_.Port(); }

 private:
  void Serve(connection& from);
  void Beat();

  store& registry_;
  std::string id_;
  std::string service_;
  std::string zone_;
  answer make_;
  listener listener_;
  std::atomic<bool> ends_{false};
  std::thread beats_;
};

// The project's program, with the command of the deploy file.
class node {
 public:
  node(const std::string& folder, const std::string& name, int store_port);
  ~node();
  int Callers() const { return callers_; }
  bool IsReady(double within_s) const;
  void Signal(int number) const;
  bool Runs() const;
  long ResidentKb() const;

 private:
  int pid_ = -1;
  int callers_ = 0;
  int ready_ = 0;
};

struct route {
  std::string name;
  std::string prefix;
  std::string type;
  double timeout_s = 1;
  std::string service;
};

// A configuration with one tenant of the key "k1".
std::string Config(int version, const std::vector<route>& routes);

std::string RequestHead(const std::string& method, const std::string& target,
                        const std::string& id, int deadline_ms,
                        const std::string& more = "");

}  // namespace play

#endif  // REVIEW_PLAY_2_H_
