// Stand-ins for the review's scripts: the platform's store, servers, clients
// and the start of the project's processes. Everything is on loopback.
#ifndef REVIEW_PLAY_PLAY_H_
#define REVIEW_PLAY_PLAY_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;

// Seconds since the start of the program, by the steady clock.
double Now();
void SleepUntil(double at);
void SleepFor(double seconds);

// Lines of record.txt, with the time.
void OpenRecord(const std::string& file);
void Record(const std::string& line);

struct address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// A message of HTTP/1.1. `whole` is false if it ended early.
struct message {
  std::string start;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  bool whole = false;
  int Status() const;
  std::string Header(const std::string& name) const;
};

// A connected socket with what was read from it and not used yet.
class stream {
 public:
  explicit stream(int descriptor) : descriptor_(descriptor) {}
  ~stream() { Close(); }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  bool Send(const std::string& bytes);
  // Reads more; false at the end, after an error or at `until`.
  bool Fill(double until);
  // Reads a message. Its body ends with its length, its chunks or, if
  // `may_end_with_stream`, with the stream.
  std::optional<message> Read(double until, bool may_end_with_stream);
  bool IsClosedByPeer();
  void Close();
  int Descriptor() const { return descriptor_; }
  std::string& Held() { return held_; }

 private:
  int descriptor_;
  std::string held_;
};

// Options of a client's connection.
struct connect_options {
  int receive_buffer = 0;  // 0: the system's.
  int max_segment = 0;     // 0: the system's.
  double limit_s = 1.0;
};
std::unique_ptr<stream> Connect(const address& to,
                                const connect_options& options = {});

// Serves each connection in a thread of its own until it is destroyed.
class listener {
 public:
  using handler = std::function<void(stream&)>;
  listener(const address& at, handler serve);
  ~listener();
  address At() const { return at_; }
  // Closes the door and all connections; Open opens it at the same address.
  void Shut();
  void Open();
  // Closes all connections, the door stays open.
  void Drop();

 private:
  void Accept();

  address at_;
  handler serve_;
  int door_ = -1;
  std::atomic<bool> stop_{false};
  std::atomic<bool> open_{true};
  std::thread accepting_;
  std::mutex mutex_;
  std::vector<int> connections_;
  std::atomic<int> running_{0};
};

// The platform's metadata store: keys, revisions, watches and leases.
class store {
 public:
  explicit store(const address& at);
  ~store();
  address At() const { return door_->At(); }
  void Put(const std::string& key, const json& value);
  bool Has(const std::string& key);

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    double ttl_s = 0;
    double ends_at = 0;
  };
  void Serve(stream& connection);
  std::string Answer(const message& request, stream& connection);
  std::string Range(const std::map<std::string, std::string>& query);
  std::string Watch(const std::map<std::string, std::string>& query,
                    stream& connection);
  std::string Transaction(const json& body);
  std::string Lease(const std::string& method, const std::string& path,
                    const json& body);
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);
  void Remove(const std::string& key);
  void EndLeases();
  static json Show(const std::string& key, const item& what);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<json> events_;  // In the order of their revisions.
  std::atomic<bool> stop_{false};
  std::unique_ptr<listener> door_;
  std::thread timer_;
};

// What a server does with a request that names it. It sends the answer itself.
class server;
using work = std::function<void(server&, const message&, stream&)>;

// A server that registers itself and writes to the store each 1.5 s.
class server {
 public:
  server(store& platform, std::string id, std::string service, std::string zone,
         int slots, const address& at, work does);
  ~server();
  const std::string& Id() const { return id_; }
  // Crashes now and is back after `down_s` as a new start with the same id.
  void Crash(double down_s);
  int Crashes() const { return crashes_; }
  // Waits as if it worked; false if the connection closed meanwhile.
  static bool Work(stream& connection, double seconds);

 private:
  void Serve(stream& connection);
  void Announce();

  store& platform_;
  std::string id_;
  std::string service_;
  std::string zone_;
  int slots_;
  work does_;
  std::unique_ptr<listener> door_;
  std::mutex mutex_;
  int sequence_ = 0;
  std::int64_t born_ms_;
  double down_until_ = 0;
  std::atomic<int> crashes_{0};
  std::atomic<int> working_{0};
  std::atomic<bool> stop_{false};
  std::thread beat_;
};

// A whole answer of a server, signed.
std::string SignedAnswer(const message& request, const std::string& body);
std::string NotExecuted();

// Ports that are free on the addresses of all VMs.
struct vm_ports {
  int front = 0;
  int ready = 0;
  int directory = 0;
  int control = 0;
  int internal = 0;  // And the one after it.
};
vm_ports FreePorts(const std::vector<std::string>& ips);
int FreePort(const std::string& ip);

// Of the sheet of Tarimanet.
inline constexpr char kBounds[] =
    R"("seedLagS=3","reuseDelayS=2","stableWindowS=4","ackTimeoutS=4",)"
    R"("catchUpS=4","drainTimeoutS=2.5","gracePeriodS=6","lossSlackS=0.2",)"
    R"("configApplyS=2.5","rollbackSlackS=0.25","outerS=6",)"
    R"("strictRevocation=true","revokeS=5","retryBudgetRatio=0.2",)"
    R"("budgetWindowS=10","budgetSlack=60","quotaWindowS=5",)"
    R"("quotaOvershoot=0.1","quotaSlack=20","coldOvershoot=1.5",)"
    R"("coldSlack=5","evacuateS=5","recoveryS=15","ttl_max_s=5",)"
    R"("maxShift=0.15")";

struct vm_settings {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  std::string bounds;  // Of the list, with quotes.
  std::string zones;   // Of the table.
  double link_mbps = 1000;
  int memory_mb = 260;
  double cpu_share = 0.2;
};

// A VM: the process of the deploy file's command.
class vm {
 public:
  vm(const std::string& folder, const vm_settings& settings,
     const vm_ports& ports, const address& platform);
  ~vm();
  void Start();
  bool IsReady() const;
  bool WaitReady(double limit_s) const;
  void Signal(int number) const;
  // Whether it has ended by now.
  bool HasEnded();
  address Front() const { return {settings_.ip, ports_.front}; }
  address Directory() const { return {settings_.ip, ports_.directory}; }
  const std::string& Name() const { return settings_.name; }

 private:
  vm_settings settings_;
  vm_ports ports_;
  std::string file_;
  std::string log_;
  int process_ = -1;
};

// Asks the directory; the addresses named.
std::vector<std::string> Resolve(const address& directory,
                                 const std::string& host,
                                 const vm_settings& client);

// A configuration with one route, one service and one tenant.
struct one_route {
  std::string host = "jepu9.example";
  std::string prefix = "/lepu270/";
  std::string kind = "idempotent";
  double timeout_s = 6;
  double target_s = 1.5;
  int attempts = 2;
  std::string service = "photos";
  std::string key = "9anu6wsjnbanfqasnmgk";
};
json Configuration(const one_route& route);

bool IsTroubled();    // TROUBLE isn't 0.
std::string NewId();  // Of a request.
int Main(int argc, char** argv, const std::function<int(const std::string&)>&);

}  // namespace review

#endif  // REVIEW_PLAY_PLAY_H_
