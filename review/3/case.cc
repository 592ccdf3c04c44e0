// LOST: a VM that is stopped takes requests that it can't bring to an end.

#include <signal.h>

#include <algorithm>

#include "play.h"

namespace review {
namespace {

constexpr double kWorkS = 2.8;
constexpr double kGraceS = 6;
// After the SIGTERM.
constexpr double kSentAt[] = {3.05, 3.1, 3.15, 3.2};

struct outcome {
  bool connected = false;
  int status = 0;
  bool whole = false;
  double sent_at = 0;
  double ended_at = 0;
  std::string id;
};

outcome Ask(const address& front, const one_route& route, double at) {
  outcome seen;
  seen.id = NewId();
  SleepUntil(at);
  const auto connection = Connect(front);
  if (connection == nullptr) {
    Record("client " + seen.id + ": no connection");
    return seen;
  }
  seen.connected = true;
  connection->Send("GET " + route.prefix + "2f HTTP/1.1\r\nHost: " +
                   route.host + "\r\nX-Request-Id: " + seen.id +
                   "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer " +
                   route.key + "\r\n\r\n");
  seen.sent_at = Now();
  Record("client " + seen.id + ": sent to " + front.Text());
  const auto answer = connection->Read(Now() + 12, true);
  seen.ended_at = Now();
  seen.status = answer ? answer->Status() : 0;
  seen.whole = answer && answer->whole;
  Record("client " + seen.id +
         (answer ? ": gets " + std::to_string(seen.status)
                 : ": THE CONNECTION ENDED WITHOUT AN ANSWER, " +
                       std::to_string(seen.ended_at - seen.sent_at) +
                       " s after the request was sent"));
  return seen;
}

int Play(const std::string& folder) {
  const std::vector<std::string> ips = {"127.0.0.2", "127.0.0.3"};
  const vm_ports ports = FreePorts(ips);
  store platform({"127.0.0.1", FreePort("127.0.0.1")});
  one_route route;
  platform.Put("op/config", Configuration(route));
  std::mutex mutex;
  std::vector<std::string> ran;
  const work does = [&](server& self, const message& request, stream& to) {
    const std::string id = request.Header("X-Request-Id");
    Record(self.Id() + ": runs " + id + ", X-Deadline-Ms " +
           request.Header("X-Deadline-Ms"));
    {
      const std::lock_guard lock(mutex);
      ran.push_back(id);
    }
    if (!server::Work(to, kWorkS)) {
      return Record(self.Id() + ": " + id +
                    " lost its connection while it ran");
    }
    to.Send(SignedAnswer(request, "a picture"));
    Record(self.Id() + ": has answered " + id);
  };
  std::vector<std::unique_ptr<server>> servers;
  for (int i = 0; i < 4; ++i) {
    const address at{"127.0.0.1", FreePort("127.0.0.1")};
    servers.push_back(
        std::make_unique<server>(platform, "i-" + std::to_string(i),
                                 route.service, "kigali-a", 9, at, does));
  }
  std::vector<std::unique_ptr<vm>> vms;
  vm_settings settings;
  settings.zone = "kigali-a";
  settings.region = "kigali";
  settings.zones = "kigali-a = \"kigali\"\nkigali-b = \"kigali\"\n";
  settings.bounds = kBounds;
  for (const std::string& ip : ips) {
    settings.name = "front-kigali-a-" + std::to_string(vms.size() + 1);
    settings.ip = ip;
    vms.push_back(std::make_unique<vm>(folder, settings, ports, platform.At()));
    vms.back()->Start();
  }
  for (const auto& started : vms) {
    if (!started->WaitReady(15)) return 2;
  }
  SleepFor(5);  // All is calm for longer than stableWindowS.
  const address front = vms[0]->Front();
  // Some clients use this answer for three times its ttlS.
  const auto named = Resolve(vms[0]->Directory(), route.host, settings);
  if (std::find(named.begin(), named.end(), front.Text()) == named.end()) {
    return 2;
  }
  const double stopped_at = Now();
  if (IsTroubled()) {
    Record("SIGTERM to " + vms[0]->Name());
    vms[0]->Signal(SIGTERM);
  }
  std::vector<outcome> seen(std::size(kSentAt));
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < seen.size(); ++i) {
    clients.emplace_back(
        [&, i] { seen[i] = Ask(front, route, stopped_at + kSentAt[i]); });
  }
  while (IsTroubled() && Now() < stopped_at + kGraceS) {
    SleepFor(0.02);
    if (!vms[0]->HasEnded()) continue;
    Record(vms[0]->Name() + " has ended, " +
           std::to_string(Now() - stopped_at) + " s after the SIGTERM");
    break;
  }
  if (IsTroubled() && !vms[0]->HasEnded()) {
    Record("SIGKILL to " + vms[0]->Name() + ", after gracePeriodS");
    vms[0]->Signal(SIGKILL);
  }
  for (std::thread& client : clients) client.join();
  int lost = 0;
  int answered = 0;
  for (const outcome& one : seen) {
    const bool passed_on =
        std::find(ran.begin(), ran.end(), one.id) != ran.end();
    const bool is_late = one.sent_at - stopped_at > 3.0;
    const bool at_its_deadline = one.ended_at - one.sent_at >= route.timeout_s;
    answered += one.whole && one.status == 200 ? 1 : 0;
    if (passed_on && is_late && !one.whole && !at_its_deadline) ++lost;
  }
  Record(std::to_string(lost) +
         " requests were passed on to a server and lost their connection");
  if (!IsTroubled() && answered < static_cast<int>(seen.size())) return 2;
  return lost > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv, review::Play);
}
