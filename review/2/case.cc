// LOST: a VM that is stopped cuts answers that slow clients are still reading.

#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

#include "play.h"

namespace review {
namespace {

constexpr std::size_t kAnswerBytes = 540000;
constexpr double kWorkS = 0.4;
constexpr double kReadPerS = 130000;
constexpr std::size_t kPiece = 2600;
constexpr int kClients = 8;
constexpr double kGraceS = 6;

struct reading {
  std::string id;
  int status = 0;
  std::size_t bytes = 0;
  bool whole = false;
};

// Reads at an even pace, with the segments of an ordinary network.
reading Download(const address& front, const one_route& route) {
  reading read;
  read.id = NewId();
  const auto connection = Connect(front, {4096, 1400, 1.0});
  if (connection == nullptr) return read;
  connection->Send("GET " + route.prefix + "2f HTTP/1.1\r\nHost: " +
                   route.host + "\r\nX-Request-Id: " + read.id +
                   "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer " +
                   route.key + "\r\n\r\n");
  Record("client " + read.id + ": sent to " + front.Text());
  std::string head;
  std::size_t begin = std::string::npos;
  std::size_t got = 0;
  double next = 0;
  while (true) {
    char piece[kPiece];
    const ssize_t count = recv(connection->Descriptor(), piece, kPiece, 0);
    if (count <= 0) break;
    got += static_cast<std::size_t>(count);
    if (begin == std::string::npos) {
      head.append(piece, static_cast<std::size_t>(count));
      const std::size_t end = head.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      begin = end + 4;
      read.status = std::atoi(head.c_str() + 9);
      next = Now();
      Record("client " + read.id + ": its answer begins, status " +
             std::to_string(read.status));
    }
    read.bytes = got - begin;
    if (read.bytes >= kAnswerBytes) break;
    next = std::max(next, Now() - 0.1) + static_cast<double>(count) / kReadPerS;
    SleepUntil(next);
  }
  read.whole = read.status == 200 && read.bytes == kAnswerBytes;
  Record("client " + read.id + ": " +
         (read.whole ? "has the whole answer, "
                     : "THE CONNECTION ENDED EARLY, after ") +
         std::to_string(read.bytes) + " of " + std::to_string(kAnswerBytes) +
         " bytes");
  return read;
}

int Play(const std::string& folder) {
  const std::vector<std::string> ips = {"127.0.0.2", "127.0.0.3"};
  const vm_ports ports = FreePorts(ips);
  store platform({"127.0.0.1", FreePort("127.0.0.1")});
  one_route route;
  route.kind = "download";
  route.service = "archivo";
  platform.Put("op/config", Configuration(route));
  const std::string body(kAnswerBytes, 'p');
  std::atomic<int> answered{0};
  const work does = [&](server& self, const message& request, stream& to) {
    const std::string id = request.Header("X-Request-Id");
    Record(self.Id() + ": runs " + id);
    if (!server::Work(to, kWorkS)) {
      return Record(self.Id() + ": " + id + " was cancelled");
    }
    if (!to.Send(SignedAnswer(request, body))) return;
    ++answered;
    Record(self.Id() + ": has sent the whole answer of " + id);
  };
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 4; ++i) {
    const address at{"127.0.0.1", FreePort("127.0.0.1")};
    servers.push_back(
        std::make_unique<server>(platform, "i-" + std::to_string(i),
                                 route.service, "stgo-a", 3, at, does));
  }
  std::vector<std::unique_ptr<vm>> vms;
  vm_settings settings;
  settings.zone = "stgo-a";
  settings.region = "santiago";
  settings.zones = "stgo-a = \"santiago\"\nstgo-b = \"santiago\"\n";
  settings.bounds = kBounds;
  for (const std::string& ip : ips) {
    settings.name = "front-stgo-a-" + std::to_string(vms.size() + 1);
    settings.ip = ip;
    vms.push_back(std::make_unique<vm>(folder, settings, ports, platform.At()));
    vms.back()->Start();
  }
  for (const auto& started : vms) {
    if (!started->WaitReady(15)) return 2;
  }
  SleepFor(5);  // All is calm for longer than stableWindowS.
  const address front = vms[0]->Front();
  const auto named = Resolve(vms[0]->Directory(), route.host, settings);
  if (std::find(named.begin(), named.end(), front.Text()) == named.end()) {
    return 2;
  }
  std::vector<reading> read(kClients);
  std::vector<std::thread> clients;
  for (reading& one : read) {
    clients.emplace_back([&] { one = Download(front, route); });
  }
  SleepFor(0.2);
  if (IsTroubled()) {
    Record("SIGTERM to " + vms[0]->Name());
    vms[0]->Signal(SIGTERM);
  }
  const double killed_at = Now() + kGraceS;
  while (IsTroubled() && Now() < killed_at) {
    SleepFor(0.02);
    if (!vms[0]->HasEnded()) continue;
    Record(vms[0]->Name() + " has ended");
    break;
  }
  if (IsTroubled() && !vms[0]->HasEnded()) {
    Record("SIGKILL to " + vms[0]->Name() + ", after gracePeriodS");
    vms[0]->Signal(SIGKILL);
  }
  for (std::thread& client : clients) client.join();
  int lost = 0;
  for (const reading& one : read) lost += one.whole ? 0 : 1;
  Record(std::to_string(lost) + " of " + std::to_string(kClients) +
         " answers were cut, though the servers had sent " +
         std::to_string(answered) + " whole ones");
  if (answered < kClients) return 2;
  return lost > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv, review::Play);
}
