#include "soak/soak_store.h"

#include <utility>

#include "standins/base64.h"

namespace citron {

namespace {

using json = nlohmann::json;

constexpr duration kCallLimit = std::chrono::milliseconds(800);
constexpr duration kAgainAfter = std::chrono::milliseconds(100);

json PutCall(const std::string& key, const json& value, std::uint64_t lease) {
  const json row = {
      {"key", key}, {"value", ToBase64(value.dump())}, {"lease", lease}};
  return {{"expectedRev", json::array()},
          {"puts", json::array({row})},
          {"remove", json::array()}};
}

json RemoveCall(const std::string& key) {
  return {{"expectedRev", json::array()},
          {"puts", json::array()},
          {"remove", json::array({key})}};
}

}  // namespace

void soak_store::Post(const std::string& path, const json& body,
                      on_answer done) {
  client_.Call(store_, {"POST", path, {}, body.dump()},
               MonotonicNow() + kCallLimit,
               [done = std::move(done)](const http_response* response,
                                        const call_failure&) {
                 if (response == nullptr) return done(0, "");
                 done(response->head.status, response->body);
               });
}

void soak_store::Transact(const json& call, on_done done) {
  Post("/-/kv-txn", call,
       [done = std::move(done)](int status, const std::string&) {
         done(status == 200);
       });
}

void soak_store::Put(const std::string& key, const json& value, on_done done,
                     std::uint64_t lease) {
  Transact(PutCall(key, value, lease), std::move(done));
}

void soak_store::Remove(const std::string& key, on_done done) {
  Transact(RemoveCall(key), std::move(done));
}

void soak_store::PutSurely(const std::string& key, const json& value,
                           std::function<void(monotonic_time)> acknowledged) {
  Surely(PutCall(key, value, 0), std::move(acknowledged));
}

void soak_store::RemoveSurely(
    const std::string& key, std::function<void(monotonic_time)> acknowledged) {
  Surely(RemoveCall(key), std::move(acknowledged));
}

void soak_store::Surely(const json& call,
                        std::function<void(monotonic_time)> acknowledged) {
  Transact(call, [this, call, acknowledged = std::move(acknowledged)](bool ok) {
    if (ok) return acknowledged(MonotonicNow());
    retries_.push_back(std::make_unique<loop_timer>(
        loop_, [this, call, acknowledged] { Surely(call, acknowledged); }));
    retries_.back()->Arm(MonotonicNow() + kAgainAfter);
  });
}

void soak_store::Grant(double ttl_s,
                       std::function<void(std::uint64_t lease)> done) {
  Post("/-/kv-lease", {{"ttlS_time", ttl_s}},
       [done = std::move(done)](int status, const std::string& body) {
         const json answer = json::parse(body, nullptr, false);
         const bool ok = status == 200 && answer.is_object();
         done(ok ? answer.value("lease", std::uint64_t{0}) : 0);
       });
}

void soak_store::Keep(std::uint64_t lease, on_done done) {
  Post("/-/kv-keep/" + std::to_string(lease), json::object(),
       [done = std::move(done)](int status, const std::string&) {
         done(status == 200);
       });
}

}  // namespace citron
