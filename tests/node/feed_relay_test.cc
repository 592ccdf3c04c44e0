#include "citron/node/feed_relay.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "net/loop_fixture.h"
#include "net/raw_caller.h"
#include "node/node_fixture.h"

namespace citron {
namespace {

// One VM's way to the common store, which can be cut and counts its watches.
class store_path : public platform_store {
 public:
  explicit store_path(memory_store& store, event_loop& loop)
      : store_(store), loop_(loop) {}

  void SetCut(bool cut) { cut_ = cut; }
  // Watches tell no change of this key.
  void Mute(const std::string& key) { muted_ = key; }
  // Calls are taken and never answered.
  void SetSilent(bool silent) { silent_ = silent; }
  // Full copies that are read here lack this key.
  void Hide(const std::string& key) { hidden_ = key; }
  int Watches() const { return watches_; }

  void Get(const std::string&, monotonic_time, on_lookup) override {}
  void Remove(const std::string&, store_revision, monotonic_time,
              on_write) override {}
  void ListVms(monotonic_time, on_vms) override {}
  void Put(const store_write& write, monotonic_time deadline,
           on_write done) override {
    if (cut_) return Fail(std::move(done));
    store_.Put(write, deadline, std::move(done));
  }
  void Range(const std::string& prefix, monotonic_time deadline,
             on_range done) override {
    if (silent_) return;
    if (cut_) return Fail(std::move(done));
    store_.Range(
        prefix, deadline,
        [done = std::move(done), hidden = hidden_](result<store_range> range) {
          if (IsOk(range)) {
            std::erase_if(ValueOf(range).items, [&](const store_item& item) {
              return item.key == hidden;
            });
          }
          done(std::move(range));
        });
  }
  void Watch(const std::string& prefix, store_revision after,
             monotonic_time wait_until, monotonic_time deadline,
             on_events done) override {
    ++watches_;
    if (silent_) return;
    if (cut_) return Fail(std::move(done));
    store_.Watch(
        prefix, after, wait_until, deadline,
        [done = std::move(done), muted = muted_](result<store_events> events) {
          if (IsOk(events)) {
            std::erase_if(ValueOf(events).events,
                          [&](const store_event& event) {
                            return event.item.key == muted;
                          });
          }
          done(std::move(events));
        });
  }
  void GrantLease(duration ttl, monotonic_time deadline,
                  on_lease done) override {
    if (cut_) return Fail(std::move(done));
    store_.GrantLease(ttl, deadline, std::move(done));
  }
  void RenewLease(const lease_id& lease, monotonic_time deadline,
                  on_status done) override {
    if (cut_) return Fail(std::move(done));
    store_.RenewLease(lease, deadline, std::move(done));
  }
  void RevokeLease(const lease_id& lease, monotonic_time deadline,
                   on_status done) override {
    if (cut_) return Fail(std::move(done));
    store_.RevokeLease(lease, deadline, std::move(done));
  }

 private:
  template <class Done>
  void Fail(Done done) {
    loop_.Defer([done = std::move(done)] {
      done(MakeError(error_code::kUnavailable, "cut off"));
    });
  }

  memory_store& store_;
  event_loop& loop_;
  bool cut_ = false;
  bool silent_ = false;
  std::string hidden_;
  std::string muted_;
  int watches_ = 0;
};

// Two VMs of one zone at one store.
class relay_fixture : public node_fixture {
 public:
  relay_fixture() {
    for (int i = 0; i < 2; ++i) {
      paths_[i] = std::make_unique<store_path>(store_, Loop());
      vm_settings_[i] = settings_;
      vm_settings_[i].vm = vm_id(i == 0 ? "vm1" : "vm2");
      // The first one is asked by the second.
      vm_settings_[i].link_mbps = i == 0 ? 200 : 10;
    }
    PutRouting();
    for (int i = 0; i < 2; ++i) {
      vms_[i] = MakeNode(vm_settings_[i], *paths_[i]);
    }
    BOOST_REQUIRE(RunUntil([this] {
      return vms_[0]->IsReady() && vms_[1]->IsReady() &&
             store_.Has("vms/vm1") && store_.Has("vms/vm2");
    }));
  }
  // Nodes go before the store's paths.
  ~relay_fixture() {
    for (auto& vm : vms_) vm.reset();
  }

  void RunFor(duration time) {
    const monotonic_time until = MonotonicNow() + time;
    RunUntil([until] { return MonotonicNow() >= until; });
  }
  // The second VM has begun to ask the first.
  void WaitUntilRelayed() {
    BOOST_REQUIRE(RunUntil([this] {
      return Page(vm_settings_[0].metrics, "/metrics")
                 .find("citron_feed_answers_total") != std::string::npos;
    }));
  }
  std::string StatusAt(int i, const std::string& key,
                       const std::string& path = "/look/1") {
    raw_caller caller(vm_settings_[i].callers);
    caller.Send(
        "GET " + path +
        " HTTP/1.1\r\nHost: a.example\r\nX-Id: " + std::to_string(++last_id_) +
        "\r\nX-Deadline: 4000\r\nAuthorization: Bearer " + key + "\r\n\r\n");
    return StatusOf(Wait(caller));
  }

