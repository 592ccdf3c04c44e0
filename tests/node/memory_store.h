#ifndef TESTS_NODE_MEMORY_STORE_H_
#define TESTS_NODE_MEMORY_STORE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "citron/net/event_loop.h"
#include "citron/platform/platform_store.h"

namespace citron {

// A store in this process, which can be made to answer nothing.
class memory_store : public platform_store {
 public:
  explicit memory_store(event_loop& loop) : loop_(loop) {}

  void Set(const std::string& key, const std::string& value) {
    items_[key] = {key, value, ++revision_, ""};
    events_.push_back({items_[key], false});
  }
  void Erase(const std::string& key) {
    items_.erase(key);
    events_.push_back({{key, "", ++revision_, ""}, true});
  }
  bool Has(const std::string& key) const { return items_.contains(key); }
  const std::string& ValueOf(const std::string& key) const {
    return items_.at(key).value;
  }
  void SetDown(bool down) { down_ = down; }
  int Calls() const { return calls_; }

  void Get(const std::string&, monotonic_time, on_lookup) override {}
  void Remove(const std::string&, store_revision, monotonic_time,
              on_write) override {}
  void ListVms(monotonic_time, on_vms) override {}

  void Put(const store_write& write, monotonic_time, on_write done) override {
    if (!down_) Set(write.key, write.value);
    Answer(std::move(done), write_result(write_done{revision_}));
  }
  void Range(const std::string&, monotonic_time, on_range done) override {
    store_range range;
    range.revision = revision_;
    for (const auto& [key, item] : items_) range.items.push_back(item);
    Answer(std::move(done), result<store_range>(range));
  }
  void Watch(const std::string&, store_revision after, monotonic_time,
             monotonic_time, on_events done) override {
    store_events events;
    events.revision = revision_;
    for (const store_event& event : events_) {
      if (event.item.revision > after) events.events.push_back(event);
    }
    Answer(std::move(done), result<store_events>(events));
  }
  void GrantLease(duration, monotonic_time, on_lease done) override {
    Answer(std::move(done), result<lease_id>(lease_id("1")));
  }
  void RenewLease(const lease_id&, monotonic_time, on_status done) override {
    Answer(std::move(done), status(std::monostate{}));
  }
  void RevokeLease(const lease_id&, monotonic_time, on_status done) override {
    for (const auto& [key, item] : std::map(items_)) {
      if (key.starts_with("vms/")) Erase(key);
    }
    Answer(std::move(done), status(std::monostate{}));
  }

 private:
  template <class Done, class Value>
  void Answer(Done done, Value value) {
    ++calls_;
    const error down = MakeError(error_code::kUnavailable, "down");
    loop_.Defer([done = std::move(done), value = std::move(value),
                 is_down = down_, down] {
      if (is_down) {
        done(down);
      } else {
        done(value);
      }
    });
  }

  event_loop& loop_;
  bool down_ = false;
  int calls_ = 0;
  store_revision revision_ = 1;
  std::map<std::string, store_item> items_;
  std::vector<store_event> events_;
};

}  // namespace citron

#endif  // TESTS_NODE_MEMORY_STORE_H_