  std::unique_ptr<store_path> paths_[2];
  node_settings vm_settings_[2];
  std::unique_ptr<node_task> vms_[2];
};

BOOST_FIXTURE_TEST_SUITE(relay, relay_fixture)

BOOST_AUTO_TEST_CASE(OneOfTwoVmsWatchesTheStore) {
  WaitUntilRelayed();
  const int first = paths_[0]->Watches();
  const int second = paths_[1]->Watches();
  RunFor(std::chrono::seconds(1));
  BOOST_TEST(paths_[0]->Watches() > first);
  BOOST_TEST(paths_[1]->Watches() == second);
}

// A key is withdrawn. The VM that never asks the store must refuse it as well.
BOOST_AUTO_TEST_CASE(AWithdrawnKeyIsRefusedByTheVmThatAsksAnother) {
  AddUpstream("u1", [](const std::string& request) {
    return scripted_answer{GoodAnswer(request, "x"), false};
  });
  WaitUntilRelayed();
  BOOST_TEST(RunUntil([this] { return StatusAt(1, "key1") == "200"; }));
  routing_.version = 2;
  routing_.workspaces[0].keys = {"key2"};
  PutRouting();
  BOOST_TEST(RunUntil([this] { return StatusAt(1, "key1") == "401"; }));
  BOOST_TEST(StatusAt(1, "key2") == "200");
}

// The VM that reads the store for the other dies. The other one must go on by
// itself before its copy is too old to let keys in.
BOOST_AUTO_TEST_CASE(TheDeathOfTheReaderIsNoOutage) {
  WaitUntilRelayed();
  vms_[0].reset();
  const int before = paths_[1]->Watches();
  bool was_unready = false;
  BOOST_TEST(RunUntil([&] {
    was_unready = was_unready || !vms_[1]->IsReady();
    return paths_[1]->Watches() > before + 1;
  }));
  BOOST_TEST(!was_unready);
}

// The store turns one VM away and serves the other, for longer than keys may
// go unproved. Callers of the first notice nothing.
BOOST_AUTO_TEST_CASE(AVmThatLostTheStoreIsCarriedByTheOther) {
  WaitUntilRelayed();
  paths_[1]->SetCut(true);
  RunFor(std::chrono::seconds(5));
  BOOST_TEST(vms_[1]->IsReady());
  BOOST_TEST(StatusAt(1, "unknown") == "401");
}

// Both lose the store. Neither may take the other's word for news.
BOOST_AUTO_TEST_CASE(TwoThatLostTheStoreDoNotCarryEachOther) {
  WaitUntilRelayed();
  paths_[0]->SetCut(true);
  paths_[1]->SetCut(true);
  BOOST_TEST(RunUntil([this] { return !vms_[0]->IsReady(); }));
  BOOST_TEST(RunUntil([this] { return !vms_[1]->IsReady(); }));
  BOOST_TEST(RunUntil([this] { return StatusAt(1, "key1") == "503"; }));
  paths_[0]->SetCut(false);
  BOOST_TEST(RunUntil([this] { return vms_[1]->IsReady(); }));
}

// An upstream tells the first VM that eight requests are there. The other VM,
// to which it tells nothing, must know when it chooses.
BOOST_AUTO_TEST_CASE(VmsHearFromEachOtherWhatUpstreamsCarry) {
  AddUpstream("u1", [](const std::string& request) {
    const bool tells = request.starts_with("GET /look/busy");
    return scripted_answer{
        GoodAnswer(request, "x", tells ? "X-Load: 4,4,4\r\n" : ""), false};
  });
  BOOST_REQUIRE(RunUntil([this] { return StatusAt(1, "key1") == "200"; }));
  // The first VM tells it once it has heard that the other serves callers, too.
  BOOST_TEST(RunUntil([this] {
    StatusAt(0, "key1", "/look/busy");
    lines_.clear();
    StatusAt(1, "key1");
    return HasLine("load=8 slots=4");
  }));
}

// Guards against a VM that keeps an old declaration since its source lost the
// store without a word.
BOOST_AUTO_TEST_CASE(AChangeIsInForceInTimeBehindASilentSource) {
  AddUpstream("u1", [](const std::string& request) {
    return scripted_answer{GoodAnswer(request, "x"), false};
  });
  WaitUntilRelayed();
  paths_[0]->SetSilent(true);
  routing_.version = 2;
  routing_.workspaces[0].keys = {"key2"};
  PutRouting();
  const monotonic_time bound = MonotonicNow() + settings_.bounds.config_apply;
  BOOST_TEST(RunUntil([this] { return StatusAt(1, "key2") == "200"; }));
  BOOST_TEST(ToSeconds(bound - MonotonicNow()) > 0);
}

// Guards against a change that the watches of a source never tell.
BOOST_AUTO_TEST_CASE(AChangeThatNoWatchTellsIsInForceAfterAnAudit) {
  AddUpstream("u1", [](const std::string& request) {
    return scripted_answer{GoodAnswer(request, "x"), false};
  });
  for (int i : {0, 1}) {
    vms_[i].reset();
    vm_settings_[i].bounds.config_apply = std::chrono::seconds(1);
    vms_[i] = MakeNode(vm_settings_[i], *paths_[i]);
  }
  BOOST_REQUIRE(RunUntil([this] { return StatusAt(1, "key1") == "200"; }));
  for (auto& path : paths_) path->Mute("routing");
  routing_.version = 2;
  routing_.workspaces[0].keys = {"key2"};
  PutRouting();
  BOOST_TEST(RunUntil([this] { return StatusAt(1, "key2") == "200"; }));
  BOOST_TEST(RunUntil([this] { return StatusAt(0, "key2") == "200"; }));
}

// Guards against a VM that lacks a change for good although it has the same
// revision as its source.
BOOST_AUTO_TEST_CASE(AVmThatMissedAChangeGetsItFromItsSource) {
  AddUpstream("u1", [](const std::string& request) {
    return scripted_answer{GoodAnswer(request, "x"), false};
  });
  BOOST_REQUIRE(RunUntil([this] { return StatusAt(0, "key1") == "200"; }));
  vms_[1].reset();
  paths_[1]->Hide("upstreams/u1");
  vms_[1] = MakeNode(vm_settings_[1], *paths_[1]);
  BOOST_TEST(RunUntil([this] { return StatusAt(1, "key1") == "200"; }));
  BOOST_TEST(HasLine("part=relay event=copies_differ"));
}

// Whoever reaches the port for the inside could ask for all keys.
BOOST_AUTO_TEST_CASE(AStrangersQuestionIsRefused) {
  const http_request request =
      MakeFeedRequest({vm_id("vm9"), 1, {}, 0, false, {}}, "a guess");
  raw_caller caller(vm_settings_[0].peer);
  caller.Send("POST /feed HTTP/1.1\r\nHost: x\r\nCitron-Seal: " +
              std::string(FindHeader(request.headers, "Citron-Seal").value()) +
              "\r\nContent-Length: " + std::to_string(request.body.size()) +
              "\r\n\r\n" + request.body);
  const std::string answer = Wait(caller);
  BOOST_TEST(StatusOf(answer) == "401");
  BOOST_TEST(answer.find("key1") == std::string::npos);
  BOOST_TEST(HasLine("part=relay event=question_rejected"));
}

BOOST_AUTO_TEST_SUITE_END()

// What a message says comes back as it was, and only with the same secret.
BOOST_AUTO_TEST_CASE(FeedMessagesAreSealed) {
  const feed_question question{vm_id("vm1"), 7,    {3, 41},
                               40,           true, FromMilliseconds(500)};
  http_request request = MakeFeedRequest(question, "s");
  const auto read = ReadFeedRequest(request, "s");
  BOOST_REQUIRE(IsOk(read));
  BOOST_CHECK(ValueOf(read).after == question.after);
  BOOST_TEST(ValueOf(read).revision == 40u);
  BOOST_TEST(ValueOf(read).wants_whole_copy);
  BOOST_CHECK(ValueOf(read).wait == question.wait);
  BOOST_TEST(!IsOk(ReadFeedRequest(request, "t")));
  BOOST_TEST(!IsOk(ReadFeedRequest(request, "")));
  request.body.back() ^= 1;
  BOOST_TEST(!IsOk(ReadFeedRequest(request, "s")));

  feed_answer answer;
  answer.number = 7;
  answer.revision = 44;
  answer.head = {3, 42};
  answer.digest = 5;
  answer.changes = {{key_change::kind::kRemoved, {"k", "", 43, ""}}};
  const http_response response = MakeFeedResponse(answer, "s");
  const auto got = ReadFeedResponse(response, "s");
  BOOST_REQUIRE(IsOk(got));
  BOOST_CHECK(ValueOf(got).head == answer.head);
  BOOST_TEST(ValueOf(got).digest == 5u);
  BOOST_TEST(ValueOf(got).changes.size() == 1u);
  BOOST_CHECK(ValueOf(got).changes[0].what == key_change::kind::kRemoved);
  BOOST_TEST(ValueOf(got).changes[0].item.revision == 43u);
  // A question can't be sent back as an answer.
  http_response echoed;
  echoed.head.status = 200;
  echoed.head.headers = MakeFeedRequest(question, "s").headers;
  echoed.body = MakeFeedRequest(question, "s").body;
  BOOST_TEST(!IsOk(ReadFeedResponse(echoed, "s")));
}

}  // namespace
}  // namespace citron
